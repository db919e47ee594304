//! Cluster membership between hosts: failure detection, gossip and planned stops.
//!
//! Suggested reading order: `member` and `membership` for the member states,
//! `prober` and `flap` for how they change, `gossip`, `broadcast` and `datagram`
//! for how updates spread, `drain` for the planned stop of a host. The modules
//! make decisions and do no I/O (docs/design/membership.md).

pub mod broadcast;
pub mod datagram;
pub mod drain;
pub mod flap;
pub mod gossip;
pub mod member;
pub mod membership;
pub mod prober;
pub mod refusals;
