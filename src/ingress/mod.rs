//! A host of the service on the users' platform.
//!
//! Everything on a machine runs in this one process, on one thread, since a
//! machine has one core. Suggested reading order: [`wire`] for the interface to
//! the platform's protocol, [`routes`] and [`directory`] for the configuration
//! and the upstreams, [`calls`] for forwarded requests, [`jobs`] for the client
//! interface of batch jobs, [`detour`] for access to the store through other
//! hosts, [`coordinator`] for the host that runs the items of batch jobs, and
//! [`host`] for the state of a host and how it starts and stops (see
//! docs/design/platform.md).

pub mod accounts;
pub mod authentication;
pub mod bounded;
pub mod calls;
pub mod capacity;
pub mod capacity_orders;
pub mod clients;
pub mod configuration_check;
pub mod coordinator;
pub mod crashes;
pub mod detour;
pub mod directory;
pub mod duties;
pub mod feeds;
pub mod handover;
pub mod host;
pub mod intake;
pub mod jobs;
pub mod limits;
pub mod listing;
pub mod log;
pub mod memory;
pub mod metered;
pub mod metrics;
pub mod notices;
pub mod orders;
pub mod origins;
pub mod peers;
pub mod permits;
mod process;
pub mod reach;
pub mod replies;
pub mod retention;
pub mod rewards;
pub mod routes;
pub mod runs;
pub mod server;
pub mod starts;
pub mod stop;
pub mod stored;
pub mod tracked;
pub mod usage;
pub mod usage_reports;
pub mod wire;
