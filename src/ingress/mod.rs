//! One host of the service on the users' platform.
//!
//! All that runs on a machine runs in this one process, on one thread, since a
//! machine has one core. Read in this order: [`wire`] for what the platform has
//! to translate, [`routes`] and [`directory`] for what a host knows, [`calls`]
//! for requests that are passed on, [`jobs`] for batch jobs as clients see them,
//! [`detour`] for a store that turns a host away,
//! [`coordinator`] for the host that runs their items, [`host`] for how it all
//! starts and stops (see docs/design/platform.md).

pub mod calls;
pub mod coordinator;
pub mod detour;
pub mod directory;
pub mod feeds;
pub mod host;
pub mod jobs;
pub mod listing;
pub mod log;
pub mod metrics;
pub mod orders;
mod process;
pub mod replies;
pub mod retention;
pub mod routes;
pub mod runs;
pub mod server;
pub mod stored;
pub mod wire;
