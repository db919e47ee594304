//! How a batch job lies in the platform's store.
//!
//! All rows of a job lie in one partition, named by the job, so that each change
//! of it is one transaction:
//!
//! | table | key | holds | written |
//! |---|---|---|---|
//! | `jobs` | `head` | [`JobHead`] | once, by the acceptance |
//! | `jobs` | `tally` | [`Tally`] | with each listing |
//! | `jobs` | `end` | nothing | once, by the client's end |
//! | `items` | `BB.CC` | part CC of the items in bucket BB | before the acceptance |
//! | `results` | `PPPPPP.CC` | part CC of the result at a position | once |
//! | `outputs` | `FFFFFFFFFF.IIIIII.EEEEEE` | events from E on of item I, as the coordinator with fence F saw them | while it runs |
//! | `open` | `job`, `end` | nothing | what the coordinator has to take up |

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    batch::{
        job::{Item, ItemId, ItemResult, Job, JobHead, JobId},
        output::{Output, OutputPart},
    },
    ids::FenceNumber,
    store::rows::{RowName, RowRange, RowStamp, RowTransaction, StoredRow},
};

/// Heads, tallies and ends of jobs.
pub const JOBS: &str = "jobs";
/// The items of jobs.
pub const ITEMS: &str = "items";
/// The listed results of jobs.
pub const RESULTS: &str = "results";
/// What runs have made so far.
pub const OUTPUTS: &str = "outputs";
/// What the coordinator has to take up.
pub const OPEN: &str = "open";

/// The row of a job's head.
pub const HEAD_KEY: &str = "head";
/// The row of a job's tally.
pub const TALLY_KEY: &str = "tally";
/// The row that says that a job was ended.
pub const END_KEY: &str = "end";
/// The row that says that a job is open.
pub const JOB_KEY: &str = "job";

/// Into how many buckets items are hashed, so that the body of one is read
/// without those of all others.
const BUCKET_COUNT: u64 = 32;

/// The most bytes of a value. The platform takes 65,536 in base64, which is
/// 49,152 before encoding.
pub const MAX_VALUE_BYTES: usize = 48_000;

/// The most entries of one transaction, as the platform states it.
pub const MAX_ENTRY_COUNT: usize = 100;

/// The most bytes of values in one transaction: 1 MB in base64, with room for
/// names.
pub const MAX_TRANSACTION_BYTES: usize = 650_000;

/// How far the listing of a job has come.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// How many results are listed.
    pub listed_count: usize,
    /// Drawn for each write, so that its writer knows it again.
    pub nonce: u64,
}

/// Why stored bytes cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LayoutError {
    /// The bytes are not what the row should hold.
    #[error("the row {key} cannot be decoded: {source}")]
    Decode {
        /// The row.
        key: String,
        /// What the decoder said.
        source: postcard::Error,
    },
    /// A row that must be there is missing.
    #[error("the row {key} is missing")]
    Missing {
        /// The row.
        key: String,
    },
    /// The value cannot be encoded.
    #[error("a value cannot be encoded: {0}")]
    Encode(postcard::Error),
}

/// Encodes a value of a row.
///
/// # Errors
///
/// Fails where the value has no encoding.
pub fn encode(value: &impl Serialize) -> Result<Bytes, LayoutError> {
    postcard::to_stdvec(value)
        .map(Bytes::from)
        .map_err(LayoutError::Encode)
}

/// Decodes a value of the row `key`.
///
/// # Errors
///
/// Fails where the bytes are something else.
pub fn decode<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, LayoutError> {
    postcard::from_bytes(value).map_err(|source| LayoutError::Decode {
        key: key.to_owned(),
        source,
    })
}

/// Returns the transactions that accept `job`.
///
/// The items come first; only the last one makes the job exist, and it holds
/// once, whichever host sends it.
///
/// # Errors
///
/// Fails where the job has no encoding.
pub fn acceptance(job: &Job) -> Result<Vec<RowTransaction>, LayoutError> {
    let mut transactions = Vec::new();
    let mut current = RowTransaction::default();
    let mut size_bytes = 0;
    for (key, value) in item_rows(job)? {
        let is_full = size_bytes + value.len() > MAX_TRANSACTION_BYTES
            // The head, the open row and the condition need room as well.
            || current.puts.len() + 4 > MAX_ENTRY_COUNT;
        if is_full {
            transactions.push(std::mem::take(&mut current));
            size_bytes = 0;
        }
        size_bytes += value.len();
        current = current.put(RowName::new(ITEMS, &*job.id, key), value);
    }
    let head = RowName::new(JOBS, &*job.id, HEAD_KEY);
    transactions.push(
        current
            .expect(head.clone(), 0)
            .put(head, encode(&job.head)?)
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
        let value = encode(bucket)?;
        rows.extend(parts(&format!("{number:02}"), &value));
    }
    Ok(rows)
}

/// Cuts `value` into rows that the store takes.
fn parts(name: &str, value: &Bytes) -> Vec<(String, Bytes)> {
    let count = value.len().div_ceil(MAX_VALUE_BYTES).max(1);
    (0..count)
        .map(|part| {
            let start = part * MAX_VALUE_BYTES;
            let end = value.len().min(start + MAX_VALUE_BYTES);
            // The first part says how many there are.
            let mark = if part == 0 { count } else { part };
            (
                format!("{name}.{part:02}.{mark:02}"),
                value.slice(start..end),
            )
        })
        .collect()
}

/// Returns the bucket that the item lies in.
fn bucket(item: &ItemId) -> u64 {
    xxh3_64(item.as_bytes()) % BUCKET_COUNT
}

/// Returns the range of rows that holds `item` of `job`.
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

/// Returns the range of all rows of `table` for `job` from `from` on.
pub fn range(table: &'static str, job: &JobId, from: impl Into<String>) -> RowRange {
    RowRange {
        table,
        partition: job.to_string(),
        from: from.into(),
        to: String::new(),
        limit_count: MAX_PAGE_ROWS,
    }
}

/// The most rows that the platform returns at once.
const MAX_PAGE_ROWS: usize = 500;

/// Puts rows that were cut into parts together again, by the name before the
/// first dot; a value whose parts are not all there ends the list.
pub fn join(rows: &[StoredRow]) -> Vec<(String, Bytes)> {
    let mut values: Vec<(String, Bytes)> = Vec::new();
    let mut rest = rows;
    while let Some(first) = rest.first() {
        let mut fields = first.key.split('.');
        let (Some(name), Some("00"), Some(Ok(count))) = (
            fields.next(),
            fields.next(),
            fields.next().map(str::parse::<usize>),
        ) else {
            break;
        };
        if rest.len() < count {
            break;
        }
        let value = if count == 1 {
            first.value.clone()
        } else {
            Bytes::from(
                rest[..count]
                    .iter()
                    .flat_map(|row| row.value.clone())
                    .collect::<Vec<_>>(),
            )
        };
        values.push((name.to_owned(), value));
        rest = &rest[count.max(1)..];
    }
    values
}

/// Decodes the items of a job, in the order of the submission.
///
/// # Errors
///
/// Fails where a row is not what [`acceptance`] wrote.
pub fn items(rows: &[StoredRow]) -> Result<Vec<Item>, LayoutError> {
    let mut items: Vec<(usize, Item)> = Vec::new();
    for (name, value) in join(rows) {
        items.extend(decode::<Vec<(usize, Item)>>(&name, &value)?);
    }
    items.sort_by_key(|(index, _)| *index);
    Ok(items.into_iter().map(|(_, item)| item).collect())
}

/// Returns the range of results from `position` on.
pub fn result_range(job: &JobId, position: usize) -> RowRange {
    range(RESULTS, job, format!("{position:06}"))
}

/// Decodes results in the order of their positions, the first at `position`.
///
/// # Errors
///
/// Fails where a row is not what [`listing`] wrote.
pub fn results(rows: &[StoredRow], position: usize) -> Result<Vec<ItemResult>, LayoutError> {
    join(rows)
        .into_iter()
        .enumerate()
        .map(|(index, (name, value))| {
            if name != format!("{:06}", position + index) {
                return Err(LayoutError::Missing {
                    key: format!("{:06}", position + index),
                });
            }
            decode(&name, &value)
        })
        .collect()
}

/// A listing, and how many results it takes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The transaction.
    pub transaction: RowTransaction,
    /// The tally that it writes.
    pub tally: Tally,
    /// How many of the results it lists.
    pub taken_count: usize,
}

/// Returns the transaction that lists as many of `results` as fit, behind those
/// that `tally` counts.
///
/// It holds only while nobody else has listed anything, so that an item is
/// listed once, whoever runs it.
///
/// # Errors
///
/// Fails where a result has no encoding.
pub fn listing(
    job: &JobId,
    tally: &Tally,
    stamp: RowStamp,
    results: &[ItemResult],
    nonce: u64,
) -> Result<Listing, LayoutError> {
    let name = RowName::new(JOBS, &**job, TALLY_KEY);
    let mut transaction = RowTransaction::default().expect(name.clone(), stamp);
    let mut taken_count = 0;
    let mut size_bytes = 0;
    for result in results {
        let value = encode(result)?;
        let rows = parts(&format!("{:06}", tally.listed_count + taken_count), &value);
        let is_full = size_bytes + value.len() > MAX_TRANSACTION_BYTES
            || transaction.puts.len() + rows.len() + 2 > MAX_ENTRY_COUNT;
        if is_full && taken_count > 0 {
            break;
        }
        size_bytes += value.len();
        for (key, part) in rows {
            transaction = transaction.put(RowName::new(RESULTS, &**job, key), part);
        }
        taken_count += 1;
    }
    let tally = Tally {
        listed_count: tally.listed_count + taken_count,
        nonce,
    };
    Ok(Listing {
        transaction: transaction.put(name, encode(&tally)?),
        tally,
        taken_count,
    })
}

/// Returns the transaction that saves as many of `parts` as fit, and how many it
/// takes.
///
/// It needs no condition: each coordinator writes under its own fencing number,
/// and a part that is written late only shortens what can be read back.
///
/// # Errors
///
/// Fails where a part has no encoding.
pub fn saving(
    job: &JobId,
    fence: FenceNumber,
    parts: &[(usize, OutputPart)],
) -> Result<(RowTransaction, usize), LayoutError> {
    let mut transaction = RowTransaction::default();
    let mut size_bytes = 0;
    let mut taken_count = 0;
    for (item_index, part) in parts.iter().take(MAX_ENTRY_COUNT) {
        let value = encode(part)?;
        size_bytes += value.len();
        if size_bytes > MAX_TRANSACTION_BYTES && taken_count > 0 {
            break;
        }
        let key = format!("{fence:010}.{item_index:06}.{:06}", part.first_event);
        transaction = transaction.put(RowName::new(OUTPUTS, &**job, key), value);
        taken_count += 1;
    }
    Ok((transaction, taken_count))
}

/// Puts saved outputs together again, by the position of their items; of several
/// coordinators' outputs of one item it takes the longest.
///
/// # Errors
///
/// Fails where a row is not what [`saving`] wrote.
pub fn outputs(rows: &[StoredRow]) -> Result<BTreeMap<usize, Output>, LayoutError> {
    let mut chains: BTreeMap<(&str, usize), Output> = BTreeMap::new();
    for row in rows {
        let mut fields = row.key.split('.');
        let (Some(fence), Some(Ok(item_index))) =
            (fields.next(), fields.next().map(str::parse::<usize>))
        else {
            return Err(LayoutError::Missing {
                key: row.key.clone(),
            });
        };
        let part: OutputPart = decode(&row.key, &row.value)?;
        // A part that does not follow the last one is lost with all behind it.
        chains.entry((fence, item_index)).or_default().extend(&part);
    }
    let mut outputs: BTreeMap<usize, Output> = BTreeMap::new();
    for ((_, item_index), output) in chains {
        let known = outputs.entry(item_index).or_default();
        if output.last_event() > known.last_event() {
            *known = output;
        }
    }
    Ok(outputs)
}

/// Returns the transaction that ends `job`.
pub fn ending(job: &JobId) -> RowTransaction {
    let name = RowName::new(JOBS, &**job, END_KEY);
    RowTransaction::default()
        .expect(name.clone(), 0)
        .put(name, Bytes::new())
        .put(RowName::new(OPEN, &**job, END_KEY), Bytes::new())
}

/// Returns the transaction that takes an ended or finished `job` off the
/// coordinator's list.
pub fn closing(job: &JobId) -> RowTransaction {
    RowTransaction::default()
        .remove(RowName::new(OPEN, &**job, JOB_KEY))
        .remove(RowName::new(OPEN, &**job, END_KEY))
}

/// Returns how long after its acceptance `job` is at `store_time`.
pub fn age(head: &JobHead, store_time: Duration) -> Duration {
    store_time.saturating_sub(head.accepted_at)
}
