//! Removes jobs from the store once their retention period is over.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use tokio::time::sleep;

use crate::{
    batch::{job::JobId, layout},
    clock::millis,
    ingress::{
        host::Host,
        origins::{self, Absences},
        stored,
        wire::Wire,
    },
    store::rows::{RowError, RowName, RowStore, RowTransaction},
};

/// The interval between sweeps of all jobs: a tenth of the 120 s for which
/// results stay readable in the deployment specification.
const SWEEP_INTERVAL: Duration = Duration::from_secs(12);

/// How much longer than required a job is kept, since the period counts from
/// the client's submission and clocks differ.
const CLOCK_SKEW_MARGIN: Duration = Duration::from_secs(15);

/// The time on the store's clock at which each ended job may be removed.
pub type Expiries = BTreeMap<JobId, Duration>;

/// Removes expired jobs and origins of streams periodically.
pub async fn run_sweeps<S: RowStore, W: Wire>(host: Rc<Host<S, W>>) {
    let mut expiries = Expiries::new();
    let mut absences = Absences::new();
    loop {
        sleep(SWEEP_INTERVAL).await;
        if let Err(error) = origins::sweep(&host, &mut absences).await {
            tracing::info!(event = "origins.not_swept", %error);
        }
        let Some(now) = host.store_time() else {
            continue;
        };
        let result_ttl = host.settings.result_ttl;
        match sweep(&host.store, result_ttl, now, &mut expiries).await {
            Ok(0) => {}
            Ok(removed_count) => tracing::info!(event = "jobs.removed", removed_count),
            Err(error) => tracing::info!(event = "jobs.not_swept", %error),
        }
    }
}

/// Removes the ended jobs whose retention period is over, and returns how many
/// were removed.
///
/// # Errors
///
/// Fails where the store gives no readable answer; removals so far remain, and
/// the next sweep continues.
pub async fn sweep(
    store: &impl RowStore,
    result_ttl: Duration,
    now: Duration,
    expiries: &mut Expiries,
) -> Result<usize, RowError> {
    let mut removed_count = 0;
    let mut after = String::new();
    loop {
        let names = store.partitions(layout::JOBS, &after).await?;
        let Some(last) = names.last() else {
            return Ok(removed_count);
        };
        after.clone_from(last);
        for name in &names {
            let job: JobId = name.as_str().into();
            let known = expiries.get(&job).copied();
            let expires_at = match known {
                Some(expires_at) => Some(expires_at),
                None => expiry(store, &job, result_ttl).await?,
            };
            let Some(expires_at) = expires_at else {
                continue;
            };
            if now < expires_at {
                expiries.insert(job, expires_at);
                continue;
            }
            remove(store, &job).await?;
            expiries.remove(&job);
            removed_count += 1;
            tracing::debug!(event = "job.removed", job = &*job, at_ms = millis(now));
        }
    }
}

/// Returns when an ended job may be removed, or `None` while the job is open.
async fn expiry(
    store: &impl RowStore,
    job: &JobId,
    result_ttl: Duration,
) -> Result<Option<Duration>, RowError> {
    let rows = stored::read_all(store, layout::range(layout::JOBS, job, "")).await?;
    let row = |key: &str| rows.iter().find(|row| row.key == key);
    let (Some(head), Some(_)) = (row(layout::HEAD_KEY), row(layout::END_KEY)) else {
        return Ok(None);
    };
    let head = layout::decode_head(&head.value).map_err(stored::unreadable)?;
    Ok(Some(
        head.accepted_at + result_ttl.max(head.item_ttl) + CLOCK_SKEW_MARGIN,
    ))
}

/// Removes all rows of a job. The rows that define its existence are removed
/// last.
async fn remove(store: &impl RowStore, job: &JobId) -> Result<(), RowError> {
    for table in [
        layout::OUTPUTS,
        layout::RESULTS,
        layout::ITEMS,
        layout::OPEN,
        layout::JOBS,
    ] {
        let rows = stored::read_all(store, layout::range(table, job, "")).await?;
        for rows in rows.chunks(layout::MAX_ENTRY_COUNT) {
            let transaction = rows.iter().fold(RowTransaction::default(), |all, row| {
                all.remove(RowName::new(table, &**job, &*row.key))
            });
            store.commit(&transaction).await?;
        }
    }
    Ok(())
}
