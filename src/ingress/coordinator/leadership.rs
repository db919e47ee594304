//! Claiming, renewing, releasing and losing the coordinator lease.

use std::{rc::Rc, time::Duration};

use futures_util::future::join_all;
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use super::Coordinator;
use crate::{
    batch::layout,
    clock::{Timestamp, millis},
    ids::HostId,
    ingress::{
        capacity_orders, handover,
        notices::{self, NOTICE_KEY},
        orders::ORDER_TIMEOUT,
        permits, reach, retention,
        routes::ServiceName,
        stored, usage_reports,
        wire::Wire,
    },
    observe::telemetry::LEASES_TAKEN,
    store::rows::{RowError, RowName, RowPage, RowRange, RowStore, RowTransaction},
    weights::lease::{self, Machine, Terms, Versioned, WriteOutcome},
};

/// The table, partition and key of the lease record.
const LEASE_TABLE: &str = "leases";

const LEASE_PARTITION: &str = "fleet";

const LEASE_KEY: &str = "coordinator";

/// The durations of the lease. After its holder is killed, another host takes
/// over after the lease period, the order timeout and the jitter. The lease is
/// renewed three times per period, so that one slow answer of the store, 240 ms
/// in the deployment specification, does not lose it.
const LEASE_TERMS: Terms = Terms {
    lease: Duration::from_millis(1_000),
    order_timeout: ORDER_TIMEOUT,
    watch_interval: Duration::from_millis(250),
    max_claim_jitter: Duration::from_millis(150),
};

/// The timeout of a lease read or write; a later answer would be too late to
/// renew.
const LEASE_CALL_TIMEOUT: Duration = Duration::from_millis(450);

/// How much longer than the platform requires a new holder waits before its
/// first order, since an order of the previous holder may still be in flight.
const ORDER_QUIET_MARGIN: Duration = Duration::from_millis(200);

/// The pause after a host left a free lease to others.
const DECLINE_DELAY: Duration = Duration::from_millis(150);

/// How often a coordinator that reaches no engine asks whether others do.
const SURVEY_INTERVAL: Duration = Duration::from_millis(500);

/// How long a planned stop waits for the write that releases the lease.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The CPU share at or above which a host competes without extra delay; the
/// larger machines in the deployment specification have this much.
const LARGE_CPU_SHARE_RATIO: f64 = 0.5;

/// The extra delay before a host with no CPU share claims a free lease. It
/// exceeds the watch interval of a large host, so that large hosts claim first.
const MAX_EXTRA_CLAIM_DELAY: Duration = Duration::from_millis(400);

/// The extra delay between two reads of the lease on a host with no CPU share.
/// Each read is a call to the store, and most hosts of a large fleet are small.
const MAX_WATCH_DELAY: Duration = Duration::from_millis(1_000);

/// Creates the state machine by which a host competes for the lease. The
/// smaller its CPU share, the later the host claims, so that large hosts lead.
pub(super) fn lease_machine(host: HostId, life: u64, cpu_share_ratio: f64) -> Machine {
    let missing_share_ratio = 1.0 - (cpu_share_ratio / LARGE_CPU_SHARE_RATIO).clamp(0.0, 1.0);
    let terms = Terms {
        watch_interval: LEASE_TERMS.watch_interval + MAX_WATCH_DELAY.mul_f64(missing_share_ratio),
        ..LEASE_TERMS
    };
    Machine::new(host, life, terms)
        .reclaiming_own_lease()
        .with_extra_claim_delay(MAX_EXTRA_CLAIM_DELAY.mul_f64(missing_share_ratio))
}

impl<S: RowStore, W: Wire> Coordinator<S, W> {
    /// Releases the lease, so that another host can take over at once.
    ///
    /// Runs in progress continue, and their results are listed if they end
    /// before the new coordinator's runs do.
    pub async fn hand_over(&self) {
        // The next coordinator issues permits as soon as the lease is released.
        self.host.is_issuing.set(false);
        let action = self.lease.borrow_mut().release(self.host.now());
        if let Some(action) = action {
            let released = timeout(RELEASE_TIMEOUT, self.call_store(action))
                .await
                .is_ok();
            tracing::info!(event = "lease.released", released);
        }
        if let Some(task) = self.follow_task.borrow_mut().take() {
            task.abort();
        }
    }

    pub(super) async fn keep_lease(self: &Rc<Self>) {
        let quiet = self.host.settings.order_quiet + ORDER_QUIET_MARGIN;
        if self.is_leading.get() && self.must_step_aside().await {
            self.step_aside().await;
            return;
        }
        let (action, is_claim) = {
            let now = self.host.now();
            let mut lease = self.lease.borrow_mut();
            lease.set_takeover_quiet_until(self.host.store_time().unwrap_or_default() + quiet);
            let action = lease.poll(now);
            let is_write = matches!(action, Some(lease::Action::Write { .. }));
            (action, is_write && !lease.is_held(now))
        };
        if is_claim && !self.may_claim().await {
            // The record is read again, as another host may have claimed the lease.
            let refused = lease::Event::Wrote(WriteOutcome::Refused);
            self.lease.borrow_mut().apply(refused, self.host.now());
            sleep(DECLINE_DELAY).await;
            return;
        }
        if let Some(action) = action {
            self.perform_lease_action(action).await;
        }
        let now = self.host.now();
        if self.lease.borrow().is_held(now) {
            self.last_held_at.set(now);
        }
    }

    /// Returns whether this host reaches no engine of some service, and another host does.
    ///
    /// Engines that are down for all hosts are no reason to hand over: the lease would
    /// only wander.
    async fn must_step_aside(&self) -> bool {
        let lost: Vec<ServiceName> = reach::engine_services(&self.host)
            .into_iter()
            .filter(|service| self.host.reach.borrow().is_lost(service))
            .collect();
        let now = self.host.now();
        if lost.is_empty() || now < self.next_survey_at.get() {
            return false;
        }
        self.next_survey_at.set(now + SURVEY_INTERVAL);
        let surveys = lost
            .into_iter()
            .map(|service| handover::survey_peers(self.host.clone(), service));
        join_all(surveys).await.contains(&true)
    }

    /// Gives the lease up, so that a host that reaches the engines takes it.
    async fn step_aside(self: &Rc<Self>) {
        let Some(action) = self.lease.borrow_mut().release(self.host.now()) else {
            return;
        };
        let released = timeout(RELEASE_TIMEOUT, self.call_store(action)).await;
        let event = match released {
            Ok((event, _)) => event,
            Err(_) => lease::Event::Wrote(WriteOutcome::Unknown),
        };
        tracing::info!(
            event = "lease.released",
            released = matches!(event, lease::Event::Wrote(WriteOutcome::DoneAt(_))),
            reason = "out-of-reach",
        );
        let now = self.host.now();
        self.lease.borrow_mut().apply(event, now);
        self.stop_leading();
    }

    /// Returns whether this host may claim a free lease: it reaches the engines of all
    /// services, or no other host claimed it for a while.
    async fn may_claim(&self) -> bool {
        let services = reach::engine_services(&self.host);
        let checks = services
            .iter()
            .map(|service| reach::check(&self.host, service));
        if join_all(checks)
            .await
            .into_iter()
            .all(|is_reached| is_reached)
        {
            self.deference.borrow_mut().end();
            return true;
        }
        let must_wait = self.deference.borrow_mut().must_wait(self.host.now());
        if !must_wait {
            tracing::info!(event = "lease.claimed_out_of_reach");
        }
        !must_wait
    }

    pub(super) async fn perform_lease_action(self: &Rc<Self>, action: lease::Action) {
        let is_write = matches!(action, lease::Action::Write { .. });
        let result = timeout(LEASE_CALL_TIMEOUT, self.call_store(action)).await;
        let (event, found) = result.unwrap_or(if is_write {
            (lease::Event::Wrote(WriteOutcome::Unknown), None)
        } else {
            (lease::Event::Read(None), None)
        });
        let now = self.host.now();
        self.lease.borrow_mut().apply(event, now);
        let is_held = self.lease.borrow().is_held(now);
        if is_held && !self.is_leading.get() {
            self.start_leading(now);
        }
        let is_other_holder = found.is_some_and(|record| {
            record.holder != self.host.settings.host || record.life != self.life
        });
        if is_other_holder && self.is_leading.get() && !is_held {
            self.stop_leading();
        }
    }

    /// Sends a request of the lease state machine to the store, and returns its
    /// result and the record that was read, if any.
    pub(super) async fn call_store(
        &self,
        action: lease::Action,
    ) -> (lease::Event, Option<lease::Record>) {
        let name = RowName::new(LEASE_TABLE, LEASE_PARTITION, LEASE_KEY);
        match action {
            lease::Action::Read => {
                let found = self.host.store.read(&lease_range()).await;
                if let Ok(page) = &found
                    && let Some(row) = page.rows.iter().find(|row| row.key == NOTICE_KEY)
                {
                    notices::apply(&self.host, row);
                }
                let found = found.and_then(decode_lease);
                match found {
                    Ok(found) => {
                        let record = found.as_ref().map(|found| found.record.clone());
                        (lease::Event::Read(Some(found)), record)
                    }
                    Err(error) => {
                        tracing::debug!(event = "lease.not_read", %error);
                        (lease::Event::Read(None), None)
                    }
                }
            }
            lease::Action::Write { version, record } => {
                let value = match layout::encode(&record) {
                    Ok(value) => value,
                    Err(error) => {
                        tracing::error!(event = "lease.not_encoded", %error);
                        return (lease::Event::Wrote(WriteOutcome::NotApplied), None);
                    }
                };
                let transaction = RowTransaction::default()
                    .expect(name.clone(), version)
                    .put(name, value);
                let wrote = match self.host.store.commit(&transaction).await {
                    Ok(applied) => WriteOutcome::DoneAt(applied.stamp),
                    Err(RowError::Conflict { .. }) => WriteOutcome::Refused,
                    Err(RowError::NotApplied { .. }) => WriteOutcome::NotApplied,
                    Err(_) => WriteOutcome::Unknown,
                };
                (lease::Event::Wrote(wrote), None)
            }
        }
    }

    pub(super) fn start_leading(self: &Rc<Self>, now: Timestamp) {
        let (fence, quiet_until) = {
            let lease = self.lease.borrow();
            (lease.fence(now), lease.quiet_until())
        };
        let quiet = quiet_until.saturating_sub(self.host.store_time().unwrap_or_default());
        self.is_leading.set(true);
        self.host.metrics.count(LEASES_TAKEN, 1);
        tracing::info!(event = "lease.taken", fence, quiet_ms = millis(quiet));
        permits::start_issuing(&self.host);
        let this = self.clone();
        let follow_task = spawn_local(async move {
            tokio::join!(
                this.clone().follow_jobs(),
                this.clone().poll_store(),
                notices::publish(
                    this.host.clone(),
                    LEASE_TABLE,
                    LEASE_PARTITION,
                    fence.unwrap_or_default()
                ),
                retention::run_sweeps(this.host.clone()),
                usage_reports::report(this.host.clone(), &*this),
                capacity_orders::run(this.host.clone(), &*this)
            );
        });
        *self.follow_task.borrow_mut() = Some(follow_task.abort_handle());
        self.wake.notify_one();
    }

    /// Stops leading and drops all jobs, since another host is the coordinator
    /// now.
    pub(super) fn stop_leading(&self) {
        tracing::info!(event = "lease.lost");
        self.is_leading.set(false);
        self.host.is_issuing.set(false);
        if let Some(task) = self.follow_task.borrow_mut().take() {
            task.abort();
        }
        let actions = self.scheduler.borrow_mut().reset();
        self.cancel_runs(&actions);
        self.order_counts.borrow_mut().clear();
        self.engines_revision.set(None);
        self.lister.forget_all();
        self.reads.borrow_mut().clear();
        self.held_jobs.borrow_mut().clear();
        self.job_needs.borrow_mut().clear();
        self.closing_jobs.borrow_mut().clear();
        self.epoch.set(self.epoch.get() + 1);
    }
}

/// Returns the range that contains the lease record and the coordinator's notice.
pub(super) fn lease_range() -> RowRange {
    RowRange {
        table: LEASE_TABLE,
        partition: LEASE_PARTITION.to_owned(),
        from: String::new(),
        to: String::new(),
        // The lease and the notice beside it.
        limit_count: 2,
    }
}

fn decode_lease(page: RowPage) -> Result<Option<Versioned>, RowError> {
    let Some(row) = page.rows.iter().find(|row| row.key == LEASE_KEY) else {
        return Ok(None);
    };
    Ok(Some(Versioned {
        version: row.stamp,
        record: stored::decode(row)?,
    }))
}
