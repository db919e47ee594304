//! How fast each service-level objective is being used up.
