//! The way of a caller's request to a plain service and back.
