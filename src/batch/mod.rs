//! Batch jobs: many items that are accepted at once and run later, and whose
//! results are listed as they finish.
//!
//! These modules make decisions and do no I/O. They are best read in this
//! order: [`job`] for the types, [`output`] and [`reading`] for the output of a
//! run, [`reward`] for its score, [`layout`] for the stored rows, [`scheduler`]
//! for which item runs where, and [`weights`] for which engine loads which
//! weights. The code that carries out the decisions is in `src/ingress/` (see
//! docs/design/platform.md).

pub mod job;
pub mod layout;
pub mod output;
pub mod reading;
pub mod reward;
pub mod scheduler;
pub mod weights;
