//! Upstreams that fail too often rest until a probe succeeds.
