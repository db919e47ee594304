//! What a host says of itself, and the tools that read it.
//!
//! Read in this order: `telemetry` for logs and counters, `trace` and `trace_event` for recordings,
//! `explain` and `log_story` for the story of one request, `burn` and its report and page for the
//! objectives, `capacity` for what a fleet takes.

pub mod burn;
pub mod burn_page;
pub mod burn_report;
pub mod capacity;
pub mod explain;
pub mod log_story;
pub mod telemetry;
pub mod trace;
pub mod trace_event;
