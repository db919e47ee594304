//! Decides which host may give orders to engines, and which weights each engine
//! loads.
//!
//! Read in this order: `lease` for the right to give orders, `order` for the
//! orders of one engine, `wave` and `shard` for those of many. These modules
//! decide without I/O; `order_client` and `steward` carry the decisions out
//! (see docs/design/steward.md).

pub mod lease;
pub mod order;
pub mod order_client;
pub mod shard;
pub mod steward;
pub mod wave;
