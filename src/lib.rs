//! A rollout service for reinforcement learning, controlled by a table of shares.
//!
//! The crate contains everything that the binaries share: the controllers, which
//! decide without I/O, and the servers and clients around them. The modules are
//! described in `docs/ARCHITECTURE.md`.

pub mod api;
pub mod batch;
pub mod call;
pub mod clock;
pub mod command;
pub mod connection;
pub mod control;
pub mod demo;
pub mod engine;
pub mod entry;
pub mod experiment;
pub mod host;
pub mod ids;
pub mod ingress;
pub mod observe;
pub mod platform;
pub mod proto;
pub mod replay;
pub mod retry;
pub mod settings;
pub mod share;
pub mod standin;
pub mod step;
pub mod store;
pub mod table;
pub mod weights;

pub use control::blackboard::Blackboard;
pub use control::controller::Controller;
pub use table::row::Row;
