//! The message types of external interfaces: the platform's list of upstreams
//! and the trainers' HTTP interface.

pub mod platform;
pub mod trainer;
