//! Claims of keyed calls in the table service.
//!
//! A claim is one record of the table `claims`, named by row, pool and the
//! caller's key (docs/design/calls.md).

use std::sync::Arc;

use crate::{
    call::claim::{Claim, ClaimStore, Expected, Key, Record, StoreError, Written},
    ids::AttemptId,
    store::{self, RecordKey, TableService, Transaction},
};

/// The table that holds claims.
const TABLE: &str = "claims";

/// Keeps claims in a table service.
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
    /// Keeps claims in `service`.
    pub const fn new(service: T) -> Self {
        Self { service }
    }

    async fn get(&self, key: &Key) -> Result<Option<store::Record>, StoreError> {
        self.service.get(name(key)).await.map_err(read_error)
    }

    /// Writes `claim` over the record at `version`.
    async fn write(&self, claim: &Claim, version: u64) -> Result<Written, StoreError> {
        let value = serde_json::to_value(claim).map_err(|_| StoreError::Unavailable)?;
        let transaction = Transaction::default()
            .at_version(name(&claim.key), version)
            .put(name(&claim.key), value);
        match self.service.commit(transaction).await {
            Ok(_) => Ok(Written::Done),
            Err(store::StoreError::Refused { present, .. }) => match present {
                Some(record) => Ok(Written::Present(parse(&record)?)),
                // What stood in the way is gone; the caller reads and decides.
                None => Err(StoreError::AnswerLost),
            },
            Err(error) => Err(write_error(&error)),
        }
    }
}

impl<T: TableService> ClaimStore for TableClaims<T> {
    async fn put(&self, claim: &Claim, expected: Expected) -> Result<Written, StoreError> {
        let Expected::NotRun(attempt) = expected else {
            return self.write(claim, 0).await;
        };
        let Some(record) = self.get(&claim.key).await? else {
            return self.write(claim, 0).await;
        };
        let known = parse(&record)?;
        if known.attempt != attempt || known.record != Record::NotRun {
            return Ok(Written::Present(known));
        }
        self.write(claim, record.version).await
    }

    async fn read(&self, key: &Key) -> Result<Option<Claim>, StoreError> {
        self.get(key).await?.as_ref().map(parse).transpose()
    }

    async fn complete(
        &self,
        key: &Key,
        attempt: AttemptId,
        record: &Record,
    ) -> Result<(), StoreError> {
        let Some(known) = self.get(key).await? else {
            return Ok(());
        };
        let mut claim = parse(&known)?;
        if claim.attempt != attempt {
            return Ok(());
        }
        claim.record = record.clone();
        self.write(&claim, known.version).await.map(drop)
    }

    async fn remove_expired(
        &self,
        created_before_ms: u64,
        max_count: usize,
    ) -> Result<usize, StoreError> {
        let scan = self.service.scan(TABLE, 0).await.map_err(read_error)?;
        let is_expired = |record: &&store::Record| {
            parse(record).is_ok_and(|claim| claim.created_at_ms < created_before_ms)
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

fn name(key: &Key) -> RecordKey {
    let text: Arc<str> = format!("{}/{}/{}", key.row, key.pool, key.key).into();
    RecordKey::new(TABLE, text)
}

fn parse(record: &store::Record) -> Result<Claim, StoreError> {
    serde_json::from_value(record.value.clone()).map_err(|_| StoreError::Unavailable)
}

/// A read changes nothing, so that its failure is never in doubt.
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
