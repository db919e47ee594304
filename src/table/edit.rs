//! Accepts changes of the table.
//!
//! A change is accepted by one transaction, which checks the versions of the
//! rows that it edits, raises the table's revision and writes the change's id.
//! Where the answer is lost, the id is read back (see docs/design/table.md).

use std::time::Duration;

use rand::Rng as _;

use crate::{
    control::controller::Rng,
    ids::ChangeId,
    store::{StoreError, TableService},
    table::{
        self, ChangeRecord, ReadError, Table,
        change::{self, Accepted, Change, Plan, PlanError, guard, plan},
        change_key, read_table,
    },
};

/// How often a change is tried while others are accepted in between.
const MAX_TRIES: u32 = 8;

/// The bound of the pause before the second try; it doubles with each further.
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// The highest bound of the pause between two tries.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Why a change was not accepted.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum EditError {
    /// The change cannot be applied to the table; nothing was changed.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// Others kept changing the table meanwhile; nothing was changed.
    #[error("the table changed {MAX_TRIES} times meanwhile")]
    Contended,
    /// The table could not be read or written; nothing was changed.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// It is not known whether the change was accepted; asking again with the
    /// same id finds out and never applies it twice.
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

/// Says what `change` would do now, without doing it.
///
/// # Errors
///
/// Fails as [`apply`] does.
pub async fn dry_run(store: &impl TableService, change: &Change) -> Result<Accepted, EditError> {
    change::check(change)?;
    let table = read_table(store).await?;
    Ok(plan(&table, change)?.accepted(change))
}

/// Has `change` accepted, once, however often it is asked for.
///
/// # Errors
///
/// All errors but [`EditError::Unresolved`] say that nothing was changed.
pub async fn apply(
    store: &impl TableService,
    change: &Change,
    rng: &mut Rng,
) -> Result<Accepted, EditError> {
    change::check(change)?;
    let mut in_doubt = false;
    for tries_count in 0..MAX_TRIES {
        match attempt(store, change).await {
            Ok(Attempt::Accepted(accepted)) => return Ok(accepted),
            Ok(Attempt::Overtaken) => {}
            Ok(Attempt::Unknown) => in_doubt = true,
            Err(EditError::Read(_)) if in_doubt => {}
            Err(error) => return Err(error),
        }
        let bound = MIN_PAUSE.saturating_mul(1 << tries_count).min(MAX_PAUSE);
        tokio::time::sleep(bound.mul_f64(rng.random())).await;
    }
    if in_doubt {
        let change = change.id.clone();
        Err(EditError::Unresolved { change })
    } else {
        Err(EditError::Contended)
    }
}

/// How one try to commit a change ended.
#[derive(Debug)]
pub(crate) enum Attempt {
    /// The change is in the table.
    Accepted(Accepted),
    /// Another change was accepted since the table was read.
    Overtaken,
    /// The answer was lost.
    Unknown,
}

/// Tries to commit a change once.
pub(crate) async fn attempt(
    store: &impl TableService,
    change: &Change,
) -> Result<Attempt, EditError> {
    let table = read_table(store).await?;
    let plan = match plan(&table, change) {
        Ok(plan) => plan,
        Err(refusal) => return confirm(store, &table, change, refusal).await,
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
        Err(error) => after_error(change, error),
    }
}

/// An accepted change with its own id means that this one was accepted before.
fn after_error(change: &Change, error: StoreError) -> Result<Attempt, EditError> {
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

/// Reports a refusal only once a transaction has shown that this change was not
/// accepted before, since what refuses it may be its own effect, and a plain
/// read may be old.
async fn confirm(
    store: &impl TableService,
    table: &Table,
    change: &Change,
    refusal: PlanError,
) -> Result<Attempt, EditError> {
    match store.commit(guard(table, change)).await {
        Ok(_) => Err(refusal.into()),
        Err(error) => after_error(change, error),
    }
}

async fn confirm_unchanged(
    store: &impl TableService,
    table: &Table,
    change: &Change,
    plan: Plan,
) -> Result<Attempt, EditError> {
    match store.commit(guard(table, change)).await {
        Ok(_) => Ok(Attempt::Accepted(Accepted {
            change: change.id.clone(),
            revision: table.revision,
            cells: plan.cells,
        })),
        Err(error) => after_error(change, error),
    }
}
