//! Computes correction factors for local shares from what the fleet served.
//!
//! A proportional-integral controller for each row. Its error is the row's lead:
//! by how many seconds of its own share the row is ahead (see
//! docs/design/shares.md).

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::RowId,
    share::{Shares, ledger_message::Counts},
};

/// The lead at which the proportional term alone lowers a row's share by the
/// factor e.
const PROPORTIONAL_TIME_S: f64 = 10.0;

/// The integral time: how long a constant lead takes to change the share through
/// the integral term as much as through the proportional term.
const INTEGRAL_TIME_S: f64 = 12.0;

/// The maximum lead or lag that counts, so that a row that cannot be served
/// accumulates no credit.
const MAX_LEAD_S: f64 = 8.0;

/// The maximum absolute exponent of a correction factor.
const MAX_EXPONENT: f64 = 4.0;

/// The time constant with which the correction of a row without waiting work
/// decays.
const DECAY_TIME_S: f64 = 5.0;

/// How far a row is ahead of its share; negative values mean that it lags.
#[derive(Clone, Copy, Debug, Default)]
struct Lead {
    ahead_tokens: f64,
    /// `ahead_tokens` as seconds of the row's own share.
    ahead_s: f64,
    /// The integral term of the exponent.
    integral: f64,
}

impl Lead {
    fn exponent(&self) -> f64 {
        (self.ahead_s / PROPORTIONAL_TIME_S + self.integral).clamp(-MAX_EXPONENT, MAX_EXPONENT)
    }
}

/// Tracks how far each row is ahead of its share of what the fleet served.
///
/// # Examples
///
/// ```
/// use mimosavane::share::{correction::Corrector, ledger::{Count, Counts}};
/// use std::time::Duration;
///
/// let shares = [("guides".into(), 0.5), ("menus".into(), 0.5)].into();
/// let waiting = Count { served_tokens: 0, backlog_tokens: 1_000 };
/// let counts: Counts = [("guides".into(), waiting), ("menus".into(), waiting)].into();
/// let served = [("guides".into(), 900.0), ("menus".into(), 100.0)].into();
/// let mut corrector = Corrector::default();
/// corrector.update(&shares, &served, &counts, Duration::from_secs(1));
/// let factors = corrector.factors();
/// assert!(factors["guides"] < factors["menus"]);
/// ```
#[derive(Debug, Default)]
pub struct Corrector {
    leads: BTreeMap<RowId, Lead>,
}

impl Corrector {
    /// Updates the leads with the tokens `served` by the fleet within `elapsed`.
    ///
    /// The fair part of a row that has waiting work on any host is its share of
    /// the tokens served to all such rows. Capacity that the other rows leave
    /// unused is lent, and is not counted against any row.
    pub fn update(
        &mut self,
        shares: &Shares,
        served: &BTreeMap<RowId, f64>,
        counts: &Counts,
        elapsed: Duration,
    ) {
        self.leads.retain(|row, _| shares.contains_key(row));
        let is_waiting = |row: &RowId| {
            counts
                .get(row)
                .is_some_and(|count| count.backlog_tokens > 0)
        };
        let tokens = |row: &RowId| served.get(row).copied().unwrap_or(0.0);
        let waiting: Vec<(&RowId, f64)> = shares
            .iter()
            .filter(|(row, _)| is_waiting(row))
            .map(|(row, share)| (row, *share))
            .collect();
        let share_sum: f64 = waiting.iter().map(|(_, share)| share).sum();
        let served_sum: f64 = waiting.iter().map(|(row, _)| tokens(row)).sum();
        let elapsed_s = elapsed.as_secs_f64();
        if served_sum <= 0.0 || elapsed_s <= 0.0 {
            return;
        }
        for (row, share) in waiting {
            let fair_tokens = served_sum * share / share_sum;
            let lead = self.leads.entry(row.clone()).or_default();
            let max_ahead_tokens = MAX_LEAD_S * fair_tokens / elapsed_s;
            lead.ahead_tokens += tokens(row) - fair_tokens;
            lead.ahead_tokens = lead.ahead_tokens.clamp(-max_ahead_tokens, max_ahead_tokens);
            lead.ahead_s = lead.ahead_tokens * elapsed_s / fair_tokens;
            lead.integral += lead.ahead_s * elapsed_s / (INTEGRAL_TIME_S * PROPORTIONAL_TIME_S);
            lead.integral = lead.integral.clamp(-MAX_EXPONENT, MAX_EXPONENT);
        }
        self.subtract_mean_integral(&is_waiting);
        let decay = (-elapsed_s / DECAY_TIME_S).exp();
        for (row, lead) in &mut self.leads {
            if !is_waiting(row) {
                lead.ahead_tokens *= decay;
                lead.ahead_s *= decay;
                lead.integral *= decay;
            }
        }
    }

    /// Subtracts the mean integral of the waiting rows from each of them: a common
    /// offset changes no ratio between shares and would only use up the bounds.
    fn subtract_mean_integral(&mut self, is_waiting: &impl Fn(&RowId) -> bool) {
        let waiting = |leads: &BTreeMap<RowId, Lead>| {
            let kept = leads.iter().filter(|(row, _)| is_waiting(row));
            kept.map(|(_, lead)| lead.integral).collect::<Vec<_>>()
        };
        let integrals = waiting(&self.leads);
        let mean = integrals.iter().sum::<f64>() / integrals.len().max(1) as f64;
        for (row, lead) in &mut self.leads {
            if is_waiting(row) {
                lead.integral -= mean;
            }
        }
    }

    /// Returns the correction factor of each row whose lead is tracked.
    pub fn factors(&self) -> BTreeMap<RowId, f64> {
        self.leads
            .iter()
            .map(|(row, lead)| (row.clone(), (-lead.exponent()).exp()))
            .collect()
    }

    /// Drops all corrections, as after a long time without totals.
    pub fn reset(&mut self) {
        self.leads.clear();
    }
}
