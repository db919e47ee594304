//! The users' platform: its names, formats and calls.
//!
//! This folder translates and decides nothing. Nothing outside it knows the
//! platform's names, but for the program that starts a host here; a test holds
//! that (see docs/design/platform.md). [`standin`] is no part of a host: it plays
//! the other side of the protocol for the soak (see docs/SOAK.md).

pub mod boot;
mod documents;
mod events;
mod names;
pub mod standin;
pub mod store;
mod wire;

pub use self::wire::PlatformWire;
