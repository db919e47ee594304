//! A rollout service for reinforcement learning, steered by a table of shares.
//!
//! The crate holds everything that the binaries share: the decisions, which are
//! controllers without I/O, and the servers and clients around them. The map of
//! the files is in `docs/ARCHITECTURE.md`.

pub mod admission;
pub mod attach;
pub mod attempt;
pub mod auth;
pub mod baseline;
pub mod blackboard;
pub mod burn;
pub mod cache_index;
pub mod call;
pub mod change;
pub mod claim;
pub mod cli;
pub mod clock;
pub mod column;
pub mod concurrency;
pub mod connection;
pub mod controller;
pub mod datagram;
pub mod decision;
pub mod dispatch;
pub mod drain;
pub mod edit;
pub mod ejection;
pub mod engine_api;
pub mod entry;
pub mod evidence;
pub mod exchange;
pub mod explain;
pub mod fairness;
pub mod follower;
pub mod gate;
pub mod handover;
pub mod ids;
pub mod lease;
pub mod ledger;
pub mod length;
pub mod membership;
pub mod order;
pub mod problem;
pub mod progress;
pub mod proto;
pub mod quota;
pub mod relay;
pub mod rendezvous;
pub mod retry;
pub mod routing;
pub mod row;
pub mod sample;
pub mod settings;
pub mod settings_check;
pub mod share;
pub mod slot;
pub mod spec;
pub mod staleness;
pub mod standin;
pub mod step;
pub mod step_state;
pub mod store;
pub mod store_client;
pub mod store_condition;
pub mod straggler;
pub mod table;
pub mod table_client;
pub mod table_server;
pub mod terms;
pub mod trainer_api;
pub mod wave;
mod step_delivery;
mod step_dispatch;

pub use blackboard::Blackboard;
pub use controller::Controller;
pub use row::Row;
