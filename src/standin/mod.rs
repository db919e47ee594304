//! Small stand-ins for the platform and its upstreams.
//!
//! The demo and the tests run the real service against them over real sockets on
//! loopback; no shipped server binary carries them.

pub mod balancer;
pub mod client;
pub mod engine;
pub mod host_list;
pub mod listener;
pub mod service;
pub mod table_service;
pub mod trainer;
