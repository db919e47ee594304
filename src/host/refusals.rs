//! Counts of refused datagrams, recorded as decisions at a bounded rate.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{
    clock::Timestamp,
    control::decision::{Decision, Kind},
    host::datagram::RefusalKind,
};

/// The minimum interval between two records of the same kind of refusal.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// The refusals of one kind.
#[derive(Clone, Copy, Debug)]
struct KindCount {
    /// The number of refusals since the last record.
    unrecorded_count: u64,
    total_count: u64,
    recorded_at: Timestamp,
    last_source: SocketAddr,
}

/// The refused datagrams by kind.
///
/// Each kind is recorded at most once per second, so that a flood of forged
/// datagrams does not evict other records from the ring buffer.
#[derive(Clone, Debug, Default)]
pub struct RefusalCounts {
    counts: BTreeMap<RefusalKind, KindCount>,
}

impl RefusalCounts {
    /// Counts a refusal, and returns a decision record if one is due.
    pub fn record(
        &mut self,
        kind: RefusalKind,
        source: SocketAddr,
        now: Timestamp,
    ) -> Option<Decision> {
        let count = self.counts.entry(kind).or_insert(KindCount {
            unrecorded_count: 0,
            total_count: 0,
            recorded_at: now,
            last_source: source,
        });
        count.unrecorded_count += 1;
        count.total_count += 1;
        count.last_source = source;
        let is_first = count.total_count == 1;
        if !is_first && now.saturating_sub(count.recorded_at) < RECORD_INTERVAL {
            return None;
        }
        let record = Decision::new(Kind::Member, now, <&str>::from(kind))
            .about(count.last_source.to_string())
            .figure("refused_count", count.unrecorded_count as f64)
            .figure("refused_total_count", count.total_count as f64);
        count.unrecorded_count = 0;
        count.recorded_at = now;
        Some(record)
    }

    /// Returns the total number of refused datagrams of a kind.
    pub fn total(&self, kind: RefusalKind) -> u64 {
        self.counts.get(&kind).map_or(0, |count| count.total_count)
    }
}
