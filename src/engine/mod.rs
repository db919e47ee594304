//! The engines as seen by a host: their discovery, their state, and routing.
//!
//! Suggested reading order: `api` for the engines' messages, `watch` and
//! `upstream_list` for the discovery of engines and their load, `evidence` for
//! the weight versions that their streams prove, `routing` and `targets` for
//! the choice of an engine, and `baseline` for the policies that the choice is
//! compared with. Only the callers of `api` do I/O (docs/design/routing.md).

pub mod api;
pub mod baseline;
pub mod cache_index;
pub mod evidence;
pub mod integer_hash;
pub mod rendezvous;
pub mod routing;
pub mod segment;
pub mod targets;
pub mod upstream_list;
pub mod watch;
