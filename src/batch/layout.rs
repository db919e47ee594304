//! The layout of batch jobs in the platform's store.
//!
//! All rows of a job share one partition, named after the job, so that each
//! change to the job is a single transaction:
//!
//! | table | key | value | written |
//! |---|---|---|---|
//! | `jobs` | `head` | [`JobHead`] | once, on acceptance |
//! | `jobs` | `tally` | [`Tally`] | with each listing |
//! | `jobs` | `end` | empty | once, when the client ends the job |
//! | `items` | `BB.CC` | part CC of the items in bucket BB | before acceptance |
//! | `results` | `PPPPPP.CC` | part CC of the result at position P | once |
//! | `outputs` | `FFFFFFFFFF.IIIIII.EEEEEE` | events of item I from number E on, as received by the coordinator with fence F | while the item runs |
//! | `outputs` | `FFFFFFFFFF.IIIIII.EEEEEE.whole` | the same of an output that is whole | once, before its reward call |
//! | `open` | `job`, `end` | empty | on acceptance and end; marks work for the coordinator |
//!
//! A value may be followed by fields of a later version, which earlier versions
//! ignore: items by their reward requests, a result by its score, and a part of
//! an output by whether it is the last and by the software version that began it.

mod outputs;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    batch::job::{Item, ItemId, ItemResult, Job, JobHead, JobId, RewardRequest},
    ids::AccountId,
    store::rows::{RowName, RowRange, RowStamp, RowTransaction, StoredRow},
};

pub use self::outputs::{decode_outputs, saving};

/// The table of job heads, tallies and end markers.
pub const JOBS: &str = "jobs";
/// The table of the jobs' items.
pub const ITEMS: &str = "items";
/// The table of the jobs' listed results.
pub const RESULTS: &str = "results";
/// The table of the partial outputs of running items.
pub const OUTPUTS: &str = "outputs";
/// The table of jobs that await work by the coordinator.
pub const OPEN: &str = "open";

/// The key of a job's head.
pub const HEAD_KEY: &str = "head";
/// The key of a job's tally.
pub const TALLY_KEY: &str = "tally";
/// The key of the row that marks a job as ended.
pub const END_KEY: &str = "end";
/// The key of the row that marks a job as open.
pub const JOB_KEY: &str = "job";

/// The number of buckets into which items are hashed, so that one item's body
/// can be read without reading all the others.
const BUCKET_COUNT: u64 = 32;

/// The maximum size of a value. The platform's limit is 65,536 bytes in base64,
/// which is 49,152 bytes before encoding.
pub const MAX_VALUE_BYTES: usize = 48_000;

/// The platform's limit on the number of entries in a transaction.
pub const MAX_ENTRY_COUNT: usize = 100;

/// The maximum total size of the values in a transaction: 1 MB in base64, less
/// some room for names.
pub const MAX_TRANSACTION_BYTES: usize = 650_000;

/// The progress of a job's listing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The number of listed results.
    pub listed_count: usize,
    /// A random value per write, by which a writer whose answer was lost can
    /// recognise its own write.
    pub nonce: u64,
    /// The items that are listed, in the order of their results, so that a new
    /// coordinator need not read the results. Empty if the row was written without
    /// them, as where they do not fit into it. They follow the other fields.
    #[serde(skip)]
    pub listed: Vec<ItemId>,
}

/// An error in encoding or decoding rows.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LayoutError {
    /// The value of a row cannot be decoded.
    #[error("the row {key} cannot be decoded: {source}")]
    Decode {
        /// The key of the row.
        key: String,
        /// The decoder's error.
        source: postcard::Error,
    },
    /// A row's key does not follow the layout.
    #[error("the key {key} does not follow the layout")]
    Key {
        /// The key of the row.
        key: String,
    },
    /// A required row is missing.
    #[error("the row {key} is missing")]
    Missing {
        /// The key of the row.
        key: String,
    },
    /// A value cannot be encoded.
    #[error("a value cannot be encoded: {0}")]
    Encode(postcard::Error),
}

/// Encodes the value of a row.
///
/// # Errors
///
/// Fails if the value cannot be encoded.
pub fn encode(value: &impl Serialize) -> Result<Bytes, LayoutError> {
    postcard::to_stdvec(value)
        .map(Bytes::from)
        .map_err(LayoutError::Encode)
}

/// Decodes the value of the row `key`.
///
/// # Errors
///
/// Fails if the bytes are not an encoded `T`.
pub fn decode<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, LayoutError> {
    postcard::from_bytes(value).map_err(|source| LayoutError::Decode {
        key: key.to_owned(),
        source,
    })
}

/// Encodes the value of a row, followed by fields of a later version.
fn encode_extended(
    value: &impl Serialize,
    extension: Option<&impl Serialize>,
) -> Result<Bytes, LayoutError> {
    let mut bytes = postcard::to_stdvec(value).map_err(LayoutError::Encode)?;
    if let Some(extension) = extension {
        bytes = postcard::to_extend(extension, bytes).map_err(LayoutError::Encode)?;
    }
    Ok(bytes.into())
}

/// Encodes a job's head. Its account and priority follow the other fields, unless it has
/// neither.
fn encode_head(head: &JobHead) -> Result<Bytes, LayoutError> {
    let extension = (&head.account, head.priority);
    let is_extended = head.account.is_some() || head.priority > 0;
    encode_extended(head, is_extended.then_some(&extension))
}

/// Decodes the head of a job.
///
/// # Errors
///
/// Fails if the bytes were not written by [`acceptance`].
pub fn decode_head(value: &[u8]) -> Result<JobHead, LayoutError> {
    let (head, rest) = take::<JobHead>(HEAD_KEY, value)?;
    if rest.is_empty() {
        return Ok(head);
    }
    let ((account, priority), _) = take::<(Option<AccountId>, u32)>(HEAD_KEY, rest)?;
    Ok(JobHead {
        account,
        priority,
        ..head
    })
}

/// Decodes the value of the row `key` and the fields that follow it, which are
/// the default if the row was written without them.
fn decode_extended<T: DeserializeOwned, E: DeserializeOwned + Default>(
    key: &str,
    value: &[u8],
) -> Result<(T, E), LayoutError> {
    let (decoded, rest) = take(key, value)?;
    let (extension, _) = take_or_default(key, rest)?;
    Ok((decoded, extension))
}

/// Decodes a `T` from the start of `bytes`, and returns it with the rest of them.
fn take<'a, T: DeserializeOwned>(key: &str, bytes: &'a [u8]) -> Result<(T, &'a [u8]), LayoutError> {
    postcard::take_from_bytes(bytes).map_err(|source| LayoutError::Decode {
        key: key.to_owned(),
        source,
    })
}

/// Decodes like [`take`], and returns the default if no bytes are left.
fn take_or_default<'a, T: DeserializeOwned + Default>(
    key: &str,
    bytes: &'a [u8],
) -> Result<(T, &'a [u8]), LayoutError> {
    if bytes.is_empty() {
        return Ok((T::default(), bytes));
    }
    take(key, bytes)
}

/// Returns the transactions that accept `job`, in the order of their commits.
///
/// The items are written first; only the last transaction makes the job exist.
/// The conditions allow that one to apply only once, whichever host sends it.
///
/// # Errors
///
/// Fails if the job cannot be encoded.
pub fn acceptance(job: &Job) -> Result<Vec<RowTransaction>, LayoutError> {
    let head = RowName::new(JOBS, &*job.id, HEAD_KEY);
    // Each condition keeps a job of the same id from overwriting the items of one that exists.
    let conditional = || RowTransaction::default().expect(head.clone(), 0);
    let mut transactions = Vec::new();
    let mut current = conditional();
    let mut size_bytes = 0;
    for (key, value) in item_rows(job)? {
        let is_full = size_bytes + value.len() > MAX_TRANSACTION_BYTES
            // Leaves room for the head, the open row and the condition.
            || current.puts.len() + 4 > MAX_ENTRY_COUNT;
        if is_full {
            transactions.push(std::mem::replace(&mut current, conditional()));
            size_bytes = 0;
        }
        size_bytes += value.len();
        current = current.put(RowName::new(ITEMS, &*job.id, key), value);
    }
    transactions.push(
        current
            .put(head.clone(), encode_head(&job.head)?)
            .put(RowName::new(OPEN, &*job.id, JOB_KEY), Bytes::new()),
    );
    Ok(transactions)
}

fn item_rows(job: &Job) -> Result<Vec<(String, Bytes)>, LayoutError> {
    let mut buckets: Vec<Vec<(usize, &Item)>> = vec![Vec::new(); BUCKET_COUNT as usize];
    for (index, item) in job.items.iter().enumerate() {
        buckets[bucket(&item.id) as usize].push((index, item));
    }
    let mut rows = Vec::new();
    for (number, bucket) in buckets.iter().enumerate().filter(|(_, b)| !b.is_empty()) {
        let rewards: Vec<(usize, &RewardRequest)> = bucket
            .iter()
            .filter_map(|(index, item)| Some((*index, item.reward.as_deref()?)))
            .collect();
        let value = encode_extended(bucket, (!rewards.is_empty()).then_some(&rewards))?;
        rows.extend(split_value(&format!("{number:02}"), &value));
    }
    Ok(rows)
}

/// Splits `value` into rows of at most [`MAX_VALUE_BYTES`], named after `name`. The store sorts
/// the names as texts, so that the numbers of more than 100 parts are longer.
fn split_value(name: &str, value: &Bytes) -> Vec<(String, Bytes)> {
    let count = value.len().div_ceil(MAX_VALUE_BYTES).max(1);
    let width = if count > 100 { 5 } else { 2 };
    (0..count)
        .map(|part| {
            let start = part * MAX_VALUE_BYTES;
            let end = value.len().min(start + MAX_VALUE_BYTES);
            // The first part's key ends with the number of parts.
            let mark = if part == 0 { count } else { part };
            (
                format!("{name}.{part:0width$}.{mark:0width$}"),
                value.slice(start..end),
            )
        })
        .collect()
}

/// Returns the bucket of an item.
fn bucket(item: &ItemId) -> u64 {
    xxh3_64(item.as_bytes()) % BUCKET_COUNT
}

/// Returns the range of rows that contain `item` of `job`.
pub fn item_range(job: &JobId, item: &ItemId) -> RowRange {
    let bucket = bucket(item);
    RowRange {
        table: ITEMS,
        partition: job.to_string(),
        from: format!("{bucket:02}."),
        to: format!("{bucket:02}/"),
        limit_count: MAX_ENTRY_COUNT,
    }
}

/// Returns the range of all rows of `partition` in `table` from the key `from` on. A job has
/// a partition of its own in each table.
pub fn range(table: &'static str, partition: &str, from: impl Into<String>) -> RowRange {
    RowRange {
        table,
        partition: partition.to_owned(),
        from: from.into(),
        to: String::new(),
        limit_count: MAX_PAGE_ROWS,
    }
}

/// The platform's limit on the number of rows in an answer.
const MAX_PAGE_ROWS: usize = 500;

/// Joins values that were split into several rows, and returns them one by one, so that they
/// do not all exist beside the rows, with the part of their key before the first dot. Stops at
/// the first value with a missing part.
pub fn join_parts(rows: &[StoredRow]) -> impl Iterator<Item = (String, Bytes)> {
    let mut rest = rows;
    std::iter::from_fn(move || {
        let first = rest.first()?;
        let mut fields = first.key.split('.');
        let name = fields.next()?;
        let part: usize = fields.next()?.parse().ok()?;
        let count: usize = fields.next()?.parse().ok()?;
        if part > 0 || rest.len() < count {
            return None;
        }
        let value = if count == 1 {
            first.value.clone()
        } else {
            let size_bytes = rest[..count].iter().map(|row| row.value.len()).sum();
            let mut joined = Vec::with_capacity(size_bytes);
            for row in &rest[..count] {
                joined.extend_from_slice(&row.value);
            }
            joined.into()
        };
        rest = &rest[count.max(1)..];
        Some((name.to_owned(), value))
    })
}

/// Decodes the items of a job, in the order of their submission.
///
/// # Errors
///
/// Fails if a row was not written by [`acceptance`].
pub fn decode_items(rows: &[StoredRow]) -> Result<Vec<Item>, LayoutError> {
    let mut items: Vec<(usize, Item)> = Vec::new();
    for (name, value) in join_parts(rows) {
        let (bucket, rewards) =
            decode_extended::<Vec<(usize, Item)>, Vec<(usize, RewardRequest)>>(&name, &value)?;
        let mut rewards: BTreeMap<usize, RewardRequest> = rewards.into_iter().collect();
        items.extend(bucket.into_iter().map(|(index, item)| {
            let reward = rewards.remove(&index).map(Arc::new);
            (index, Item { reward, ..item })
        }));
    }
    items.sort_by_key(|(index, _)| *index);
    Ok(items.into_iter().map(|(_, item)| item).collect())
}

/// Decodes the tally of a job.
///
/// # Errors
///
/// Fails if the bytes were not written by [`listing`].
pub fn decode_tally(value: &[u8]) -> Result<Tally, LayoutError> {
    let (tally, listed) = decode_extended::<Tally, _>(TALLY_KEY, value)?;
    Ok(Tally { listed, ..tally })
}

/// Returns the range of results from `position` on.
pub fn result_range(job: &JobId, position: usize) -> RowRange {
    range(RESULTS, job, format!("{position:06}"))
}

/// Decodes results in the order of their positions, the first at `position`.
///
/// # Errors
///
/// Fails if a row was not written by [`listing`], or a position is missing.
pub fn decode_results(rows: &[StoredRow], position: usize) -> Result<Vec<ItemResult>, LayoutError> {
    join_parts(rows)
        .enumerate()
        .map(|(index, (name, value))| {
            if name != format!("{:06}", position + index) {
                return Err(LayoutError::Missing {
                    key: format!("{:06}", position + index),
                });
            }
            let (result, score) = decode_extended::<ItemResult, _>(&name, &value)?;
            Ok(ItemResult { score, ..result })
        })
        .collect()
}

/// A transaction that lists results.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The transaction.
    pub transaction: RowTransaction,
    /// The tally that the transaction writes.
    pub tally: Tally,
    /// The number of results that the transaction lists.
    pub result_count: usize,
}

/// Returns the transaction that lists as many of `results` as fit, after those
/// that `tally` counts.
///
/// It applies only if the tally's version is still `stamp`, so that concurrent
/// coordinators cannot list an item twice, and only before the end of the job, so
/// that a coordinator that has not heard of the end learns of it.
///
/// # Errors
///
/// Fails if a result cannot be encoded.
pub fn listing(
    job: &JobId,
    tally: &Tally,
    stamp: RowStamp,
    results: &[ItemResult],
    nonce: u64,
) -> Result<Listing, LayoutError> {
    let name = RowName::new(JOBS, &**job, TALLY_KEY);
    let mut transaction = RowTransaction::default()
        .expect(name.clone(), stamp)
        .expect(RowName::new(JOBS, &**job, END_KEY), 0);
    let mut result_count = 0;
    let mut size_bytes = 0;
    for result in results {
        let extension = result.score.is_some().then_some(&result.score);
        let value = encode_extended(result, extension)?;
        let rows = split_value(&format!("{:06}", tally.listed_count + result_count), &value);
        let is_full = size_bytes + value.len() > MAX_TRANSACTION_BYTES
            // Leaves room for the tally and the two conditions.
            || transaction.puts.len() + rows.len() + 3 > MAX_ENTRY_COUNT;
        if is_full && result_count > 0 {
            break;
        }
        size_bytes += value.len();
        for (key, part) in rows {
            transaction = transaction.put(RowName::new(RESULTS, &**job, key), part);
        }
        result_count += 1;
    }
    let mut listed = tally.listed.clone();
    listed.extend(
        results[..result_count]
            .iter()
            .map(|result| result.id.clone()),
    );
    let tally = Tally {
        listed_count: tally.listed_count + result_count,
        nonce,
        listed,
    };
    let mut value = encode_extended(&tally, Some(&tally.listed))?;
    if value.len() > MAX_VALUE_BYTES {
        // Readers find the items in the results.
        value = encode(&tally)?;
    }
    Ok(Listing {
        transaction: transaction.put(name, value),
        tally,
        result_count,
    })
}

/// Returns the transaction that marks `job` as ended by the client.
pub fn ending(job: &JobId) -> RowTransaction {
    let name = RowName::new(JOBS, &**job, END_KEY);
    RowTransaction::default()
        .expect(name.clone(), 0)
        .put(name, Bytes::new())
        .put(RowName::new(OPEN, &**job, END_KEY), Bytes::new())
}

/// Returns the transaction that removes an ended or finished `job` from the
/// table of open jobs.
pub fn closing(job: &JobId) -> RowTransaction {
    RowTransaction::default()
        .remove(RowName::new(OPEN, &**job, JOB_KEY))
        .remove(RowName::new(OPEN, &**job, END_KEY))
}

/// Returns the time from a job's acceptance to `store_time`.
pub fn age(head: &JobHead, store_time: Duration) -> Duration {
    store_time.saturating_sub(head.accepted_at)
}
