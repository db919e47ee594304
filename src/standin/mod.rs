//! Test doubles of the platform, its upstreams and the clients of the service.
//!
//! The demo and the tests run the real service against them over loopback
//! sockets. No server binary that ships contains them.

pub mod balancer;
pub mod client;
pub mod engine;
pub mod host_list;
pub mod listener;
pub mod service;
pub mod table_service;
pub mod trainer;
