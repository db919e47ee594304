//! The adapter to the users' platform: its names, formats and calls.
//!
//! This folder translates messages and makes no decisions. No code outside it
//! uses the platform's names, except for the program that starts a host on the
//! platform; a test checks this (see docs/design/platform.md). [`standin`] is not
//! part of a host: it implements the other side of the protocol for the soak (see
//! docs/SOAK.md).

pub mod boot;
mod configuration;
mod documents;
mod events;
mod names;
mod prompts;
pub mod standin;
pub mod store;
pub mod sweep;
mod wire;

pub use self::wire::PlatformWire;
