//! A rollout service for reinforcement learning, steered by a table of shares.
//!
//! The crate holds everything that the binaries share: the decisions, which are
//! controllers without I/O, and the servers and clients around them. The map of
//! the files is in `docs/ARCHITECTURE.md`.

pub mod allowance;
pub mod attempt;
pub mod baseline;
pub mod blackboard;
pub mod burn;
pub mod cache_index;
pub mod call;
pub mod charge;
pub mod claim;
pub mod clock;
pub mod concurrency;
pub mod controller;
pub mod correction;
pub mod datagram;
pub mod decision;
pub mod dispatch;
pub mod drain;
pub mod edit;
pub mod ejection;
pub mod evidence;
pub mod explain;
pub mod fairness;
pub mod follower;
pub mod ids;
mod lane;
pub mod lease;
pub mod ledger;
pub mod length;
pub mod membership;
pub mod order;
pub mod progress;
pub mod proto;
pub mod queue_event;
pub mod quota;
pub mod rendezvous;
pub mod retry;
pub mod routing;
pub mod row;
mod row_queue;
pub mod settings;
pub mod settings_check;
pub mod share;
pub mod staleness;
pub mod step;
pub mod store;
pub mod straggler;
pub mod table_server;
pub mod targets;
pub mod wave;

pub use blackboard::Blackboard;
pub use controller::Controller;
pub use row::Row;
