//! Who may order engines, and which version goes where.
//!
//! Read in this order: `lease` for who holds the right, `order` for one order, `wave` and `shard`
//! for many. These decide; `order_client` and `steward` carry out (docs/design/steward.md).

pub mod lease;
pub mod order;
pub mod order_client;
pub mod shard;
pub mod steward;
pub mod wave;
