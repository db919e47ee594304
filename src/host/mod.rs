//! Hosts among themselves: who is a member, what is told to whom, and how one leaves.
//!
//! Read in this order: `member` and `membership` for the beliefs, `prober` and `flap` for how they
//! change, `gossip`, `broadcast` and `datagram` for how they spread, `drain` for the end of a
//! host. Everything here decides and does no I/O (docs/design/membership.md).

pub mod broadcast;
pub mod datagram;
pub mod drain;
pub mod flap;
pub mod gossip;
pub mod member;
pub mod membership;
pub mod prober;
pub mod refusals;
