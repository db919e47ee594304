//! The life cycle of a coordinator's jobs: opening, saving outputs, listing
//! results and ending.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use futures_util::{StreamExt as _, TryStreamExt as _, future::join_all, stream};
use tokio::{task::spawn_local, time::sleep};

use super::{Coordinator, leadership::lease_range};
use crate::{
    batch::{
        job::JobId,
        layout,
        output::{Output, OutputPart},
    },
    clock::millis,
    ids::FenceNumber,
    ingress::{
        feeds,
        memory::{Charge, Side},
        metered::{MeteredStore, NO_ROOM},
        stored::{self, StoredJob},
        wire::Wire,
    },
    observe::telemetry::{RESULT_AGE, RESULTS_LISTED},
    store::rows::{RowError, RowStamp, RowStore},
};

/// The delay before the feed of open jobs is read again after a store error.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(150);

/// How often outputs are saved, so that a coordinator that takes over can
/// resume from them.
const SAVE_INTERVAL: Duration = Duration::from_millis(400);

/// The fewest new events for which an item's output is saved: a quarter of a
/// second of work at the rates in the deployment specification, which a new run
/// repeats in the same time.
const MIN_UNSAVED_EVENT_COUNT: u64 = 6;

/// How long whole outputs are batched before they are saved in one transaction.
const WHOLE_BATCH_DELAY: Duration = Duration::from_millis(10);

/// How often new jobs and versions are read beside the feeds. A step that starts a
/// second late ends a second late.
const POLL_INTERVAL: Duration = Duration::from_millis(400);

/// How many jobs are read from the store at once.
pub(super) const MAX_CONCURRENT_READS: usize = 8;

/// How long one request to the feed of open jobs waits for a change.
const FEED_WAIT: Duration = Duration::from_millis(1_500);

/// A job with its saved outputs, and the charges for both.
type ReadJob = (Option<StoredJob>, BTreeMap<usize, Output>, Vec<Charge>);

impl<S: RowStore, W: Wire> Coordinator<S, W> {
    /// Lists the finished items of `job` until none is left.
    pub(super) async fn list_results(self: Rc<Self>, job: JobId) {
        let outcome = self.lister.list(&job).await;
        self.host
            .metrics
            .count(RESULTS_LISTED, outcome.listed_count as u64);
        if let Some(age) = self.job_age(&job) {
            self.host.metrics.time(RESULT_AGE, age);
        }
        self.cancel_runs(&outcome.cancelled);
        if outcome.is_job_closed {
            self.drop_job(&job);
        }
        self.wake.notify_one();
    }

    /// Returns how long ago `job` was accepted, if this coordinator has it
    /// open.
    pub(super) fn job_age(&self, job: &JobId) -> Option<Duration> {
        let store_time = self.host.store_time()?;
        let scheduler = self.scheduler.borrow();
        Some(layout::age(&scheduler.job(job)?.head, store_time))
    }

    pub(super) fn drop_job(&self, job: &JobId) {
        let actions = self.scheduler.borrow_mut().end(job);
        self.cancel_runs(&actions);
        self.held_jobs.borrow_mut().remove(job);
        self.job_needs.borrow_mut().remove(job);
        self.lister.forget(job);
    }

    /// Saves the partial outputs of runs periodically, so that a new
    /// coordinator can resume from them.
    pub(super) async fn save_outputs(self: Rc<Self>) {
        loop {
            sleep(SAVE_INTERVAL).await;
            let Some(fence) = self.saving_fence() else {
                continue;
            };
            let jobs = self.scheduler.borrow().open_jobs();
            for job in jobs {
                self.save_job_outputs(&job, fence).await;
            }
        }
    }

    pub(super) async fn save_job_outputs(&self, job: &JobId, fence: FenceNumber) {
        let parts = self.scheduler.borrow().unsaved(
            job,
            MIN_UNSAVED_EVENT_COUNT,
            layout::MAX_VALUE_BYTES / 2,
        );
        if parts.is_empty() {
            return;
        }
        let Some(saved_part_count) = self.commit_outputs(job, fence, &parts).await else {
            return;
        };
        let mut scheduler = self.scheduler.borrow_mut();
        for (item_index, part) in &parts[..saved_part_count] {
            scheduler.record_saved(job, *item_index, part.last_event());
        }
    }

    /// Returns the fencing number under which outputs are saved, or `None` while this
    /// host does not coordinate.
    fn saving_fence(&self) -> Option<FenceNumber> {
        let fence = self.lease.borrow().fence(self.host.now());
        fence.filter(|_| self.is_leading.get())
    }

    /// Saves as many of `parts` as fit in one transaction, and returns their number,
    /// or `None` if they are not known to be saved; the next round saves them again.
    async fn commit_outputs(
        &self,
        job: &JobId,
        fence: FenceNumber,
        parts: &[(usize, OutputPart)],
    ) -> Option<usize> {
        let (transaction, saved_part_count) = match layout::saving(job, fence, parts) {
            Ok(saving) => saving,
            Err(error) => {
                tracing::error!(event = "output.not_encoded", job = &**job, %error);
                return None;
            }
        };
        if let Err(error) = self.host.store.commit(&transaction).await {
            tracing::debug!(event = "output.not_saved", job = &**job, %error);
            return None;
        }
        Some(saved_part_count)
    }

    /// Saves whole outputs, so that a new coordinator asks for their scores and
    /// does not generate them again.
    pub(super) async fn save_whole_outputs(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = self.output_whole.notified() => sleep(WHOLE_BATCH_DELAY).await,
                () = sleep(SAVE_INTERVAL) => {}
            }
            let Some(fence) = self.saving_fence() else {
                continue;
            };
            let jobs = self.scheduler.borrow().jobs_with_unsaved_outputs();
            join_all(
                jobs.iter()
                    .map(|job| self.save_job_whole_outputs(job, fence)),
            )
            .await;
            self.wake.notify_one();
        }
    }

    async fn save_job_whole_outputs(&self, job: &JobId, fence: FenceNumber) {
        let parts = self
            .scheduler
            .borrow()
            .unsaved_whole(job, layout::MAX_VALUE_BYTES / 2);
        let mut rest = parts.as_slice();
        while !rest.is_empty() {
            let Some(saved_part_count) = self.commit_outputs(job, fence, rest).await else {
                return;
            };
            let (saved, unsaved) = rest.split_at(saved_part_count);
            for (item_index, part) in saved.iter().filter(|(_, part)| part.is_last) {
                let mut scheduler = self.scheduler.borrow_mut();
                scheduler.record_whole_saved(job, *item_index);
                let item = scheduler
                    .job(job)
                    .and_then(|job| job.items.get(*item_index));
                tracing::info!(
                    event = "output.saved",
                    job = &**job,
                    item = item.map(|item| &*item.id),
                    event_count = part.last_event(),
                );
            }
            rest = unsaved;
        }
    }

    /// Reads new jobs and versions beside the feeds: those of a store that
    /// compacts its history are silent for a second and break off only then.
    pub(super) async fn poll_store(self: Rc<Self>) {
        loop {
            sleep(POLL_INTERVAL).await;
            let (jobs, versions) =
                tokio::join!(self.review_jobs(), feeds::read_named_versions(&self.host));
            for error in [jobs.err(), versions.err()].into_iter().flatten() {
                tracing::debug!(event = "store.not_polled", %error);
            }
        }
    }

    /// Opens all jobs that the store lists as open, and then follows the feed
    /// for new ones.
    pub(super) async fn follow_jobs(self: Rc<Self>) {
        let mut stamp = None;
        loop {
            let result = match stamp {
                None => self.open_all_jobs().await,
                Some(after) => self.apply_job_changes(after).await,
            };
            match result {
                Ok(next) => stamp = Some(next),
                Err(RowError::HistoryGone) => stamp = None,
                Err(error) => {
                    tracing::debug!(event = "jobs.not_followed", %error);
                    sleep(STORE_RETRY_DELAY).await;
                }
            }
        }
    }

    pub(super) async fn open_all_jobs(self: &Rc<Self>) -> Result<RowStamp, RowError> {
        // The stamp is read first: the feed delivers every later change.
        let start = self.host.store.read(&lease_range()).await?;
        // A job may have ended while the feed was interrupted, also one whose read was sent
        // before that.
        let known = self.known_jobs();
        self.open_jobs(self.list_jobs().await?);
        self.check_jobs(known).await?;
        Ok(start.stamp)
    }

    /// Opens the jobs that the store lists, and drops those that it no longer lists: a feed may
    /// be silent about both.
    async fn review_jobs(self: &Rc<Self>) -> Result<(), RowError> {
        let listed = self.list_jobs().await?;
        let mut unlisted = self.known_jobs();
        unlisted.retain(|job| !listed.contains(job));
        self.open_jobs(listed);
        // A job that was accepted after the listing is not in it.
        self.check_jobs(unlisted).await
    }

    /// Returns the jobs that are open or being read.
    fn known_jobs(&self) -> Vec<JobId> {
        let mut known = self.scheduler.borrow().open_jobs();
        known.extend(self.reads.borrow().keys().cloned());
        known
    }

    async fn check_jobs(self: &Rc<Self>, jobs: Vec<JobId>) -> Result<(), RowError> {
        stream::iter(jobs)
            .map(|job| self.check_open(job))
            .buffer_unordered(MAX_CONCURRENT_READS)
            .try_collect()
            .await
    }

    /// Returns the jobs that the store lists as open.
    async fn list_jobs(&self) -> Result<BTreeSet<JobId>, RowError> {
        let mut listed: BTreeSet<JobId> = BTreeSet::new();
        let mut after = String::new();
        loop {
            let page = self.host.store.partitions(layout::OPEN, &after).await?;
            let Some(last) = page.last() else {
                break;
            };
            after.clone_from(last);
            listed.extend(page.iter().map(|job| job.as_str().into()));
        }
        Ok(listed)
    }

    /// Opens jobs beside the caller, so that ends do not wait until other jobs are read. The
    /// jobs are read concurrently, since a connection to the store carries one answer at a time
    /// and the outputs of a job fill many of its windows.
    fn open_jobs(self: &Rc<Self>, jobs: impl IntoIterator<Item = JobId>) {
        for job in jobs.into_iter().filter(|job| !self.is_busy(job)) {
            let this = self.clone();
            spawn_local(async move { this.open_job(&job).await });
        }
    }

    /// Returns whether a job is open, or is being read or closed.
    fn is_busy(&self, job: &JobId) -> bool {
        self.scheduler.borrow().is_open(job)
            || self.reads.borrow().contains_key(job)
            || self.closing_jobs.borrow().contains(job)
    }

    /// Ends or drops a job that has ended or was closed by now, whatever an earlier listing
    /// shows of it.
    async fn check_open(self: &Rc<Self>, job: JobId) -> Result<(), RowError> {
        let range = layout::range(layout::OPEN, &job, "");
        let rows = stored::read_all(&self.host.store, range).await?;
        if rows.iter().any(|row| row.key == layout::END_KEY) {
            self.end_job(&job);
        } else if rows.is_empty() {
            self.drop_closed_job(&job);
        }
        Ok(())
    }

    pub(super) async fn apply_job_changes(
        self: &Rc<Self>,
        after: RowStamp,
    ) -> Result<RowStamp, RowError> {
        let page = self
            .host
            .store
            .changes(layout::OPEN, after, FEED_WAIT)
            .await?;
        let mut opened = Vec::new();
        for row in &page.rows {
            let job: JobId = row.partition.as_str().into();
            match (&*row.key, row.is_removed) {
                (layout::END_KEY, false) => self.end_job(&job),
                // A feed may show each row in its newest state only, so that the end of a job
                // that another coordinator has closed is not in it.
                (layout::JOB_KEY, true) => {
                    opened.retain(|other| *other != job);
                    self.drop_closed_job(&job);
                }
                (layout::JOB_KEY, false) => opened.push(job),
                _ => {}
            }
        }
        self.open_jobs(opened);
        Ok(page.stamp)
    }

    /// Drops a job that the store no longer lists, such as one that another coordinator has
    /// closed. Does nothing if it is neither open nor being read.
    fn drop_closed_job(&self, job: &JobId) {
        let is_read = self.reads.borrow_mut().remove(job).is_some();
        if !is_read && !self.scheduler.borrow().is_open(job) {
            return;
        }
        tracing::info!(event = "job.found_closed", job = &**job);
        self.drop_job(job);
        self.wake.notify_one();
    }

    /// Opens a job with the outputs that the previous coordinator saved. Does
    /// nothing if the job is busy. A job that cannot be read is tried again by
    /// [`Self::poll_store`].
    async fn open_job(self: &Rc<Self>, job: &JobId) {
        // The lease may be lost between the start of this task and its first step.
        if !self.is_leading.get() || self.is_busy(job) {
            return;
        }
        let number = self.last_read.get() + 1;
        self.last_read.set(number);
        self.reads.borrow_mut().insert(job.clone(), number);
        let read = self.read_job(job).await;
        if self.reads.borrow().get(job) != Some(&number) {
            // The job has ended since the read was sent, or another coordinator took over.
            tracing::info!(event = "job.overtaken", job = &**job, number);
            return;
        }
        self.reads.borrow_mut().remove(job);
        match read {
            Ok((Some(loaded), ..)) if loaded.is_ended => self.end_job(job),
            Ok((Some(loaded), outputs, charges)) => {
                self.held_jobs.borrow_mut().insert(job.clone(), charges);
                self.take_up(job, loaded, outputs);
            }
            Ok((None, ..)) => {}
            Err(error) => tracing::info!(event = "job.not_opened", job = &**job, %error),
        }
    }

    /// Reads a job and its saved outputs, beside a few other jobs, if the memory of this host
    /// has room for it.
    async fn read_job(&self, job: &JobId) -> Result<ReadJob, RowError> {
        // Nobody closes the semaphore.
        let _permit = self.read_permits.acquire().await;
        let memory = &self.host.memory;
        let need = self.job_needs.borrow().get(job).copied();
        if let Some(bytes) = need {
            let room = memory.charge_apart(Side::Job, bytes).await;
            room.map_err(|_| NO_ROOM)?;
        }
        let store = MeteredStore::new(self.host.store.clone(), memory.clone(), Side::Job);
        let read = tokio::try_join!(stored::load(&store, job), stored::outputs(&store, job));
        match read {
            Ok((loaded, outputs)) => {
                self.job_needs.borrow_mut().remove(job);
                Ok((loaded, outputs, store.into_charges()))
            }
            Err(error) => {
                if error == NO_ROOM {
                    let bytes = store.held_bytes();
                    self.job_needs.borrow_mut().insert(job.clone(), bytes);
                }
                Err(error)
            }
        }
    }

    /// Opens a job as it was read.
    fn take_up(&self, job: &JobId, loaded: StoredJob, outputs: BTreeMap<usize, Output>) {
        let now = self.host.now();
        let store_time = self.host.store_time().unwrap_or_default();
        let age = layout::age(&loaded.job.head, store_time);
        tracing::info!(
            event = "job.taken_up",
            job = &**job,
            model = &*loaded.job.head.model,
            step = loaded.job.head.step,
            item_count = loaded.job.items.len(),
            listed_count = loaded.tally.listed_count,
            age_ms = millis(age),
        );
        self.lister.record_tally(job, loaded.tally, loaded.stamp);
        self.scheduler
            .borrow_mut()
            .open(loaded.job, &loaded.listed, age, now);
        self.scheduler
            .borrow_mut()
            .set_prompt_parts(job, W::prompt_parts);
        // No run of the job can have started yet, since nothing was awaited after
        // it was opened.
        if !outputs.is_empty() {
            self.restore_outputs(job, outputs);
        }
        self.wake.notify_one();
    }

    /// Restores the partial outputs that the previous coordinator saved.
    pub(super) fn restore_outputs(&self, job: &JobId, outputs: BTreeMap<usize, Output>) {
        let event_count: u64 = outputs.values().map(Output::last_event).sum();
        tracing::info!(
            event = "job.restored",
            job = &**job,
            item_count = outputs.len(),
            event_count,
        );
        let now = self.host.now();
        self.scheduler.borrow_mut().restore(job, outputs, now);
    }

    /// Cancels the runs of an ended job and removes it from the list of open
    /// jobs. A read of the job that is in progress may not show the end, and is not used.
    ///
    /// Without the lease the job stays listed: another coordinator may have opened it, and a
    /// host of an earlier build learns of the end only as long as it is listed.
    pub(super) fn end_job(self: &Rc<Self>, job: &JobId) {
        let has_lease = self.lease.borrow().is_held(self.host.now());
        tracing::info!(event = "job.ended", job = &**job, has_lease);
        self.drop_job(job);
        self.reads.borrow_mut().remove(job);
        self.wake.notify_one();
        if !has_lease {
            return;
        }
        self.closing_jobs.borrow_mut().insert(job.clone());
        let this = self.clone();
        let job = job.clone();
        let epoch = self.epoch.get();
        spawn_local(async move {
            // If this fails, the job is still listed, and is ended again.
            if let Err(error) = this.host.store.commit(&layout::closing(&job)).await {
                tracing::debug!(event = "job.not_closed", job = &*job, %error);
            }
            if this.epoch.get() == epoch {
                this.closing_jobs.borrow_mut().remove(&job);
            }
        });
    }
}
