//! Counts of refused datagrams, recorded at a bounded rate.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{
    clock::Timestamp,
    control::decision::{Decision, Kind},
    host::datagram::RefusalKind,
};

/// The time over which refusals of one kind make one record.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// The refusals of one kind since the last record.
#[derive(Clone, Copy, Debug)]
struct Count {
    count: u64,
    total: u64,
    recorded_at: Timestamp,
    source: SocketAddr,
}

/// The refusals by kind.
///
/// A flood of forged datagrams must not push other records out of the ring, so
/// each kind makes at most one record a second.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    counts: BTreeMap<RefusalKind, Count>,
}

impl Tally {
    /// Counts a refusal, and returns its record where one is due.
    pub fn add(
        &mut self,
        kind: RefusalKind,
        source: SocketAddr,
        now: Timestamp,
    ) -> Option<Decision> {
        let count = self.counts.entry(kind).or_insert(Count {
            count: 0,
            total: 0,
            recorded_at: now,
            source,
        });
        count.count += 1;
        count.total += 1;
        count.source = source;
        let first = count.total == 1;
        if !first && now.saturating_sub(count.recorded_at) < RECORD_INTERVAL {
            return None;
        }
        let record = Decision::new(Kind::Member, now, <&str>::from(kind))
            .about(count.source.to_string())
            .figure("refused_count", count.count as f64)
            .figure("refused_total_count", count.total as f64);
        count.count = 0;
        count.recorded_at = now;
        Some(record)
    }

    /// Returns how many datagrams of a kind were refused in all.
    pub fn total(&self, kind: RefusalKind) -> u64 {
        self.counts.get(&kind).map_or(0, |count| count.total)
    }
}
