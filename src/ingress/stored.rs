//! Loads batch jobs from the store.

use std::collections::{BTreeMap, BTreeSet};

use serde::de::DeserializeOwned;

use crate::{
    batch::{
        job::{ItemId, Job, JobId},
        layout::{self, LayoutError, Tally},
        output::Output,
    },
    store::rows::{RowError, RowPage, RowRange, RowStamp, RowStore, StoredRow},
};

/// A job as it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredJob {
    /// The job with its items.
    pub job: Job,
    /// The tally of the results listed so far.
    pub tally: Tally,
    /// The version of the tally's row; 0 if nothing is listed.
    pub stamp: RowStamp,
    /// The items whose results are listed.
    pub listed: BTreeSet<ItemId>,
    /// Whether the client ended it.
    pub is_ended: bool,
}

/// Appended to the last key of a page to request the next page: no key
/// continues with a lower byte, and it needs no escape in a request.
pub const KEY_SUCCESSOR: &str = "!";

/// Reads all rows of `range` with as many calls as needed.
///
/// The stamp is that of the first call, so that a feed that resumes from it
/// misses no change made between two calls.
///
/// # Errors
///
/// Fails where the store gives no readable answer.
pub async fn read_page(store: &impl RowStore, range: RowRange) -> Result<RowPage, RowError> {
    let mut range = range;
    let mut all = store.read(&range).await?;
    while all.has_more {
        let Some(last) = all.rows.last() else {
            break;
        };
        range.from = format!("{}{KEY_SUCCESSOR}", last.key);
        let page = store.read(&range).await?;
        all.rows.extend(page.rows);
        all.has_more = page.has_more;
    }
    Ok(all)
}

/// Reads all rows of `range`.
///
/// # Errors
///
/// Fails where the store gives no readable answer.
pub async fn read_all(store: &impl RowStore, range: RowRange) -> Result<Vec<StoredRow>, RowError> {
    read_page(store, range).await.map(|page| page.rows)
}

/// Loads a job, or returns `None` if it does not exist.
///
/// # Errors
///
/// Fails where the store gives no readable answer.
pub async fn load(store: &impl RowStore, job: &JobId) -> Result<Option<StoredJob>, RowError> {
    let rows = read_all(store, layout::range(layout::JOBS, job, "")).await?;
    let row = |key: &str| rows.iter().find(|row| row.key == key);
    let Some(head) = row(layout::HEAD_KEY) else {
        return Ok(None);
    };
    let head = layout::decode_head(&head.value).map_err(unreadable)?;
    let (mut tally, stamp) = tally(&rows)?.unwrap_or_default();
    if tally.listed.len() != tally.listed_count {
        // The tally was written without the items. The results are read after it,
        // so they include at least those that it counts.
        let rows = read_all(store, layout::range(layout::RESULTS, job, "")).await?;
        let results = layout::decode_results(&rows, 0).map_err(unreadable)?;
        tally.listed = results.into_iter().map(|result| result.id).collect();
        tally.listed.truncate(tally.listed_count);
    }
    let listed: BTreeSet<ItemId> = tally.listed.iter().cloned().collect();
    let items = read_all(store, layout::range(layout::ITEMS, job, "")).await?;
    Ok(Some(StoredJob {
        job: Job {
            id: job.clone(),
            head,
            items: layout::decode_items(&items).map_err(unreadable)?,
        },
        tally,
        stamp,
        listed,
        is_ended: row(layout::END_KEY).is_some(),
    }))
}

/// Loads the partial outputs of `job` that were last saved.
///
/// # Errors
///
/// Fails where the store gives no readable answer.
pub async fn outputs(
    store: &impl RowStore,
    job: &JobId,
) -> Result<BTreeMap<usize, Output>, RowError> {
    let rows = read_all(store, layout::range(layout::OUTPUTS, job, "")).await?;
    layout::decode_outputs(&rows).map_err(unreadable)
}

/// Finds the tally among the rows of a job.
///
/// # Errors
///
/// Fails where the row exists and cannot be decoded.
pub fn tally(rows: &[StoredRow]) -> Result<Option<(Tally, RowStamp)>, RowError> {
    rows.iter()
        .find(|row| row.key == layout::TALLY_KEY)
        .map(|row| {
            layout::decode_tally(&row.value)
                .map(|tally| (tally, row.stamp))
                .map_err(unreadable)
        })
        .transpose()
}

/// Decodes the value of `row`.
///
/// # Errors
///
/// Fails where the value is not an encoded `T`.
pub fn decode<T: DeserializeOwned>(row: &StoredRow) -> Result<T, RowError> {
    layout::decode(&row.key, &row.value).map_err(unreadable)
}

/// Converts a decoding error into the store's error.
pub fn unreadable(error: LayoutError) -> RowError {
    RowError::Unreadable {
        reason: error.to_string(),
    }
}
