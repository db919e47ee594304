//! The usage of accounts is counted once, by windows of true time, and each window has one
//! report whoever sends it (docs/design/shared-fleet.md, "Usage reports").

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

mod rows_support;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, SystemTime},
};

use mimosavane::{
    batch::layout,
    clock::Timestamp,
    ids::FenceNumber,
    ingress::{
        duties,
        host::{DutySettings, HostSettings},
        orders::FenceSource,
        usage::{Counts, KEPT_WINDOW_COUNT, SETTLE_TIME, Tally, TrueTime, Windows},
        usage_reports,
        wire::{UsageReport, Wire as _},
    },
    platform::{
        PlatformWire,
        standin::{ArrivedReport, Cloud, CloudFault, Record},
    },
    store::rows::{RowRange, RowStore as _},
};
use rows_support::{
    Fault, Rows,
    host::{TestHost, host_with, settings},
    leader::wait_until,
    page::run,
};
use tokio::{net::TcpListener, task::spawn_local, time::sleep};

/// The length of a window in these tests.
const WINDOW: Duration = Duration::from_secs(1);

const ACCOUNT: &str = "reader";

/// Longer than it takes to settle and report a window.
const REPORT_TIME: Duration = Duration::from_secs(8);

fn seconds(time_s: u64) -> Duration {
    Duration::from_secs(time_s)
}

/// A lease that is held or not.
#[derive(Clone, Debug, Default)]
struct Lease {
    fence: Rc<Cell<Option<FenceNumber>>>,
    /// How often it is still held when it is asked for; `None` for ever.
    left_count: Rc<Cell<Option<u32>>>,
}

impl Lease {
    fn held(fence: FenceNumber) -> Self {
        let lease = Self::default();
        lease.fence.set(Some(fence));
        lease
    }
}

impl FenceSource for Lease {
    fn fence(&self) -> Option<FenceNumber> {
        match self.left_count.get() {
            Some(0) => None,
            Some(left_count) => {
                self.left_count.set(Some(left_count - 1));
                self.fence.get()
            }
            None => self.fence.get(),
        }
    }
}

/// The platform's address and store.
struct Platform {
    rows: Rows,
    address: SocketAddr,
    cloud: Rc<Cloud>,
    record: Rc<RefCell<Record>>,
    window: Duration,
}

impl Platform {
    async fn start() -> Self {
        Self::start_with(WINDOW).await
    }

    async fn start_with(window: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let record: Rc<RefCell<Record>> = Rc::default();
        Self {
            rows: Rows::default(),
            address: listener.local_addr().unwrap(),
            cloud: Cloud::start(listener, record.clone()),
            record,
            window,
        }
    }

    fn duties(&self) -> DutySettings {
        DutySettings {
            address: self.address,
            max_rate_per_s: 50.0,
            reports_usage: true,
            orders_upstreams: false,
            usage_window: self.window,
            usage_due: Duration::from_secs(10),
        }
    }

    /// Starts a host that saves its counts.
    fn host(&self, name: &str) -> TestHost {
        let settings = HostSettings {
            host: name.into(),
            duties: Some(self.duties()),
            ..settings()
        };
        let host = host_with(settings, &self.rows);
        spawn_local(usage_reports::save_counts(host.clone()));
        host
    }

    /// Lets `host` report under `lease`, until the task is aborted.
    fn report(&self, host: &TestHost, lease: &Lease) -> tokio::task::AbortHandle {
        let (host, lease) = (host.clone(), lease.clone());
        let task = spawn_local(async move { usage_reports::report(host, &lease).await });
        task.abort_handle()
    }

    /// Returns the different contents that arrived for each window.
    fn contents(&self) -> BTreeMap<u64, BTreeSet<u64>> {
        let mut contents: BTreeMap<u64, BTreeSet<u64>> = BTreeMap::new();
        for report in self.record.borrow().usage_reports() {
            let count = report.counts.values().sum();
            contents.entry(report.window).or_default().insert(count);
        }
        contents
    }

    /// Returns how many requests were reported, each window once.
    fn reported_count(&self) -> u64 {
        self.contents().values().flatten().sum()
    }

    /// Returns the counts of all windows that are saved.
    async fn saved_count(&self) -> u64 {
        let mut sum = 0;
        for partition in self.rows.partitions("usage", "").await.unwrap() {
            let range = RowRange {
                table: "usage",
                partition,
                from: String::new(),
                to: String::new(),
                limit_count: 1_000,
            };
            for row in self.rows.read(&range).await.unwrap().rows {
                let counts: Counts = layout::decode(&row.key, &row.value).unwrap();
                sum += counts.values().sum::<u64>();
            }
        }
        sum
    }

    async fn wait_until_saved(&self, what: &str, count: u64) {
        for _ in 0..400 {
            if self.saved_count().await == count {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("{what}: {}", self.saved_count().await);
    }
}

fn record(host: &TestHost, count: usize, begun_at: Timestamp) {
    for _ in 0..count {
        usage_reports::record(host, Some(&ACCOUNT.into()), begun_at);
    }
}

/// Guards against windows that hosts and the platform number differently, and against a
/// window that is reported before its last counts are saved.
#[test]
fn window_numbers() {
    let windows = Windows::new(seconds(5));
    let numbers = [0, 4_999, 5_000, 1_767_225_600_000];
    let numbers = numbers.map(|ms| windows.number(Duration::from_millis(ms)));
    assert_eq!(numbers, [0, 0, 1, 353_445_120]);
    let end = seconds(50);
    let just_before = end + SETTLE_TIME - Duration::from_millis(1);
    assert_eq!(windows.last_settled(just_before), Some(8));
    assert_eq!(windows.last_settled(end + SETTLE_TIME), Some(9));
    assert_eq!(windows.last_settled(seconds(3)), None);
}

/// Guards against counts in other windows while the time of day of a host is stepped, and
/// against a host that never follows one which lasts.
#[test]
fn stepped_clock() {
    let day = seconds(1_767_225_600);
    for step_s in [-3_600.0_f64, -7.0, 7.0, 3_600.0] {
        let stepped = |now: Duration| match step_s < 0.0 {
            true => day + now - Duration::from_secs_f64(-step_s),
            false => day + now + Duration::from_secs_f64(step_s),
        };
        let mut time = TrueTime::default();
        assert_eq!(time.unix_time(seconds(1)), None);
        for number in 0..100 {
            let now = seconds(1) + Duration::from_millis(500) * number;
            let unix_time = match number {
                40..65 => stepped(now),
                _ => day + now,
            };
            time.observe(now, unix_time);
            assert_eq!(time.unix_time(now), Some(day + now), "{step_s} {number}");
        }
        for number in 100..140 {
            let now = seconds(1) + Duration::from_millis(500) * number;
            time.observe(now, stepped(now));
        }
        assert_eq!(time.unix_time(seconds(80)), Some(stepped(seconds(80))));
    }
}

/// Guards against counts that are saved twice, or not at all, after an answer of the store
/// that was lost.
#[test]
fn unconfirmed_batches() {
    let account = ACCOUNT.into();
    let mut tally = Tally::default();
    tally.record(7, &account);
    tally.record(8, &account);
    let first = tally.batches();
    assert_eq!(first.len(), 2);
    // Counts that come later must not change a batch that may be saved.
    tally.record(7, &account);
    assert_eq!(tally.batches(), first);
    tally.record_saved(first[0].sequence);
    assert_eq!(tally.batches(), first[1..]);
    tally.record_saved(first[1].sequence);
    let second = tally.batches();
    assert!(
        second
            .iter()
            .all(|batch| batch.sequence > first[1].sequence)
    );
    assert_eq!(tally.unsaved_count(), 1);
    for batch in second {
        tally.record_saved(batch.sequence);
    }
    assert_eq!((tally.unsaved_count(), tally.batches()), (0, vec![]));
    tally.record(7, &account);
    assert_eq!(tally.drop_outdated(7 + KEPT_WINDOW_COUNT), 0);
    assert_eq!(tally.drop_outdated(8 + KEPT_WINDOW_COUNT), 1);
}

/// Guards against the same in a whole host, whose writes are lost, late and refused.
#[test]
fn faulty_writes() {
    run(async {
        let platform = Platform::start().await;
        let host = platform.host("entry-1");
        for faults in [
            vec![Fault::AnswerLost],
            vec![Fault::Late(1), Fault::Refused],
            vec![Fault::Late(2), Fault::AnswerLost],
            vec![Fault::Refused, Fault::AnswerLost, Fault::Late(1)],
        ] {
            for fault in faults {
                platform.rows.fail_next(fault);
            }
            record(&host, 5, host.now());
            sleep(Duration::from_millis(700)).await;
        }
        sleep(seconds(3)).await;
        assert_eq!(platform.saved_count().await, 20);
    });
}

/// Guards against two reports of one window: a host that held the lease, and holds it again,
/// settles a window that another holder has reported meanwhile, and of which counts came late.
#[test]
fn two_holders() {
    run(async {
        let platform = Platform::start().await;
        let [one, two] = ["entry-1", "entry-2"].map(|name| platform.host(name));
        let begun_at = one.now();
        record(&one, 5, begun_at);
        let lease = Lease::held(8);
        platform.report(&two, &lease);
        wait_until("never resumed", || !platform.contents().is_empty()).await;
        lease.fence.set(None);
        platform.report(&one, &Lease::held(7));
        wait_until("never reported", || platform.reported_count() == 5).await;
        record(&one, 3, begun_at);
        platform.wait_until_saved("never saved", 8).await;
        lease.fence.set(Some(9));
        let is_repeated = || {
            let record = platform.record.borrow();
            let mut reports = record.usage_reports().iter();
            reports.any(|report| report.fence == 9 && report.counts.contains_key(ACCOUNT))
        };
        wait_until("never repeated", is_repeated).await;
        assert_eq!(platform.reported_count(), 5, "{:?}", platform.contents());
    });
}

/// Guards against a later holder that sums a window up again: the answer to its report was
/// lost, and counts of it came later.
#[test]
fn next_holder() {
    run(async {
        let platform = Platform::start().await;
        let [one, two] = ["entry-1", "entry-2"].map(|name| platform.host(name));
        let begun_at = one.now();
        record(&one, 5, begun_at);
        let first_task = platform.report(&one, &Lease::held(7));
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let before = Windows::new(WINDOW).number(since_epoch.unwrap()) - 1;
        wait_until("never began", || platform.contents().contains_key(&before)).await;
        platform.cloud.set_fault(CloudFault::LosesAnswers);
        wait_until("never sent", || platform.reported_count() == 5).await;
        first_task.abort();
        record(&two, 3, begun_at);
        sleep(seconds(1)).await;
        let sent_count = platform.record.borrow().usage_reports().len();
        platform.cloud.set_fault(CloudFault::None);
        platform.report(&two, &Lease::held(8));
        let is_repeated = || {
            let record = platform.record.borrow();
            let later = &record.usage_reports()[sent_count..];
            later.iter().any(|report| {
                report.counts.get(ACCOUNT) == Some(&5) && report.status == 200 && report.fence == 8
            })
        };
        wait_until("never repeated", is_repeated).await;
        let contents = platform.contents();
        assert!(
            contents.values().all(|counts| counts.len() == 1),
            "{contents:?}"
        );
    });
}

/// Guards against reports without the lease, also where it ends while the connection is
/// being opened.
#[test]
fn without_lease() {
    run(async {
        let platform = Platform::start().await;
        let host = platform.host("entry-1");
        let lease = Lease::default();
        platform.report(&host, &lease);
        record(&host, 5, host.now());
        sleep(REPORT_TIME).await;
        assert!(platform.record.borrow().usage_reports().is_empty());
        let report = UsageReport {
            window: 1,
            counts: BTreeMap::from([(ACCOUNT.into(), 1)]),
        };
        let lost = Lease::held(7);
        lost.left_count.set(Some(1));
        let duties = platform.duties();
        let sent = duties::send(&host, &duties, &lost, |holder, address| {
            PlatformWire::usage_request(&report, holder, address)
        });
        assert_eq!(sent.await, None);
        assert!(platform.record.borrow().usage_reports().is_empty());
        lease.fence.set(Some(9));
        wait_until("never reported", || platform.reported_count() == 5).await;
    });
}

/// Guards against reports that an outage of the receiver loses, changes or reorders.
#[test]
fn receiver_away() {
    run(async {
        let platform = Platform::start().await;
        let host = platform.host("entry-1");
        platform.cloud.set_fault(CloudFault::Down);
        platform.report(&host, &Lease::held(7));
        record(&host, 5, host.now());
        sleep(REPORT_TIME).await;
        assert!(platform.record.borrow().usage_reports().is_empty());
        for fault in [
            CloudFault::LosesAnswers,
            CloudFault::RateLimited,
            CloudFault::Slow,
        ] {
            platform.cloud.set_fault(fault);
            sleep(seconds(1)).await;
        }
        platform.cloud.set_fault(CloudFault::None);
        let taken = || -> Vec<(u64, u64)> {
            let record = platform.record.borrow();
            let reports = record.usage_reports().iter();
            let taken = reports.filter(|report| report.status == 200);
            let pairs = taken.map(|report| (report.window, report.counts.values().sum()));
            pairs.collect()
        };
        wait_until("too few reports", || {
            let windows: BTreeSet<u64> = taken().iter().map(|(window, _)| *window).collect();
            windows.len() >= 8 && platform.reported_count() == 5
        })
        .await;
        let mut taken = taken();
        assert!(taken.is_sorted(), "{taken:?}");
        taken.dedup();
        let windows: Vec<u64> = taken.iter().map(|(window, _)| *window).collect();
        let first = windows[0];
        let expected: Vec<u64> = (first..first + windows.len() as u64).collect();
        assert_eq!(windows, expected);
        assert_eq!(platform.reported_count(), 5);
    });
}

/// Guards against reports that an outage of the store loses: neither counts nor reports can
/// be written while windows end.
#[test]
fn store_away() {
    run(async {
        let platform = Platform::start().await;
        let host = platform.host("entry-1");
        platform.report(&host, &Lease::held(7));
        platform.rows.fail_reads(Some("fleet"));
        for _ in 0..12 {
            platform.rows.fail_next(Fault::Refused);
        }
        record(&host, 5, host.now());
        sleep(REPORT_TIME).await;
        assert_eq!(platform.reported_count(), 0);
        platform.rows.fail_reads(None);
        wait_until("never reported", || platform.reported_count() == 5).await;
        let contents = platform.contents();
        assert!(
            contents.values().all(|counts| counts.len() == 1),
            "{contents:?}"
        );
    });
}

/// Guards against rows of counts that stay in the store for ever: those of reported windows,
/// and those that are saved after the rows of their window were removed.
#[test]
fn rows_removed() {
    run(async {
        let window = Duration::from_millis(300);
        let platform = Platform::start_with(window).await;
        let [host, late] = ["entry-1", "entry-2"].map(|name| platform.host(name));
        platform.report(&host, &Lease::held(7));
        let begun_at = host.now();
        record(&host, 5, begun_at);
        wait_until("never reported", || platform.reported_count() == 5).await;
        platform.wait_until_saved("kept after the report", 0).await;
        // Hosts still save what they counted in windows that are no longer kept.
        record(&late, 3, begun_at);
        platform.wait_until_saved("never saved", 3).await;
        platform.wait_until_saved("kept for ever", 0).await;
    });
}

/// Guards against a record that does not see what the platform would: duty calls of two
/// holders, and two reports of one window.
#[test]
fn record_of_duties() {
    let broken_by = |calls: &[(&str, u64)]| -> Vec<&'static str> {
        let mut record = Record::default();
        for (holder, fence) in calls {
            record.add_duty_call("usage", holder, *fence);
        }
        let violations = record.close();
        violations.iter().map(|found| found.promise).collect()
    };
    let one = ["one-duty-holder"];
    assert!(broken_by(&[("a", 1), ("a", 1), ("a", 3), ("b", 4)]).is_empty());
    assert_eq!(broken_by(&[("a", 2), ("a", 1)]), one);
    assert_eq!(broken_by(&[("a", 1), ("b", 1)]), one);
    assert_eq!(broken_by(&[("a", 1), ("b", 2), ("a", 3)]), one);
    let mut record = Record::default();
    for count in [5, 5, 6] {
        let counts = BTreeMap::from([(ACCOUNT.to_owned(), count)]);
        record.add_usage_report(ArrivedReport::new(1, counts, "a", 1, 200));
    }
    let violations = record.close();
    let promises: Vec<&str> = violations.iter().map(|found| found.promise).collect();
    assert_eq!(promises, ["one-report"]);
}
