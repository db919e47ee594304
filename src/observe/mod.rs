//! Logs, metrics and recordings of a host, and the tools that read them.
//!
//! - `telemetry`: logs and metrics.
//! - `build`: what names the build of a program.
//! - `trace` and `trace_event`: recorded traces.
//! - `explain` and `log_story`: the history of one request, from decision records
//!   or from logs.
//! - `burn`, `burn_report` and `burn_page`: service-level objectives.
//! - `capacity`: the control cost of a large fleet.
//! - `sweep`: how the cost of a host grows with the fleet.

pub mod build;
pub mod burn;
pub mod burn_page;
pub mod burn_report;
pub mod capacity;
pub mod explain;
pub mod log_story;
pub mod sweep;
pub mod telemetry;
pub mod trace;
pub mod trace_event;
