//! Engines as a host sees them: which there are, what they showed, and where work goes.
//!
//! Read in this order: `api` for what they say, `watch` and `upstream_list` for which there are,
//! `evidence` for what their answers prove, `routing` and `targets` for the choice, `baseline` for
//! what the choice is compared with. Only `api`'s callers do I/O (docs/design/routing.md).

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
