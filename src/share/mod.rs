//! Divides the engines' capacity among the rows of the table.
//!
//! See docs/design/shares.md for how weights and fixed shares combine.
//!
//! Suggested reading order: `allowance` and `quota` (each host's part of the
//! limits), `fairness` and `dispatch` (which request starts next), `ledger` and
//! `correction` (what the fleet served, and how it corrects local shares). These
//! modules only make decisions and do no I/O.

pub mod allowance;
pub mod charge;
pub mod correction;
pub mod dispatch;
pub mod fairness;
pub(crate) mod lane;
pub mod ledger;
pub mod ledger_message;
pub mod queue_event;
pub mod quota;
pub(crate) mod row_queue;

use std::collections::BTreeMap;

use crate::{control::blackboard::Rows, ids::RowId};

/// The maximum sum of the fixed shares while other rows are shared by weight.
const MAX_FIXED_RATIO: f64 = 0.95;

/// The minimum share of an enabled row, so that a row of weight 0 is served
/// last instead of never.
const MIN_SHARE_RATIO: f64 = 1e-4;

/// The share of the engines' capacity by row; the shares add up to about 1.
pub type Shares = BTreeMap<RowId, f64>;

/// Returns the share of each enabled row.
///
/// Rows with an `engine_share_ratio` get that share; the other rows divide the
/// rest by weight.
///
/// # Examples
///
/// ```
/// use mimosavane::{control::blackboard::Rows, share::shares, table::row::Row};
///
/// let mut rows = Rows::default();
/// let mut fixed = Row::new("guides");
/// fixed.engine_share_ratio = 0.5;
/// rows.rows.insert("guides".into(), fixed.into());
/// rows.rows.insert("menus".into(), Row::new("menus").into());
/// rows.rows.insert("notices".into(), Row::new("notices").into());
/// assert_eq!(shares(&rows)["menus"], 0.25);
/// ```
pub fn shares(rows: &Rows) -> Shares {
    let enabled = || rows.rows.values().filter(|row| row.enabled);
    let by_weight = || enabled().filter(|row| row.engine_share_ratio <= 0.0);
    let weights: f64 = by_weight().map(|row| row.weight_ratio.max(0.0)).sum();
    let fixed: f64 = enabled().map(|row| row.engine_share_ratio.max(0.0)).sum();
    let max_fixed = if weights > 0.0 { MAX_FIXED_RATIO } else { 1.0 };
    let scale = if fixed > max_fixed {
        max_fixed / fixed
    } else {
        1.0
    };
    let rest = (1.0 - fixed * scale).max(0.0);
    enabled()
        .map(|row| {
            let share = if row.engine_share_ratio > 0.0 {
                row.engine_share_ratio * scale
            } else if weights > 0.0 {
                rest * row.weight_ratio.max(0.0) / weights
            } else {
                0.0
            };
            (row.id.clone(), share.max(MIN_SHARE_RATIO))
        })
        .collect()
}
