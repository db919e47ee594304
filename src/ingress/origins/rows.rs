//! The rows in which the software versions of services and the origins of streams are
//! saved.
//!
//! | table | key | value | written |
//! |---|---|---|---|
//! | `origins` | `v.SERVICE` | the versions that may have begun streams | before the first stream begins at a version |
//! | `origins` | `a.HASH` | [`SavedOrigin`] | while a service has several versions, once a stream began |

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use super::book::{BegunStream, Origin};
use crate::{
    batch::layout::{self, LayoutError},
    ids::SoftwareVersion,
    ingress::routes::ServiceName,
    store::rows::{RowName, RowRange, RowStamp, RowTransaction, StoredRow},
};

const TABLE: &str = "origins";

const PARTITION: &str = "fleet";

/// The start of the keys of versions, and the key after all of them.
const VERSIONS_START: &str = "v.";
const VERSIONS_END: &str = "v/";

/// The same of origins.
const ORIGINS_START: &str = "a.";
const ORIGINS_END: &str = "a/";

/// The number of rows read per call; the platform returns at most this many.
const PAGE_ROW_COUNT: usize = 500;

/// The origin of a stream as it is saved.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedOrigin {
    /// What began the stream.
    pub origin: Origin,
    /// The time on the store's clock at which it was saved.
    pub saved_at: Duration,
}

/// The versions of one service, with the stamp of their row.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SavedVersions {
    /// The versions.
    pub versions: BTreeSet<SoftwareVersion>,
    /// The stamp, or 0 if there is no row.
    pub stamp: RowStamp,
}

fn range(from: &str, to: &str) -> RowRange {
    RowRange {
        table: TABLE,
        partition: PARTITION.to_owned(),
        from: from.to_owned(),
        to: to.to_owned(),
        limit_count: PAGE_ROW_COUNT,
    }
}

/// Returns the range of the versions of all services.
pub fn versions_range() -> RowRange {
    range(VERSIONS_START, VERSIONS_END)
}

/// Returns the range of the origins of all streams.
pub fn origins_range() -> RowRange {
    range(ORIGINS_START, ORIGINS_END)
}

/// Returns the range of the origin of one stream.
pub fn origin_range(attempt: &str) -> RowRange {
    RowRange {
        limit_count: 1,
        ..range(&origin_key(attempt), ORIGINS_END)
    }
}

/// Returns the key of a stream's origin. Attempts are named by clients, so that their
/// names may not fit into a key.
pub fn origin_key(attempt: &str) -> String {
    format!("{ORIGINS_START}{:032x}", xxh3_128(attempt.as_bytes()))
}

/// Decodes the rows of [`versions_range`].
///
/// # Errors
///
/// Fails if a row was not written by [`registration`].
pub fn decode_versions(
    rows: &[StoredRow],
) -> Result<BTreeMap<ServiceName, SavedVersions>, LayoutError> {
    rows.iter()
        .map(|row| {
            let service = row.key.strip_prefix(VERSIONS_START).unwrap_or_default();
            let versions = SavedVersions {
                versions: layout::decode(&row.key, &row.value)?,
                stamp: row.stamp,
            };
            Ok((service.into(), versions))
        })
        .collect()
}

/// Returns the transaction that replaces the versions of `service`, which must be as
/// `known` was read.
///
/// # Errors
///
/// Fails if the versions cannot be encoded.
pub fn registration(
    service: &str,
    known: &SavedVersions,
    versions: &BTreeSet<SoftwareVersion>,
) -> Result<RowTransaction, LayoutError> {
    let name = RowName::new(TABLE, PARTITION, format!("{VERSIONS_START}{service}"));
    Ok(RowTransaction::default()
        .expect(name.clone(), known.stamp)
        .put(name, layout::encode(versions)?))
}

/// Returns the transaction that saves `begun` and removes the origins with the keys in
/// `expired`.
///
/// # Errors
///
/// Fails if an origin cannot be encoded.
pub fn saving(
    begun: &[BegunStream],
    expired: &[String],
    store_time: Duration,
) -> Result<RowTransaction, LayoutError> {
    let mut transaction = RowTransaction::default();
    for (attempt, origin) in begun {
        let saved = SavedOrigin {
            origin: origin.clone(),
            saved_at: store_time,
        };
        let name = RowName::new(TABLE, PARTITION, origin_key(attempt));
        transaction = transaction.put(name, layout::encode(&saved)?);
    }
    for key in expired {
        transaction = transaction.remove(RowName::new(TABLE, PARTITION, key.as_str()));
    }
    Ok(transaction)
}

/// Decodes the row of a stream's origin.
///
/// # Errors
///
/// Fails if the row was not written by [`saving`].
pub fn decode_origin(row: &StoredRow) -> Result<SavedOrigin, LayoutError> {
    layout::decode(&row.key, &row.value)
}
