//! The entry host: callers and trainers over HTTP, peers over gRPC.

pub mod engine_client;
pub mod peer_client;
pub mod problem;
