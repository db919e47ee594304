//! The choice of an engine for one request.
