//! The operators' table over HTTP.
