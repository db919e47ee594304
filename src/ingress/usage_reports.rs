//! Saves the counts of this host, and reports those of all hosts to the platform while this
//! host coordinates (see docs/design/usage.md).

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::{Duration, SystemTime},
};

use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    batch::layout,
    clock::{Timestamp, millis},
    ids::AccountId,
    ingress::{
        duties,
        host::{DutySettings, Host},
        orders::FenceSource,
        stored,
        usage::{self, Batch, Counts, KEPT_WINDOW_COUNT, Tally, TrueTime, WindowNumber, Windows},
        wire::{DutyAnswer, UsageReport, Wire},
    },
    observe::telemetry::{
        USAGE_COUNTED, USAGE_LATE, USAGE_LOST, USAGE_REPEATED, USAGE_REPORTED, USAGE_UNSENT,
    },
    store::rows::{RowError, RowName, RowRange, RowStore, RowTransaction},
};

/// The table of the counts of hosts, with partitions by window and bucket.
const COUNT_TABLE: &str = "usage";

/// The table of the reports.
const REPORT_TABLE: &str = "usage-reports";

/// The partition of the reports.
const REPORT_PARTITION: &str = "fleet";

/// The key of the row with the window up to which all reports are known to have arrived.
const SENT_KEY: &str = "sent";

/// The number of partitions over which hosts spread the counts of one window, since a
/// partition takes 200 transactions a second.
const BUCKET_COUNT: u64 = 8;

/// How often the time of day is compared and counts are saved at the least.
const MIN_SAVE_INTERVAL: Duration = Duration::from_millis(500);

/// The longest time between two times at which a host saves its counts.
const MAX_SAVE_INTERVAL: Duration = Duration::from_secs(2);

/// The time between two saves per host of the fleet, so that the writes of all hosts stay
/// under the store's limit.
const SAVE_INTERVAL_PER_HOST: Duration = Duration::from_millis(10);

/// How often the coordinator looks for windows to report.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// The wait before a report that the platform did not take is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// After how many windows rows of counts are removed. What came after the report is told
/// then.
const SWEPT_AFTER: u64 = 4;

/// After how many windows they are removed again: hosts save counts of kept windows still
/// after the first removal, which may also have failed.
const SWEPT_AGAIN_AFTER: u64 = KEPT_WINDOW_COUNT + 2;

/// The largest number of rows that one transaction removes.
const MAX_REMOVAL_COUNT: usize = layout::MAX_ENTRY_COUNT;

/// What a host counts.
#[derive(Debug)]
pub struct UsageBook {
    windows: Windows,
    time: RefCell<TrueTime>,
    tally: RefCell<Tally>,
    /// Identifies this process in the names of rows.
    life: u64,
}

impl UsageBook {
    /// Creates a book without counts, which knows the time of day.
    pub fn new(duties: &DutySettings, now: Timestamp) -> Self {
        let book = Self {
            windows: Windows::new(duties.usage_window),
            time: RefCell::default(),
            tally: RefCell::default(),
            life: rand::random(),
        };
        book.observe_time(now);
        book
    }

    fn observe_time(&self, now: Timestamp) {
        // A time of day before the epoch cannot be counted in.
        if let Ok(unix_time) = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH) {
            self.time.borrow_mut().observe(now, unix_time);
        }
    }

    /// Returns the estimated true time at `now`.
    fn unix_time(&self, now: Timestamp) -> Duration {
        self.time.borrow().unix_time(now).unwrap_or_default()
    }

    fn row(&self, host: &str, batch: &Batch) -> RowName {
        let key = format!("{host}.{:016x}.{}", self.life, batch.sequence);
        let bucket = xxh3_64(host.as_bytes()) % BUCKET_COUNT;
        RowName::new(COUNT_TABLE, partition(batch.window, bucket), key)
    }
}

fn partition(window: WindowNumber, bucket: u64) -> String {
    format!("{window}-{bucket}")
}

/// Counts a request of `account` that an upstream began at `begun_at`.
pub fn record<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    account: Option<&AccountId>,
    begun_at: Timestamp,
) {
    if let (Some(book), Some(account)) = (&host.usage, account) {
        let window = book.windows.number(book.unix_time(begun_at));
        book.tally.borrow_mut().record(window, account);
        host.metrics.count(USAGE_COUNTED, 1);
    }
}

/// Saves the counts of this host from time to time.
pub async fn save_counts<S: RowStore, W: Wire>(host: Rc<Host<S, W>>) {
    let Some(book) = &host.usage else { return };
    let mut saved_at = host.now();
    loop {
        sleep(MIN_SAVE_INTERVAL).await;
        let now = host.now();
        book.observe_time(now);
        let host_count = host.view.borrow().host_count;
        let interval = (SAVE_INTERVAL_PER_HOST * host_count).min(MAX_SAVE_INTERVAL);
        if now.saturating_sub(saved_at) >= interval {
            saved_at = now;
            save_batches(&host, book).await;
        }
    }
}

/// Saves the last counts of a host that stops, for `time_left` at most.
pub async fn save_last_counts<S: RowStore, W: Wire>(host: &Rc<Host<S, W>>, time_left: Duration) {
    let Some(book) = &host.usage else { return };
    if timeout(time_left, save_batches(host, book)).await.is_err()
        || book.tally.borrow().unsaved_count() > 0
    {
        let lost_count = book.tally.borrow().unsaved_count();
        host.metrics.count(USAGE_LOST, lost_count);
        tracing::warn!(event = "usage.lost", lost_count, reason = "stopping");
    }
}

async fn save_batches<S: RowStore, W: Wire>(host: &Rc<Host<S, W>>, book: &UsageBook) {
    let current = book.windows.number(book.unix_time(host.now()));
    let lost_count = book.tally.borrow_mut().drop_outdated(current);
    if lost_count > 0 {
        host.metrics.count(USAGE_LOST, lost_count);
        tracing::warn!(event = "usage.lost", lost_count, reason = "not-saved");
    }
    let batches = book.tally.borrow_mut().batches();
    for batch in batches {
        let row = book.row(&host.settings.host, &batch);
        let value = match layout::encode(&batch.counts) {
            Ok(value) => value,
            Err(error) => {
                tracing::error!(event = "usage.not_encoded", window = batch.window, %error);
                continue;
            }
        };
        let transaction = RowTransaction::default()
            .expect(row.clone(), 0)
            .put(row, value);
        match host.store.commit(&transaction).await {
            // A conflict shows that the row was written before.
            Ok(_) | Err(RowError::Conflict { .. }) => {
                book.tally.borrow_mut().record_saved(batch.sequence);
            }
            // Also where this write was certainly not applied: an earlier one of the same batch
            // may still be, and its counts would be saved twice in another batch.
            Err(error) => {
                tracing::debug!(event = "usage.not_saved", window = batch.window, %error);
            }
        }
    }
}

/// Reports the usage of all hosts, for as long as this host coordinates.
pub async fn report<S: RowStore, W: Wire>(host: Rc<Host<S, W>>, fence_source: &impl FenceSource) {
    let (Some(book), Some(duties)) = (&host.usage, &host.settings.duties) else {
        return;
    };
    let mut reporter: Option<Reporter> = None;
    loop {
        sleep(REPORT_INTERVAL).await;
        if fence_source.fence().is_none() {
            continue;
        }
        if reporter.is_none() {
            match Reporter::resume(&host, book, duties).await {
                Ok(resumed) => reporter = Some(resumed),
                Err(error) => tracing::debug!(event = "usage.not_resumed", %error),
            }
        }
        if let Some(reporter) = &mut reporter {
            let unix_time = book.unix_time(host.now());
            if let Err(error) = reporter.commit_due(&host, book, unix_time).await {
                tracing::debug!(event = "usage.not_committed", %error);
            }
            reporter.send_committed(&host, duties, fence_source).await;
            host.metrics
                .gauge(USAGE_UNSENT, reporter.unsent.len() as u64);
        }
    }
}

/// The progress of the reports under one lease.
#[derive(Debug)]
struct Reporter {
    /// The next window to commit.
    next: WindowNumber,
    /// The window up to which all reports arrived.
    sent: Option<WindowNumber>,
    /// Committed reports that did not arrive for certain, the oldest first.
    unsent: VecDeque<UsageReport>,
    /// The windows that an earlier holder committed, whose reports may have arrived before.
    first_own: WindowNumber,
    retry_at: Timestamp,
}

impl Reporter {
    /// Reads how far the reports are.
    async fn resume<S: RowStore, W: Wire>(
        host: &Rc<Host<S, W>>,
        book: &UsageBook,
        duties: &DutySettings,
    ) -> Result<Self, RowError> {
        let range = layout::range(REPORT_TABLE, REPORT_PARTITION, "");
        let rows = stored::read_all(&host.store, range).await?;
        let mut sent = None;
        let mut reports: BTreeMap<WindowNumber, Counts> = BTreeMap::new();
        for row in &rows {
            if row.key == SENT_KEY {
                sent = Some(stored::decode(row)?);
            } else if let Ok(window) = row.key.parse() {
                let counts = stored::decode(row)?;
                reports.insert(window, counts);
            }
        }
        let unix_time = book.unix_time(host.now());
        let current = book.windows.number(unix_time);
        // A fleet without reports begins with the windows whose reports are not due yet.
        let first = book
            .windows
            .number(unix_time.saturating_sub(duties.usage_due));
        let next = reports
            .keys()
            .last()
            .map_or(first, |last| last + 1)
            .max(current.saturating_sub(KEPT_WINDOW_COUNT));
        let unsent = reports
            .into_iter()
            .filter(|(window, _)| sent.is_none_or(|sent| *window > sent))
            .map(|(window, counts)| UsageReport { window, counts })
            .collect();
        tracing::info!(event = "usage.resumed", next, sent);
        Ok(Self {
            next,
            sent,
            unsent,
            first_own: next,
            retry_at: Duration::ZERO,
        })
    }

    /// Commits the reports of all windows that have settled at `unix_time`.
    async fn commit_due<S: RowStore, W: Wire>(
        &mut self,
        host: &Rc<Host<S, W>>,
        book: &UsageBook,
        unix_time: Duration,
    ) -> Result<(), RowError> {
        let Some(last) = book.windows.last_settled(unix_time) else {
            return Ok(());
        };
        while self.next <= last {
            let window = self.next;
            let report = self.commit(host, window).await?;
            self.unsent.push_back(report);
            self.next += 1;
            sweep(host, window.saturating_sub(SWEPT_AFTER)).await?;
            sweep(host, window.saturating_sub(SWEPT_AGAIN_AFTER)).await?;
        }
        Ok(())
    }

    /// Commits the report of `window`, unless another holder did, and returns the committed
    /// one: only that may be sent.
    async fn commit<S: RowStore, W: Wire>(
        &self,
        host: &Rc<Host<S, W>>,
        window: WindowNumber,
    ) -> Result<UsageReport, RowError> {
        let (counts, _) = read_counts(&host.store, window).await?;
        let name = report_row(window);
        let mut transaction = RowTransaction::default()
            .expect(name.clone(), 0)
            .put(
                name.clone(),
                layout::encode(&counts).map_err(stored::unreadable)?,
            )
            .remove(report_row(window.saturating_sub(KEPT_WINDOW_COUNT)));
        if let Some(sent) = self.sent {
            let name = RowName::new(REPORT_TABLE, REPORT_PARTITION, SENT_KEY);
            let value = layout::encode(&sent).map_err(stored::unreadable)?;
            transaction = transaction.put(name, value);
        }
        match host.store.commit(&transaction).await {
            Ok(_) => Ok(UsageReport { window, counts }),
            Err(RowError::Conflict { current }) => {
                let row = current.iter().find(|row| row.key == name.key);
                let row = row.ok_or(RowError::Unknown)?;
                let counts = stored::decode(row)?;
                Ok(UsageReport { window, counts })
            }
            Err(error) => Err(error),
        }
    }

    /// Sends committed reports until one does not arrive for certain.
    async fn send_committed<S: RowStore, W: Wire>(
        &mut self,
        host: &Rc<Host<S, W>>,
        duties: &DutySettings,
        fence_source: &impl FenceSource,
    ) {
        while let Some(report) = self.unsent.front() {
            if host.now() < self.retry_at {
                return;
            }
            let answer = duties::send(host, duties, fence_source, |holder, address| {
                W::usage_request(report, holder, address)
            })
            .await;
            let is_repeat = report.window < self.first_own;
            tracing::info!(
                event = "usage.reported",
                window = report.window,
                account_count = report.counts.len(),
                request_count = usage::total(&report.counts),
                fence = fence_source.fence(),
                is_repeat,
                answer = answer.map(|answer| answer.to_string()),
            );
            match answer {
                // A report that the platform rejects is not better when it is repeated.
                Some(DutyAnswer::Done | DutyAnswer::Rejected) => {
                    let counter = match is_repeat {
                        true => USAGE_REPEATED,
                        false => USAGE_REPORTED,
                    };
                    host.metrics.count(counter, 1);
                    self.sent = self.sent.max(Some(report.window));
                    self.unsent.pop_front();
                }
                _ => self.retry_at = host.now() + RETRY_INTERVAL,
            }
        }
    }
}

fn report_row(window: WindowNumber) -> RowName {
    // Rows are read in the order of their keys.
    RowName::new(REPORT_TABLE, REPORT_PARTITION, format!("{window:020}"))
}

/// Returns the sum of all counts of `window`, and the rows that have them.
async fn read_counts(
    store: &impl RowStore,
    window: WindowNumber,
) -> Result<(Counts, Vec<RowName>), RowError> {
    let mut sum = Counts::new();
    let mut names = Vec::new();
    for bucket in 0..BUCKET_COUNT {
        let range = layout::range(COUNT_TABLE, &partition(window, bucket), "");
        for row in stored::read_all(store, range).await? {
            let counts: Counts = stored::decode(&row)?;
            usage::add_counts(&mut sum, &counts);
            names.push(RowName::new(COUNT_TABLE, row.partition, row.key));
        }
    }
    Ok((sum, names))
}

/// Removes the counts of `window`, and tells how many came after its report.
async fn sweep<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    window: WindowNumber,
) -> Result<(), RowError> {
    let (counts, names) = read_counts(&host.store, window).await?;
    if names.is_empty() {
        return Ok(());
    }
    let key = report_row(window).key;
    let range = RowRange {
        limit_count: 1,
        ..layout::range(REPORT_TABLE, REPORT_PARTITION, &key)
    };
    let page = host.store.read(&range).await?;
    let reported: Counts = match page.rows.iter().find(|row| row.key == key) {
        Some(row) => stored::decode(row)?,
        None => Counts::new(),
    };
    let late_count = usage::total(&counts).saturating_sub(usage::total(&reported));
    if late_count > 0 {
        host.metrics.count(USAGE_LATE, late_count);
        tracing::warn!(event = "usage.late", window, late_count);
    }
    let mut partitions: BTreeMap<String, Vec<RowName>> = BTreeMap::new();
    for name in names {
        partitions
            .entry(name.partition.clone())
            .or_default()
            .push(name);
    }
    for names in partitions
        .values()
        .flat_map(|names| names.chunks(MAX_REMOVAL_COUNT))
    {
        let transaction = names
            .iter()
            .fold(RowTransaction::default(), |transaction, name| {
                transaction.remove(name.clone())
            });
        host.store.commit(&transaction).await?;
    }
    tracing::debug!(
        event = "usage.swept",
        window,
        request_count = usage::total(&counts),
        at_ms = millis(host.now()),
    );
    Ok(())
}
