//! Batch jobs: many items that are accepted at once, run later, and listed.
//!
//! Everything here decides and does no I/O. Read in this order: [`job`] for the
//! types, [`output`] and
//! [`reading`] for what a run makes, [`layout`] for the rows that keep them, [`scheduler`] for which item
//! runs where, [`weights`] for which engine loads which weights. The code that
//! carries the decisions out is in `src/ingress/` (see docs/design/platform.md).

pub mod job;
pub mod layout;
pub mod output;
pub mod reading;
pub mod scheduler;
pub mod weights;
