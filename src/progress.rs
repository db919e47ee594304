//! Connections that stay silent are retired.
