//! Plans changes to the table: checks, conflicts and the resulting transaction,
//! without any I/O.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    ids::{ChangeId, Revision, RowId, RowVersion},
    store::Transaction,
    table::{
        CellChange, ChangeRecord, RevisionRecord, Table, change_key,
        column::{self, CellError, CellFault, Cells},
        history_key, revision_key,
        row::Row,
        row_key,
    },
};

/// An edit of one row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowEdit {
    /// The row.
    pub row: RowId,
    /// The version that the operator saw; 0 to add a row.
    pub base_version: RowVersion,
    /// The action on the row.
    pub action: RowAction,
}

/// The action of an edit on its row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RowAction {
    /// Set these cells. The other cells of a new row get their defaults.
    Set(Cells),
    /// Remove the row.
    Remove,
}

/// A set of edits that are accepted atomically.
///
/// # Examples
///
/// ```
/// use mimosavane::{
///     control::controller::Rng,
///     standin::table_service::MemoryTable,
///     table::{change::{Change, RowEdit}, edit},
/// };
/// use rand::SeedableRng as _;
///
/// # tokio::runtime::Builder::new_current_thread().build()?.block_on(async {
/// let store = MemoryTable::default();
/// let cells = serde_json::json!({"weight_ratio": 2.0});
/// let cells = cells.as_object().cloned().unwrap_or_default();
/// let change = Change::new("c-1", "ana", 0).edit(RowEdit::set("guides", 0, cells));
/// let accepted = edit::apply(&store, &change, &mut Rng::seed_from_u64(7)).await;
/// assert_eq!(accepted.map(|accepted| accepted.revision).ok(), Some(1));
/// # });
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The id, by which the outcome can be looked up if the response is lost.
    pub id: ChangeId,
    /// The operator who makes the change.
    pub who: String,
    /// When the change was requested, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The edits, at most one per row.
    pub edits: Vec<RowEdit>,
}

impl Change {
    /// Creates a change without edits.
    pub fn new(id: impl Into<ChangeId>, who: impl Into<String>, at_unix_ms: u64) -> Self {
        Self {
            id: id.into(),
            who: who.into(),
            at_unix_ms,
            edits: Vec::new(),
        }
    }

    /// Adds an edit.
    #[must_use]
    pub fn edit(mut self, edit: RowEdit) -> Self {
        self.edits.push(edit);
        self
    }
}

impl RowEdit {
    /// Creates an edit that sets `cells` of a row that the operator saw at
    /// `base_version`.
    pub fn set(row: impl Into<RowId>, base_version: RowVersion, cells: Cells) -> Self {
        Self {
            row: row.into(),
            base_version,
            action: RowAction::Set(cells),
        }
    }

    /// Creates an edit that removes a row that the operator saw at `base_version`.
    pub fn remove(row: impl Into<RowId>, base_version: RowVersion) -> Self {
        Self {
            row: row.into(),
            base_version,
            action: RowAction::Remove,
        }
    }
}

/// The result of an accepted change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// The id of the change.
    pub change: ChangeId,
    /// The table revision that includes the change.
    pub revision: Revision,
    /// The modified cells; empty if all cells already had the requested values.
    pub cells: Vec<CellChange>,
}

/// A cell that another operator changed concurrently.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    /// The row.
    pub row: RowId,
    /// The column.
    pub column: String,
    /// The value in this change; `None` if it removes the row.
    pub yours: Option<Value>,
    /// The value that was accepted first; `None` if the row no longer exists.
    pub theirs: Option<Value>,
    /// The current version of the row; 0 if it no longer exists.
    pub present_version: RowVersion,
}

/// Why a change cannot be applied to a snapshot of the table.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PlanError {
    /// Some cells are invalid.
    #[error("{} cells are refused", .0.len())]
    Invalid(Vec<CellError>),
    /// Another operator changed the rows first.
    #[error("{} cells were changed by another operator", .0.len())]
    Conflict(Vec<Conflict>),
}

/// Returns a transaction that succeeds only if the change was not yet accepted
/// and the table has not changed since it was read. Once it commits, an earlier
/// attempt of the change that is still in flight fails, because each attempt is
/// conditional on the revision it was planned on.
pub(crate) fn guard_transaction(table: &Table, change: &Change) -> Transaction {
    Transaction::default()
        .absent(change_key(&change.id))
        .at_version(revision_key(), table.record_version(&revision_key()))
}

/// The effect of a change on a snapshot of the table.
#[derive(Debug)]
pub(crate) struct Plan {
    pub(crate) revision: Revision,
    rows: BTreeMap<RowId, Option<Row>>,
    pub(crate) cells: Vec<CellChange>,
}

impl Plan {
    pub(crate) fn accepted(&self, change: &Change) -> Accepted {
        Accepted {
            change: change.id.clone(),
            revision: self.revision,
            cells: self.cells.clone(),
        }
    }

    pub(crate) fn transaction(
        &self,
        table: &Table,
        change: &Change,
        expired: Option<ChangeRecord>,
    ) -> Transaction {
        let record = ChangeRecord {
            change: change.id.clone(),
            revision: self.revision,
            who: change.who.clone(),
            at_unix_ms: change.at_unix_ms,
            cells: self.cells.clone(),
        };
        let record = serde_json::json!(record);
        let revision = RevisionRecord {
            revision: self.revision,
        };
        let mut transaction = guard_transaction(table, change)
            .put(revision_key(), serde_json::json!(revision))
            .put(change_key(&change.id), record.clone())
            .put(history_key(self.revision), record);
        for (id, row) in &self.rows {
            let name = row_key(id);
            let version = table.record_version(&name);
            transaction = transaction.at_version(name.clone(), version);
            transaction = match row {
                Some(row) => transaction.put(name, serde_json::json!(row)),
                None => transaction.delete(name),
            };
        }
        if let Some(expired) = expired {
            transaction = transaction
                .delete(history_key(expired.revision))
                .delete(change_key(&expired.change));
        }
        transaction
    }
}

/// Checks a change as far as this is possible without reading the table.
pub(crate) fn check_edits(change: &Change) -> Result<(), PlanError> {
    let mut seen = BTreeSet::new();
    let mut errors = Vec::new();
    for edit in &change.edits {
        errors.extend(column::check_row_id(&edit.row).err());
        if !seen.insert(&edit.row) {
            errors.push(CellError::new(&edit.row, "id", CellFault::RowTwice));
        }
        if let RowAction::Set(cells) = &edit.action {
            errors.extend(column::check_cells(&edit.row, cells));
        }
    }
    if errors.is_empty() {
        Ok(())
    } else {
        Err(PlanError::Invalid(errors))
    }
}

/// Plans a change on a snapshot of the table.
pub(crate) fn plan(table: &Table, change: &Change) -> Result<Plan, PlanError> {
    let conflicts: Vec<_> = change
        .edits
        .iter()
        .flat_map(|edit| find_conflicts(table.rows.get(&edit.row), edit))
        .collect();
    if !conflicts.is_empty() {
        return Err(PlanError::Conflict(conflicts));
    }
    let mut plan = Plan {
        revision: table.revision + 1,
        rows: BTreeMap::new(),
        cells: Vec::new(),
    };
    for edit in &change.edits {
        plan.add_edit(table.rows.get(&edit.row), edit)
            .map_err(PlanError::Invalid)?;
    }
    check_shares(table, &plan)?;
    if plan.cells.is_empty() {
        plan.revision = table.revision;
    }
    Ok(plan)
}

/// Returns the cells that a concurrently accepted change set to other values.
fn find_conflicts(present: Option<&Row>, edit: &RowEdit) -> Vec<Conflict> {
    let present_version = present.map_or(0, |row| row.version);
    if present_version == edit.base_version {
        return Vec::new();
    }
    let theirs = present.map(column::cells_of);
    let conflict = |column: &str, yours: Option<Value>, theirs: Option<Value>| Conflict {
        row: edit.row.clone(),
        column: column.to_owned(),
        yours,
        theirs,
        present_version,
    };
    match (&edit.action, theirs) {
        (RowAction::Remove, None) => Vec::new(),
        (RowAction::Remove, Some(theirs)) => theirs
            .into_iter()
            .map(|(column, value)| conflict(&column, None, Some(value)))
            .collect(),
        (RowAction::Set(yours), theirs) => yours
            .iter()
            .filter_map(|(column, yours)| {
                let theirs = theirs.as_ref().and_then(|cells| cells.get(column));
                let is_same = theirs == checked_value(column, yours).as_ref();
                (!is_same).then(|| conflict(column, Some(yours.clone()), theirs.cloned()))
            })
            .collect(),
    }
}

/// Returns `value` in the column's own type, or `None` if it is not valid.
fn checked_value(column: &str, value: &Value) -> Option<Value> {
    let column = column::Column::find(column)?;
    column.check(value.clone()).ok()
}

impl Plan {
    fn add_edit(&mut self, present: Option<&Row>, edit: &RowEdit) -> Result<(), Vec<CellError>> {
        let old = present.map(column::cells_of);
        let row = match &edit.action {
            RowAction::Remove => None,
            RowAction::Set(cells) => {
                let base = present.cloned();
                let base = base.unwrap_or_else(|| Row::new(edit.row.clone()));
                let mut row = column::with_cells(&base, cells)?;
                row.version = self.revision;
                Some(row)
            }
        };
        let new = row.as_ref().map(column::cells_of);
        let previous_count = self.cells.len();
        self.cells
            .extend(column::COLUMNS.iter().filter_map(|column| {
                let value_of = |cells: &Option<Cells>| cells.as_ref()?.get(column.name).cloned();
                let (old, new) = (value_of(&old), value_of(&new));
                (old != new).then(|| CellChange {
                    row: edit.row.clone(),
                    column: column.name.to_owned(),
                    old,
                    new,
                })
            }));
        if self.cells.len() > previous_count {
            self.rows.insert(edit.row.clone(), row);
        }
        Ok(())
    }
}

/// Checks that the engine shares of all enabled rows add up to at most 1. If the
/// table already exceeds that, a change must not raise the sum.
fn check_shares(table: &Table, plan: &Plan) -> Result<(), PlanError> {
    const TOLERANCE_RATIO: f64 = 1e-9;
    let mut rows = table.rows.clone();
    for (id, row) in &plan.rows {
        match row {
            Some(row) => rows.insert(id.clone(), row.clone()),
            None => rows.remove(id),
        };
    }
    let sum_ratio = sum_shares(&rows);
    let max_ratio = sum_shares(&table.rows).max(1.0);
    if sum_ratio <= max_ratio + TOLERANCE_RATIO {
        return Ok(());
    }
    let fault = CellFault::SharesExceedOne { sum_ratio };
    let errors: Vec<_> = plan
        .rows
        .keys()
        .filter_map(|row| Some(CellError::new(row, plan.share_column(row)?, fault.clone())))
        .collect();
    Err(PlanError::Invalid(errors))
}

fn sum_shares(rows: &BTreeMap<RowId, Row>) -> f64 {
    let enabled = rows.values().filter(|row| row.enabled);
    enabled.map(|row| row.engine_share_ratio).sum()
}

impl Plan {
    /// Returns the changed column of `row` that affects the sum of shares.
    fn share_column(&self, row: &RowId) -> Option<&'static str> {
        let is_changed = |column: &str| {
            let mut cells = self.cells.iter();
            cells.any(|cell| cell.row == *row && cell.column == column)
        };
        ["engine_share_ratio", "enabled"]
            .into_iter()
            .find(|column| is_changed(column))
    }
}
