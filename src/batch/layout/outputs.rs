//! The rows of partial and whole outputs.

use std::collections::BTreeMap;

use super::{
    LayoutError, MAX_ENTRY_COUNT, MAX_TRANSACTION_BYTES, OUTPUTS, encode_extended, take,
    take_or_default,
};
use crate::{
    batch::{
        job::JobId,
        output::{Output, OutputPart},
    },
    ids::FenceNumber,
    store::rows::{RowName, RowTransaction, StoredRow},
};

/// The end of the keys of rows with a whole output. They are apart from those of
/// a growing output, since a late write of the latter would overwrite them.
const FINAL_SUFFIX: &str = ".whole";

/// Returns the transaction that saves as many of `parts` as fit, and the number
/// of parts that it saves.
///
/// It needs no condition: each coordinator writes under its own fencing number,
/// and a part that is written late only shortens what can be read back.
///
/// # Errors
///
/// Fails if a part cannot be encoded.
pub fn saving(
    job: &JobId,
    fence: FenceNumber,
    parts: &[(usize, OutputPart)],
) -> Result<(RowTransaction, usize), LayoutError> {
    let mut transaction = RowTransaction::default();
    let mut size_bytes = 0;
    let mut part_count = 0;
    for (item_index, part) in parts.iter().take(MAX_ENTRY_COUNT) {
        let value = encode_extended(part, Some(&(part.is_last, &part.software_version)))?;
        size_bytes += value.len();
        if size_bytes > MAX_TRANSACTION_BYTES && part_count > 0 {
            break;
        }
        let mut key = format!("{fence:010}.{item_index:06}.{:06}", part.first_event);
        if part.is_final {
            key.push_str(FINAL_SUFFIX);
        }
        transaction = transaction.put(RowName::new(OUTPUTS, &**job, key), value);
        part_count += 1;
    }
    Ok((transaction, part_count))
}

/// Reassembles saved outputs and returns them by the index of their item. Where
/// several coordinators saved output of the same item, a whole one is returned,
/// or else the longest.
///
/// # Errors
///
/// Fails if a row was not written by [`saving`].
pub fn decode_outputs(rows: &[StoredRow]) -> Result<BTreeMap<usize, Output>, LayoutError> {
    let mut chains: BTreeMap<(&str, usize, bool), Output> = BTreeMap::new();
    for row in rows {
        let mut fields = row.key.split('.');
        let (Some(fence), Some(Ok(item_index))) =
            (fields.next(), fields.next().map(str::parse::<usize>))
        else {
            return Err(LayoutError::Key {
                key: row.key.clone(),
            });
        };
        let is_final = row.key.ends_with(FINAL_SUFFIX);
        let (mut part, rest) = take::<OutputPart>(&row.key, &row.value)?;
        (part.is_last, part.software_version) = {
            let (is_last, rest) = take_or_default(&row.key, rest)?;
            (is_last, take_or_default(&row.key, rest)?.0)
        };
        part.is_final = is_final;
        // A part that leaves a gap is dropped, and so are all parts after it.
        let chain = chains.entry((fence, item_index, is_final)).or_default();
        chain.extend(&part);
    }
    let mut outputs: BTreeMap<usize, Output> = BTreeMap::new();
    for ((_, item_index, _), output) in chains {
        let known = outputs.entry(item_index).or_default();
        if output.is_longer_than(known) {
            *known = output;
        }
    }
    Ok(outputs)
}
