//! Counts the requests that reach an upstream which names a limit.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// How long after an upstream first named a limit all hosts must keep it.
const LIMIT_SETTLE_TIME: Duration = Duration::from_millis(3_000);

/// The window over which the requests of a limited upstream are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// How far the requests in one window may exceed the limit.
const LIMIT_TOLERANCE_RATIO: f64 = 1.5;

/// How many more requests one window may contain.
const LIMIT_EXTRA_COUNT: f64 = 5.0;

/// The requests that reached an upstream since it named a limit.
#[derive(Clone, Debug, Default)]
pub struct LimitedUpstream {
    /// When each limit was named, and the limit in requests per second.
    limits: Vec<(Instant, f64)>,
    arrivals: VecDeque<Instant>,
}

impl LimitedUpstream {
    /// Returns the largest limit that was named in the window that ends at `now`.
    fn largest_limit(&self, now: Instant) -> f64 {
        let ends = self.limits.iter().skip(1).map(|(at, _)| Some(*at));
        self.limits
            .iter()
            .zip(ends.chain([None]))
            .filter(|(_, end)| end.is_none_or(|end| now.duration_since(end) < LIMIT_WINDOW))
            .fold(0.0, |largest, ((_, limit), _)| limit.max(largest))
    }

    /// Records that the upstream names a limit in requests per second from now on.
    pub fn name_limit(&mut self, limit_per_s: f64) {
        self.limits.push((Instant::now(), limit_per_s));
    }

    /// Records that a request reached the upstream, and returns what exceeds the limit, if
    /// anything does.
    pub fn add_arrival(&mut self) -> Option<String> {
        let now = Instant::now();
        self.arrivals.push_back(now);
        while let Some(first) = self.arrivals.front()
            && now.duration_since(*first) >= LIMIT_WINDOW
        {
            self.arrivals.pop_front();
        }
        let (named_at, _) = self.limits.first()?;
        let allowed_count =
            LIMIT_TOLERANCE_RATIO * self.largest_limit(now) * LIMIT_WINDOW.as_secs_f64()
                + LIMIT_EXTRA_COUNT;
        let arrival_count = self.arrivals.len();
        let is_settled = now.duration_since(*named_at) >= LIMIT_SETTLE_TIME;
        (is_settled && arrival_count as f64 > allowed_count)
            .then(|| format!("{arrival_count} of {allowed_count:.0}"))
    }
}
