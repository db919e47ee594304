//! How the command line shows the table.

use std::fmt::Write as _;

use comfy_table::{Cell, CellAlignment, Table, presets::ASCII_MARKDOWN};
use serde_json::Value;

use crate::table::{
    CellChange, ChangeRecord,
    api::{HistoryBody, HostStatus, Problem, StatusBody, TableBody},
    change::{Accepted, Conflict},
    column::{self, COLUMNS},
    row::Row,
};

/// What stands for a value that is not there.
const NONE: &str = "-";

fn grid(headings: impl IntoIterator<Item = impl Into<Cell>>) -> Table {
    let mut grid = Table::new();
    grid.load_preset(ASCII_MARKDOWN);
    let headings: Vec<Cell> = headings.into_iter().map(Into::into).collect();
    grid.set_header(headings);
    grid
}

/// Shows the table with one line a row.
///
/// # Examples
///
/// ```
/// use mimosavane::{Row, table::{api::TableBody, view}};
///
/// let body = TableBody { revision: 4, rows: vec![Row::new("guides")] };
/// let shown = view::table(&body);
/// assert!(shown.contains("guides") && shown.contains("revision 4"));
/// ```
pub fn table(body: &TableBody) -> String {
    let names = COLUMNS.iter().map(|column| column.name);
    let mut grid = grid(["id"].into_iter().chain(names).chain(["version"]));
    for row in &body.rows {
        grid.add_row(row_cells(row));
    }
    format!("{grid}\nrevision {}\n", body.revision)
}

fn row_cells(row: &Row) -> Vec<Cell> {
    let cells = column::cells_of(row);
    let values = COLUMNS.iter().map(|column| {
        let text = cells.get(column.name).map(Value::to_string);
        Cell::new(text.unwrap_or_default()).set_alignment(CellAlignment::Right)
    });
    let version = Cell::new(row.version).set_alignment(CellAlignment::Right);
    let mut shown = vec![Cell::new(&row.id)];
    shown.extend(values);
    shown.push(version);
    shown
}

/// Shows each row with one line a column, which fits a narrow terminal.
pub fn rows(body: &TableBody) -> String {
    let mut text = String::new();
    for row in &body.rows {
        let mut grid = grid(["column", "value", "unit", "meaning"]);
        let cells = column::cells_of(row);
        for column in &COLUMNS {
            let value = cells.get(column.name).map(Value::to_string);
            let value = value.unwrap_or_default();
            grid.add_row([column.name, &value, column.unit, column.doc]);
        }
        let _ = writeln!(text, "{} (version {})\n{grid}", row.id, row.version);
    }
    text
}

/// Shows what a change did, or would do.
pub fn accepted(accepted: &Accepted, dry_run: bool) -> String {
    let verb = if dry_run { "would change" } else { "changed" };
    let mut text = String::new();
    for cell in &accepted.cells {
        let _ = writeln!(text, "{verb} {}", cell_change(cell));
    }
    if accepted.cells.is_empty() {
        let _ = writeln!(text, "nothing to change");
    }
    if dry_run {
        let _ = writeln!(text, "dry run: nothing was changed");
    } else {
        let (change, revision) = (&accepted.change, accepted.revision);
        let _ = writeln!(text, "accepted as change {change}, revision {revision}");
    }
    text
}

fn cell_change(cell: &CellChange) -> String {
    let (old, new) = (value(cell.old.as_ref()), value(cell.new.as_ref()));
    format!("{} {}: {old} -> {new}", cell.row, cell.column)
}

fn value(value: Option<&Value>) -> String {
    value.map_or_else(|| NONE.to_owned(), Value::to_string)
}

/// Shows accepted changes, one cell a line; a row that was added or removed
/// takes one line.
pub fn history(body: &HistoryBody) -> String {
    let mut grid = grid(["revision", "when (UTC)", "who", "change", "id"]);
    for record in &body.changes {
        for what in changes_of(record) {
            grid.add_row([
                record.revision.to_string(),
                utc(record.at_unix_ms),
                record.who.clone(),
                what,
                record.change.to_string(),
            ]);
        }
    }
    format!("{grid}\n")
}

fn changes_of(record: &ChangeRecord) -> Vec<String> {
    let by_row = record.cells.chunk_by(|a, b| a.row == b.row);
    by_row
        .flat_map(|cells| {
            if cells.iter().all(|cell| cell.old.is_none()) {
                vec![format!("{} added", cells[0].row)]
            } else if cells.iter().all(|cell| cell.new.is_none()) {
                vec![format!("{} removed", cells[0].row)]
            } else {
                cells.iter().map(cell_change).collect()
            }
        })
        .collect()
}

/// Shows which hosts have the revision in force.
pub fn status(body: &StatusBody) -> String {
    let mut grid = grid(["host", "revision", "in force", "standing", "state"]);
    for host in &body.hosts {
        grid.add_row(status_line(host, body.revision));
    }
    let accepted = body.accepted_revision.map(|revision| revision.to_string());
    let accepted = accepted.unwrap_or_else(|| "unknown".to_owned());
    let (in_force, hosts) = (body.in_force_hosts_count, body.hosts.len());
    format!(
        "{grid}\nrevision {} is in force on {in_force} of {hosts} hosts\n\
         accepted revision: {accepted}, store: {}\n",
        body.revision, body.store
    )
}

fn status_line(host: &HostStatus, revision: u64) -> [String; 5] {
    let is_in_force = host.revision.map(|present| present >= revision);
    let in_force = match is_in_force {
        Some(true) => "yes",
        Some(false) => "not yet",
        None => "no answer",
    };
    let text = |text: Option<String>| text.unwrap_or_else(|| NONE.to_owned());
    [
        host.host.to_string(),
        text(host.revision.map(|revision| revision.to_string())),
        in_force.to_owned(),
        text(host.standing.map(|standing| standing.to_string())),
        text(host.state.map(|state| state.to_string())),
    ]
}

/// Shows why a request was refused.
pub fn problem(problem: &Problem) -> String {
    let mut text = format!("{}\n", problem.detail);
    for cell in &problem.cells {
        let _ = writeln!(
            text,
            "row {}, column {}: {}",
            cell.row, cell.column, cell.reason
        );
    }
    for conflict in &problem.conflicts {
        let _ = writeln!(text, "{}", conflict_line(conflict));
    }
    text
}

fn conflict_line(conflict: &Conflict) -> String {
    format!(
        "row {}, column {}: yours {}, theirs {} (version {})",
        conflict.row,
        conflict.column,
        value(conflict.yours.as_ref()),
        value(conflict.theirs.as_ref()),
        conflict.present_version
    )
}

/// Writes a time as the date and time of day in UTC.
fn utc(unix_ms: u64) -> String {
    const DAY_S: u64 = 24 * 60 * 60;
    let seconds = unix_ms / 1_000;
    let (year, month, day) = civil_date(seconds / DAY_S);
    let of_day = seconds % DAY_S;
    let (hour, minute, second) = (of_day / 3_600, of_day / 60 % 60, of_day % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}")
}

/// Converts days since 1970 into year, month and day of the Gregorian calendar.
fn civil_date(mut days: u64) -> (u64, u64, u64) {
    let is_leap = |year: u64| {
        year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400))
    };
    let mut year = 1970;
    loop {
        let length = if is_leap(year) { 366 } else { 365 };
        if days < length {
            break;
        }
        days -= length;
        year += 1;
    }
    let february = if is_leap(year) { 29 } else { 28 };
    let lengths = [31, february, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31];
    let mut month = 1;
    for length in lengths {
        if days < length {
            break;
        }
        days -= length;
        month += 1;
    }
    (year, month, days + 1)
}
