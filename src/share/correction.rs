//! Turns what the fleet served into factors on local shares.
//!
//! A proportional and integral controller over how many seconds of its own
//! share a row is ahead (see docs/design/shares.md).

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::RowId,
    share::{Shares, ledger_message::Counts},
};

/// How far ahead a row must be for its share to fall by the factor e.
const PROPORTIONAL_TIME_S: f64 = 10.0;

/// The time over which a lasting lead moves the share as far again.
const INTEGRAL_TIME_S: f64 = 12.0;

/// The longest lead or lag that counts, so that a row that cannot be served
/// does not save up a claim.
const MAX_LEAD_S: f64 = 8.0;

/// The largest exponent of a factor.
const MAX_EXPONENT: f64 = 4.0;

/// How fast a row without waiting work is brought back to no correction.
const FADE_TIME_S: f64 = 5.0;

#[derive(Clone, Copy, Debug, Default)]
struct Lead {
    ahead_tokens: f64,
    ahead_s: f64,
    integral: f64,
}

impl Lead {
    fn exponent(&self) -> f64 {
        (self.ahead_s / PROPORTIONAL_TIME_S + self.integral).clamp(-MAX_EXPONENT, MAX_EXPONENT)
    }
}

/// Keeps how far each row is ahead of its share over the fleet.
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
    /// Takes in what the fleet served in the last `elapsed`.
    ///
    /// Rows that wait somewhere divide what they were served together by share;
    /// what others leave is lent, and not counted against anybody.
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
            let bound = MAX_LEAD_S * fair_tokens / elapsed_s;
            lead.ahead_tokens += tokens(row) - fair_tokens;
            lead.ahead_tokens = lead.ahead_tokens.clamp(-bound, bound);
            lead.ahead_s = lead.ahead_tokens * elapsed_s / fair_tokens;
            lead.integral += lead.ahead_s * elapsed_s / (INTEGRAL_TIME_S * PROPORTIONAL_TIME_S);
            lead.integral = lead.integral.clamp(-MAX_EXPONENT, MAX_EXPONENT);
        }
        self.center(&is_waiting);
        let fade = (-elapsed_s / FADE_TIME_S).exp();
        for (row, lead) in &mut self.leads {
            if !is_waiting(row) {
                lead.ahead_tokens *= fade;
                lead.ahead_s *= fade;
                lead.integral *= fade;
            }
        }
    }

    /// Takes out what all waiting rows have in common, which changes no ratio
    /// and would only use up the bounds.
    fn center(&mut self, is_waiting: &impl Fn(&RowId) -> bool) {
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

    /// Returns the factor of each row that was ever ahead or behind.
    pub fn factors(&self) -> BTreeMap<RowId, f64> {
        self.leads
            .iter()
            .map(|(row, lead)| (row.clone(), (-lead.exponent()).exp()))
            .collect()
    }

    /// Forgets everything, as after long silence.
    pub fn reset(&mut self) {
        self.leads.clear();
    }
}
