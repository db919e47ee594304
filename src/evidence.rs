//! What proves which weights made which tokens of a sample.
