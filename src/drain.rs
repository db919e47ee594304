//! Planned stops that cut off no request.
