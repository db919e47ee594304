//! How a host learns of a newer table and never goes back.
