//! Storage of keyed calls' claims in the table service.
//!
//! Each claim is one record of the table `claims`; its name consists of the
//! row, the pool and the caller's key (see docs/design/calls.md).

use std::sync::Arc;

use crate::{
    call::claim::{Claim, ClaimStore, Expected, Key, PutOutcome, Record, StoreError},
    ids::AttemptId,
    store::{self, RecordKey, TableService, Transaction},
};

/// How many times a completion is written while the record changes in between.
/// Only the claim's own attempt and those that take it over write it.
const MAX_COMPLETE_ATTEMPTS: usize = 4;

/// The name of the table.
const TABLE: &str = "claims";

/// A [`ClaimStore`] backed by a table service.
///
/// # Examples
///
/// ```
/// use mimosavane::{
///     call::claim_store::TableClaims,
///     standin::table_service::MemoryTable,
/// };
///
/// let claims = TableClaims::new(MemoryTable::default());
/// ```
#[derive(Clone, Debug)]
pub struct TableClaims<T> {
    service: T,
}

impl<T: TableService> TableClaims<T> {
    /// Creates a store backed by `service`.
    pub const fn new(service: T) -> Self {
        Self { service }
    }

    async fn get_record(&self, key: &Key) -> Result<Option<store::Record>, StoreError> {
        self.service.get(record_key(key)).await.map_err(read_error)
    }

    /// Writes `claim` if the stored record still has `version`.
    async fn write(&self, claim: &Claim, version: u64) -> Result<PutOutcome, StoreError> {
        let value = serde_json::to_value(claim).map_err(|_| StoreError::Unavailable)?;
        let transaction = Transaction::default()
            .at_version(record_key(&claim.key), version)
            .put(record_key(&claim.key), value);
        match self.service.commit(transaction).await {
            Ok(_) => Ok(PutOutcome::Stored),
            Err(store::StoreError::Refused { present, .. }) => match present {
                Some(record) => Ok(PutOutcome::Conflict(parse_claim(&record)?)),
                // The conflicting record is gone. Reporting a lost response makes
                // the caller read the claim and decide.
                None => Err(StoreError::AnswerLost),
            },
            Err(error) => Err(write_error(&error)),
        }
    }
}

impl<T: TableService> ClaimStore for TableClaims<T> {
    async fn put(&self, claim: &Claim, expected: Expected) -> Result<PutOutcome, StoreError> {
        let Expected::NotRun(attempt) = expected else {
            return self.write(claim, 0).await;
        };
        let Some(record) = self.get_record(&claim.key).await? else {
            return self.write(claim, 0).await;
        };
        let known = parse_claim(&record)?;
        if known.attempt != attempt || known.record != Record::NotRun {
            return Ok(PutOutcome::Conflict(known));
        }
        self.write(claim, record.version).await
    }

    async fn read(&self, key: &Key) -> Result<Option<Claim>, StoreError> {
        self.get_record(key)
            .await?
            .as_ref()
            .map(parse_claim)
            .transpose()
    }

    async fn complete(
        &self,
        key: &Key,
        attempt: AttemptId,
        record: &Record,
    ) -> Result<(), StoreError> {
        for _ in 0..MAX_COMPLETE_ATTEMPTS {
            let Some(known) = self.get_record(key).await? else {
                return Ok(());
            };
            let mut claim = parse_claim(&known)?;
            if claim.attempt != attempt {
                return Ok(());
            }
            claim.record = record.clone();
            // A conflict means that the record was written after it was read: the
            // claim may still be this attempt's and open.
            if let PutOutcome::Stored = self.write(&claim, known.version).await? {
                return Ok(());
            }
        }
        Err(StoreError::Unavailable)
    }

    async fn remove_expired(
        &self,
        created_before_ms: u64,
        max_count: usize,
    ) -> Result<usize, StoreError> {
        let scan = self.service.scan(TABLE, 0).await.map_err(read_error)?;
        let is_expired = |record: &&store::Record| {
            parse_claim(record).is_ok_and(|claim| claim.created_at_ms < created_before_ms)
        };
        let expired = scan
            .records
            .iter()
            .filter(is_expired)
            .take(max_count)
            .collect::<Vec<_>>();
        if expired.is_empty() {
            return Ok(0);
        }
        let transaction = expired
            .iter()
            .fold(Transaction::default(), |transaction, record| {
                transaction
                    .at_version(record.name.clone(), record.version)
                    .delete(record.name.clone())
            });
        self.service
            .commit(transaction)
            .await
            .map_err(|error| write_error(&error))?;
        Ok(expired.len())
    }
}

fn record_key(key: &Key) -> RecordKey {
    let text: Arc<str> = format!("{}/{}/{}", key.row, key.pool, key.key).into();
    RecordKey::new(TABLE, text)
}

fn parse_claim(record: &store::Record) -> Result<Claim, StoreError> {
    serde_json::from_value(record.value.clone()).map_err(|_| StoreError::Unavailable)
}

/// Maps the failure of a read, which never leaves a write in doubt.
fn read_error(_error: store::StoreError) -> StoreError {
    StoreError::Unavailable
}

fn write_error(error: &store::StoreError) -> StoreError {
    if error.may_be_applied() {
        StoreError::AnswerLost
    } else {
        StoreError::Unavailable
    }
}
