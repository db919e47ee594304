//! Formats the table and the results of commands for the command line.

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

/// The placeholder for a missing value.
const MISSING_VALUE: &str = "-";

fn new_grid(headings: impl IntoIterator<Item = impl Into<Cell>>) -> Table {
    let mut grid = Table::new();
    grid.load_preset(ASCII_MARKDOWN);
    let headings: Vec<Cell> = headings.into_iter().map(Into::into).collect();
    grid.set_header(headings);
    grid
}

/// Formats the table with one line per row.
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
    let mut grid = new_grid(["id"].into_iter().chain(names).chain(["version"]));
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

/// Formats each row with one line per column, which fits a narrow terminal.
pub fn rows(body: &TableBody) -> String {
    let mut text = String::new();
    for row in &body.rows {
        let mut grid = new_grid(["column", "value", "unit", "meaning"]);
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

/// Formats the effect of a change or of a dry run.
pub fn accepted(accepted: &Accepted, dry_run: bool) -> String {
    let verb = if dry_run { "would change" } else { "changed" };
    let mut text = String::new();
    for cell in &accepted.cells {
        let _ = writeln!(text, "{verb} {}", format_cell_change(cell));
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

fn format_cell_change(cell: &CellChange) -> String {
    let (old, new) = (
        format_value(cell.old.as_ref()),
        format_value(cell.new.as_ref()),
    );
    format!("{} {}: {old} -> {new}", cell.row, cell.column)
}

fn format_value(value: Option<&Value>) -> String {
    value.map_or_else(|| MISSING_VALUE.to_owned(), Value::to_string)
}

/// Formats the accepted changes with one line per cell; a row that was added or
/// removed takes one line.
pub fn history(body: &HistoryBody) -> String {
    let mut grid = new_grid(["revision", "when (UTC)", "who", "change", "id"]);
    for record in &body.changes {
        for description in describe_changes(record) {
            grid.add_row([
                record.revision.to_string(),
                format_utc(record.at_unix_ms),
                record.who.clone(),
                description,
                record.change.to_string(),
            ]);
        }
    }
    format!("{grid}\n")
}

fn describe_changes(record: &ChangeRecord) -> Vec<String> {
    let groups = record.cells.chunk_by(|a, b| a.row == b.row);
    groups
        .flat_map(|cells| {
            if cells.iter().all(|cell| cell.old.is_none()) {
                vec![format!("{} added", cells[0].row)]
            } else if cells.iter().all(|cell| cell.new.is_none()) {
                vec![format!("{} removed", cells[0].row)]
            } else {
                cells.iter().map(format_cell_change).collect()
            }
        })
        .collect()
}

/// Formats the table status of the hosts.
pub fn status(body: &StatusBody) -> String {
    let mut grid = new_grid(["host", "revision", "in force", "standing", "state"]);
    for host in &body.hosts {
        grid.add_row(status_cells(host, body.revision));
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

fn status_cells(host: &HostStatus, revision: u64) -> [String; 5] {
    let is_in_force = host.revision.map(|present| present >= revision);
    let in_force = match is_in_force {
        Some(true) => "yes",
        Some(false) => "not yet",
        None => "no answer",
    };
    let or_missing = |text: Option<String>| text.unwrap_or_else(|| MISSING_VALUE.to_owned());
    [
        host.host.to_string(),
        or_missing(host.revision.map(|revision| revision.to_string())),
        in_force.to_owned(),
        or_missing(host.standing.map(|standing| standing.to_string())),
        or_missing(host.state.map(|state| state.to_string())),
    ]
}

/// Formats the reasons why a request was refused.
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
        let _ = writeln!(text, "{}", format_conflict(conflict));
    }
    text
}

fn format_conflict(conflict: &Conflict) -> String {
    format!(
        "row {}, column {}: yours {}, theirs {} (version {})",
        conflict.row,
        conflict.column,
        format_value(conflict.yours.as_ref()),
        format_value(conflict.theirs.as_ref()),
        conflict.present_version
    )
}

/// Formats a time as date and time of day in UTC.
fn format_utc(unix_ms: u64) -> String {
    const DAY_S: u64 = 24 * 60 * 60;
    let seconds = unix_ms / 1_000;
    let (year, month, day) = civil_date(seconds / DAY_S);
    let second_of_day = seconds % DAY_S;
    let (hour, minute, second) = (
        second_of_day / 3_600,
        second_of_day / 60 % 60,
        second_of_day % 60,
    );
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
