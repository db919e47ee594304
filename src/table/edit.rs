//! Commits changes to the table.
//!
//! A change is committed in one transaction, which checks the versions of the
//! edited rows, increments the table's revision and records the change under its
//! id. If the response is lost, the record shows whether the change was accepted
//! (see docs/design/table.md).

use std::time::Duration;

use rand::Rng as _;

use crate::{
    control::controller::Rng,
    ids::ChangeId,
    store::{StoreError, TableService},
    table::{
        self, ChangeRecord, ReadError, Table,
        change::{self, Accepted, Change, Plan, PlanError, guard_transaction, plan},
        change_key, read_table,
    },
};

/// The maximum number of attempts to commit a change under contention.
const MAX_ATTEMPTS: u32 = 8;

/// The upper bound of the random delay before the second attempt; it doubles with
/// each further attempt.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// The maximum upper bound of the delay between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Why a change was not accepted.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum EditError {
    /// The change is invalid or conflicts with another; nothing was changed.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// Concurrent changes won on every attempt; nothing was changed.
    #[error("the table changed {MAX_ATTEMPTS} times meanwhile")]
    Contended,
    /// The table could not be read or written; nothing was changed.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// It is not known whether the change was accepted. A retry with the same id
    /// resolves this and never applies the change twice.
    #[error("it is not known whether change {change} was accepted")]
    Unresolved {
        /// The change.
        change: ChangeId,
    },
}

impl From<StoreError> for EditError {
    fn from(error: StoreError) -> Self {
        Self::Read(ReadError::Store(error))
    }
}

/// Returns the effect that `change` would have now, without committing it.
///
/// # Errors
///
/// Fails as [`apply`] does.
pub async fn dry_run(store: &impl TableService, change: &Change) -> Result<Accepted, EditError> {
    change::check_edits(change)?;
    let table = read_table(store).await?;
    Ok(plan(&table, change)?.accepted(change))
}

/// Commits `change`. Repeated requests with the same id apply it only once.
///
/// # Errors
///
/// All errors except [`EditError::Unresolved`] mean that nothing was changed.
pub async fn apply(
    store: &impl TableService,
    change: &Change,
    rng: &mut Rng,
) -> Result<Accepted, EditError> {
    change::check_edits(change)?;
    let mut in_doubt = false;
    for attempt_index in 0..MAX_ATTEMPTS {
        match attempt(store, change).await {
            Ok(Attempt::Accepted(accepted)) => return Ok(accepted),
            Ok(Attempt::Overtaken) => {}
            Ok(Attempt::Unknown) => in_doubt = true,
            Err(EditError::Read(_)) if in_doubt => {}
            Err(error) => return Err(error),
        }
        let max_delay = MIN_BACKOFF
            .saturating_mul(1 << attempt_index)
            .min(MAX_BACKOFF);
        tokio::time::sleep(max_delay.mul_f64(rng.random())).await;
    }
    if in_doubt {
        let change = change.id.clone();
        Err(EditError::Unresolved { change })
    } else {
        Err(EditError::Contended)
    }
}

/// The outcome of one attempt to commit a change.
#[derive(Debug)]
pub(crate) enum Attempt {
    /// The change was accepted.
    Accepted(Accepted),
    /// Another change was accepted since the table was read.
    Overtaken,
    /// The response was lost.
    Unknown,
}

/// Makes one attempt to commit a change.
pub(crate) async fn attempt(
    store: &impl TableService,
    change: &Change,
) -> Result<Attempt, EditError> {
    let table = read_table(store).await?;
    let plan = match plan(&table, change) {
        Ok(plan) => plan,
        Err(refusal) => return confirm_refusal(store, &table, change, refusal).await,
    };
    if plan.cells.is_empty() {
        return confirm_unchanged(store, &table, change, plan).await;
    }
    let expired = table::read_expired(store, plan.revision).await?;
    match store
        .commit(plan.transaction(&table, change, expired))
        .await
    {
        Ok(_) => Ok(Attempt::Accepted(plan.accepted(change))),
        Err(error) => resolve_error(change, error),
    }
}

/// Returns the outcome that a failed commit implies. If the store already has a
/// record under the id of the change, an earlier attempt was accepted.
fn resolve_error(change: &Change, error: StoreError) -> Result<Attempt, EditError> {
    match error {
        StoreError::Unknown => Ok(Attempt::Unknown),
        StoreError::Refused { condition, present } if condition.name == change_key(&change.id) => {
            let Some(record) = present else {
                return Ok(Attempt::Unknown);
            };
            let record: ChangeRecord = table::decode(&record)?;
            Ok(Attempt::Accepted(Accepted {
                change: record.change,
                revision: record.revision,
                cells: record.cells,
            }))
        }
        StoreError::Refused { .. } => Ok(Attempt::Overtaken),
        error => Err(error.into()),
    }
}

/// Returns the refusal, but only after a transaction has verified that the change
/// was not accepted earlier: the conflict may be the change's own effect, and a
/// plain read may be stale.
async fn confirm_refusal(
    store: &impl TableService,
    table: &Table,
    change: &Change,
    refusal: PlanError,
) -> Result<Attempt, EditError> {
    match store.commit(guard_transaction(table, change)).await {
        Ok(_) => Err(refusal.into()),
        Err(error) => resolve_error(change, error),
    }
}

/// Accepts a change without effect, after a transaction has verified that it was
/// not accepted earlier.
async fn confirm_unchanged(
    store: &impl TableService,
    table: &Table,
    change: &Change,
    plan: Plan,
) -> Result<Attempt, EditError> {
    match store.commit(guard_transaction(table, change)).await {
        Ok(_) => Ok(Attempt::Accepted(Accepted {
            change: change.id.clone(),
            revision: table.revision,
            cells: plan.cells,
        })),
        Err(error) => resolve_error(change, error),
    }
}
