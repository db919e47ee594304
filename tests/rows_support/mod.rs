//! An in-memory version of the platform's store that can inject faults.

#![allow(clippy::unwrap_used, reason = "a failing step must fail the test")]
#![allow(dead_code, reason = "each test uses a part")]

pub mod host;
pub mod leader;
pub mod member;
pub mod page;

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use mimosavane::{
    batch::{
        job::{Item, Job, JobHead, RewardRequest},
        layout,
        scheduler::EngineSpec,
    },
    store::rows::{
        Applied, NotAppliedReason, RowError, RowName, RowPage, RowRange, RowStamp, RowStore,
        RowTransaction, StoredRow,
    },
};
use tokio::sync::oneshot;

/// What happens to a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The write is applied and answered.
    None,
    /// The write is applied and its answer is lost.
    AnswerLost,
    /// The write is applied after this many other calls, and its answer is
    /// lost.
    Late(usize),
    /// The write is refused.
    Refused,
}

/// What feeds answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Feed {
    /// That their history is gone, each time.
    #[default]
    Gone,
    /// Nothing, for ever.
    Silent,
    /// All changes.
    Live,
    /// Each changed row once, in its newest state, which the platform's pages allow.
    Newest,
}

/// The largest value that the store takes: 64 KiB in base64.
const MAX_VALUE_BYTES: usize = 49_152;

type Name = (String, String, String);

#[derive(Debug, Default)]
struct Inner {
    rows: BTreeMap<Name, (Bytes, RowStamp)>,
    stamp: RowStamp,
    faults: VecDeque<Fault>,
    late: Vec<(usize, RowTransaction)>,
    commit_count: usize,
    read_starts: Vec<String>,
    is_holding_answers: bool,
    is_holding_reads: bool,
    held_table: Option<&'static str>,
    held_reads: Vec<oneshot::Sender<()>>,
    feed: Feed,
    /// All changes, for feeds, as of the table in which they were made.
    history: Vec<(&'static str, StoredRow)>,
    /// The stamp up to which feeds have no history any more.
    compacted_until: RowStamp,
    failing_partition: Option<String>,
    peers: Vec<SocketAddr>,
}

/// How long a feed waits before it looks for changes, or reports that its history is gone.
const FEED_WAIT: Duration = Duration::from_millis(20);

/// A store whose clones share their rows.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    inner: Rc<RefCell<Inner>>,
}

impl Rows {
    /// Queues `fault` for a write; each write consumes one queued fault.
    pub fn fail_next(&self, fault: Fault) {
        self.inner.borrow_mut().faults.push_back(fault);
    }

    /// Returns how many writes were requested.
    pub fn commit_count(&self) -> usize {
        self.inner.borrow().commit_count
    }

    /// Withholds answers to writes until [`Rows::release_answers`].
    pub fn hold_answers(&self) {
        self.inner.borrow_mut().is_holding_answers = true;
    }

    /// Withholds the answers to reads, as they are now, until [`Rows::release_read`].
    pub fn hold_reads(&self, is_held: bool) {
        self.inner.borrow_mut().is_holding_reads = is_held;
    }

    /// Returns how many answers to reads were withheld.
    pub fn held_read_count(&self) -> usize {
        self.inner.borrow().held_reads.len()
    }

    /// Releases the answer to the withheld read `number`, from 0.
    pub fn release_read(&self, number: usize) {
        let (released, _) = oneshot::channel();
        let held = std::mem::replace(&mut self.inner.borrow_mut().held_reads[number], released);
        // The reader may have given up.
        let _ = held.send(());
    }

    /// Withholds the answers to reads of `table` like [`Rows::hold_reads`], or of none.
    pub fn hold_reads_of(&self, table: Option<&'static str>) {
        self.inner.borrow_mut().held_table = table;
    }

    /// Sets what feeds answer.
    pub fn set_feed(&self, feed: Feed) {
        self.inner.borrow_mut().feed = feed;
    }

    /// Drops the history of feeds up to now.
    pub fn compact(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.compacted_until = inner.stamp;
    }

    /// Makes reads of `partition` fail, or of none.
    pub fn fail_reads(&self, partition: Option<&str>) {
        self.inner.borrow_mut().failing_partition = partition.map(str::to_owned);
    }

    /// Sets the addresses of other hosts.
    pub fn set_peers(&self, peers: impl Into<Vec<SocketAddr>>) {
        self.inner.borrow_mut().peers = peers.into();
    }

    /// Releases withheld answers.
    pub fn release_answers(&self) {
        self.inner.borrow_mut().is_holding_answers = false;
    }

    /// Returns the first key of each read's range, in order.
    pub fn read_starts(&self) -> Vec<String> {
        self.inner.borrow().read_starts.clone()
    }

    /// Returns all keys of a partition.
    pub fn keys(&self, table: &str, partition: &str) -> Vec<String> {
        let inner = self.inner.borrow();
        inner
            .rows
            .keys()
            .filter(|(t, p, _)| t == table && p == partition)
            .map(|(_, _, key)| key.clone())
            .collect()
    }
}

impl Inner {
    fn record_change(&mut self, row: &RowName, value: Bytes, is_removed: bool) {
        let change = StoredRow {
            partition: row.partition.clone(),
            key: row.key.clone(),
            value,
            stamp: self.stamp,
            is_removed,
        };
        self.history.push((row.table, change));
    }

    fn apply_due_writes(&mut self) {
        for (remaining_calls, _) in &mut self.late {
            *remaining_calls = remaining_calls.saturating_sub(1);
        }
        let (due, late) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(remaining_calls, _)| *remaining_calls == 0);
        self.late = late;
        let due: Vec<(usize, RowTransaction)> = due;
        for (_, transaction) in due {
            // A late write whose conditions no longer hold has no effect.
            let _ = self.apply(&transaction);
        }
    }

    fn apply(&mut self, transaction: &RowTransaction) -> Result<Applied, RowError> {
        let name = |name: &RowName| -> Name {
            (
                name.table.to_owned(),
                name.partition.clone(),
                name.key.clone(),
            )
        };
        let holds = transaction
            .expected
            .iter()
            .all(|(row, stamp)| self.rows.get(&name(row)).map_or(0, |(_, stamp)| *stamp) == *stamp);
        if !holds {
            let current = transaction
                .expected
                .iter()
                .filter_map(|(row, _)| {
                    let (value, stamp) = self.rows.get(&name(row))?;
                    Some(StoredRow {
                        partition: row.partition.clone(),
                        key: row.key.clone(),
                        value: value.clone(),
                        stamp: *stamp,
                        is_removed: false,
                    })
                })
                .collect();
            return Err(RowError::Conflict { current });
        }
        let is_fitting = |(_, value): &(RowName, Bytes)| value.len() <= MAX_VALUE_BYTES;
        if !transaction.puts.iter().all(is_fitting) {
            return Err(RowError::NotApplied {
                reason: NotAppliedReason::Rejected,
            });
        }
        self.stamp += 1;
        for (row, value) in &transaction.puts {
            self.rows.insert(name(row), (value.clone(), self.stamp));
            self.record_change(row, value.clone(), false);
        }
        for row in &transaction.removals {
            self.rows.remove(&name(row));
            self.record_change(row, Bytes::new(), true);
        }
        Ok(Applied {
            stamp: self.stamp,
            store_time: Duration::ZERO,
        })
    }
}

impl Rows {
    fn answer_read(&self, range: &RowRange) -> Result<RowPage, RowError> {
        let mut inner = self.inner.borrow_mut();
        inner.apply_due_writes();
        inner.read_starts.push(range.from.clone());
        if inner.failing_partition.as_ref() == Some(&range.partition) {
            return Err(RowError::Unknown);
        }
        let mut rows: Vec<StoredRow> = inner
            .rows
            .iter()
            .filter(|((table, partition, _), _)| {
                table == range.table && *partition == range.partition
            })
            .filter(|((_, _, key), _)| {
                *key >= range.from && (range.to.is_empty() || *key < range.to)
            })
            .map(|((_, partition, key), (value, stamp))| StoredRow {
                partition: partition.clone(),
                key: key.clone(),
                value: value.clone(),
                stamp: *stamp,
                is_removed: false,
            })
            .collect();
        let has_more = rows.len() > range.limit_count;
        rows.truncate(range.limit_count);
        Ok(RowPage {
            rows,
            has_more,
            stamp: inner.stamp,
            store_time: Duration::ZERO,
        })
    }

    fn changes_after(
        &self,
        table: &str,
        after: RowStamp,
        is_newest_only: bool,
    ) -> Result<RowPage, RowError> {
        let inner = self.inner.borrow();
        if after < inner.compacted_until {
            return Err(RowError::HistoryGone);
        }
        let is_new =
            |(changed, row): &&(&'static str, StoredRow)| *changed == table && row.stamp > after;
        let mut rows: Vec<StoredRow> = inner
            .history
            .iter()
            .filter(is_new)
            .map(|(_, row)| row.clone())
            .collect();
        if is_newest_only {
            let newest: BTreeMap<(String, String), RowStamp> = rows
                .iter()
                .map(|row| ((row.partition.clone(), row.key.clone()), row.stamp))
                .collect();
            rows.retain(|row| newest[&(row.partition.clone(), row.key.clone())] == row.stamp);
        }
        Ok(RowPage {
            rows,
            has_more: false,
            stamp: inner.stamp,
            store_time: Duration::ZERO,
        })
    }

    fn apply_next_fault(&self, transaction: &RowTransaction) -> Result<Applied, RowError> {
        let mut inner = self.inner.borrow_mut();
        inner.apply_due_writes();
        inner.commit_count += 1;
        match inner.faults.pop_front() {
            None | Some(Fault::None) => inner.apply(transaction),
            Some(Fault::AnswerLost) => {
                let _ = inner.apply(transaction);
                Err(RowError::Unknown)
            }
            Some(Fault::Late(call_count)) => {
                inner.late.push((call_count, transaction.clone()));
                Err(RowError::Unknown)
            }
            Some(Fault::Refused) => Err(RowError::NotApplied {
                reason: NotAppliedReason::Unavailable,
            }),
        }
    }
}

impl RowStore for Rows {
    fn peers(&self) -> Vec<SocketAddr> {
        self.inner.borrow().peers.clone()
    }

    async fn commit(&self, transaction: &RowTransaction) -> Result<Applied, RowError> {
        // Yields to other tasks, as a network call does.
        tokio::task::yield_now().await;
        let answer = self.apply_next_fault(transaction);
        while self.inner.borrow().is_holding_answers {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        answer
    }

    async fn read(&self, range: &RowRange) -> Result<RowPage, RowError> {
        tokio::task::yield_now().await;
        let answer = self.answer_read(range);
        let held = {
            let mut inner = self.inner.borrow_mut();
            let is_held = inner.is_holding_reads || inner.held_table == Some(range.table);
            is_held.then(|| {
                let (release, released) = oneshot::channel();
                inner.held_reads.push(release);
                released
            })
        };
        if let Some(released) = held {
            // A dropped sender releases the answer, too.
            let _ = released.await;
        }
        answer
    }

    async fn partitions(&self, table: &str, after: &str) -> Result<Vec<String>, RowError> {
        let inner = self.inner.borrow();
        let mut names: Vec<String> = inner
            .rows
            .keys()
            .filter(|(t, partition, _)| t == table && partition.as_str() > after)
            .map(|(_, partition, _)| partition.clone())
            .collect();
        names.dedup();
        Ok(names)
    }

    async fn changes(
        &self,
        table: &str,
        after: RowStamp,
        wait: Duration,
    ) -> Result<RowPage, RowError> {
        let ends_at = tokio::time::Instant::now() + wait;
        loop {
            tokio::time::sleep(FEED_WAIT).await;
            let feed = self.inner.borrow().feed;
            match feed {
                Feed::Gone => return Err(RowError::HistoryGone),
                Feed::Silent => {}
                Feed::Live | Feed::Newest => {
                    let page = self.changes_after(table, after, feed == Feed::Newest)?;
                    if !page.rows.is_empty() || tokio::time::Instant::now() >= ends_at {
                        return Ok(page);
                    }
                }
            }
        }
    }
}

/// Returns the rows in which an accepted job stores its items.
pub fn item_rows(job: &Job) -> Vec<StoredRow> {
    layout::acceptance(job)
        .unwrap()
        .into_iter()
        .flat_map(|transaction| transaction.puts)
        .filter(|(name, _)| name.table == layout::ITEMS)
        .map(|(name, value)| StoredRow {
            partition: name.partition,
            key: name.key,
            value,
            stamp: 1,
            is_removed: false,
        })
        .collect()
}

/// Builds a job of `item_count` items in groups of four.
pub fn job(id: &str, item_count: usize, body_bytes: usize) -> Job {
    let items = (0..item_count)
        .map(|index| Item {
            id: format!("item-{index}").into(),
            group: format!("group-{}", index / 4).into(),
            path: "/jobs/1".to_owned(),
            headers: vec![("model".to_owned(), "writer".to_owned())],
            body: vec![index as u8; body_bytes].into(),
            prompt_tokens: 270,
            length_hint_tokens: 1_000 + index as u64,
            reward: None,
        })
        .collect();
    Job {
        id: id.into(),
        head: JobHead {
            service: "engines".into(),
            route: "route".into(),
            authority: "jobs.example".to_owned(),
            model: "writer".into(),
            step: 1,
            min_version: 1,
            single_version: false,
            max_attempts: 3,
            item_ttl: Duration::from_secs(40),
            due: Duration::from_millis(7_500),
            accepted_at: Duration::ZERO,
            item_count,
            account: None,
            priority: 0,
        },
        items,
    }
}

/// Builds a job like [`job`] whose items each ask for a score.
pub fn scored_job(id: &str, item_count: usize, body_bytes: usize) -> Job {
    let mut job = job(id, item_count, body_bytes);
    for item in &mut job.items {
        let request = RewardRequest {
            id: format!("score-{}", item.id).into(),
            authority: "scores.example".to_owned(),
            path: "/score/1".to_owned(),
            body: item.body.clone(),
        };
        item.reward = Some(request.into());
    }
    job
}

/// Builds an engine that holds the weights of the jobs' model.
pub fn engine(id: &str, slot_count: usize) -> EngineSpec {
    EngineSpec {
        id: id.into(),
        started_at_ms: 1,
        service: "engines".into(),
        slot_count,
        memory_tokens: 1_000_000,
        tokens_per_event: 61,
        is_draining: false,
        software_version: "v1".into(),
        versions: BTreeMap::from([("writer".into(), 1)]),
    }
}
