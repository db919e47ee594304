//! The columns of the table with their types, units and ranges.
//!
//! The command line, the CSV files and the HTML page are all based on
//! [`COLUMNS`], which keeps them consistent (see docs/TABLE.md).

use serde::{Deserialize, Serialize};
use serde_json::{Map, Number, Value};

use crate::{ids::RowId, table::row::Row};

/// The values of a row by column name.
pub type Cells = Map<String, Value>;

/// The maximum length of a row's name.
pub const MAX_ROW_ID_CHARS: usize = 64;

/// The type of a column's values.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Kind {
    /// A floating-point number.
    Ratio {
        /// The lowest value.
        min: f64,
        /// The highest value.
        max: f64,
    },
    /// A whole number.
    Count {
        /// The lowest value.
        min: u64,
        /// The highest value.
        max: u64,
    },
    /// `true` or `false`.
    Flag,
}

/// One column.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Column {
    /// The name in JSON, in CSV and on the command line.
    pub name: &'static str,
    /// The heading on the HTML page.
    pub heading: &'static str,
    /// The unit of the values; empty if there is none.
    pub unit: &'static str,
    /// A description of what the value controls.
    pub doc: &'static str,
    /// The type and range of the values.
    #[serde(flatten)]
    pub kind: Kind,
}

/// All columns that operators can edit, in the order of the page.
pub static COLUMNS: [Column; 9] = [
    Column {
        name: "enabled",
        heading: "Enabled",
        unit: "",
        doc: "Whether the row is served at all.",
        kind: Kind::Flag,
    },
    Column {
        name: "weight_ratio",
        heading: "Weight",
        unit: "",
        doc: "Its claim on engines, relative to the other rows with demand.",
        kind: Kind::Ratio {
            min: 0.001,
            max: 1_000.0,
        },
    },
    Column {
        name: "engine_share_ratio",
        heading: "Engine share",
        unit: "part of 1",
        doc: "The part of the engines that it is given before lending; 0 leaves it to the weight. \
              Enabled rows together hold at most 1.",
        kind: Kind::Ratio { min: 0.0, max: 1.0 },
    },
    Column {
        name: "max_running_samples",
        heading: "Max running",
        unit: "samples",
        doc: "The most samples that run for it at once; 0 is no limit.",
        kind: Kind::Count {
            min: 0,
            max: 1_000_000,
        },
    },
    Column {
        name: "max_rate_tokens_per_s",
        heading: "Max token rate",
        unit: "tokens/s",
        doc: "The most tokens a second that it is served; 0 is no limit.",
        kind: Kind::Count {
            min: 0,
            max: 1_000_000_000,
        },
    },
    Column {
        name: "max_rate_calls_per_s",
        heading: "Max call rate",
        unit: "calls/s",
        doc: "The most calls a second to plain services; 0 is no limit.",
        kind: Kind::Count {
            min: 0,
            max: 1_000_000,
        },
    },
    Column {
        name: "staleness_bound_versions",
        heading: "Staleness bound",
        unit: "versions",
        doc: "The oldest weights that a sample may show, in versions before the trainer's own.",
        kind: Kind::Count { min: 0, max: 1_000 },
    },
    Column {
        name: "mixed_versions",
        heading: "Mixed versions",
        unit: "",
        doc: "Whether one sample may hold tokens of several weight versions.",
        kind: Kind::Flag,
    },
    Column {
        name: "idle_preference_ratio",
        heading: "Idle preference",
        unit: "0 to 1",
        doc: "0 weighs only staleness, 1 weighs only the trainer's idle time.",
        kind: Kind::Ratio { min: 0.0, max: 1.0 },
    },
];

/// Why a cell is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CellFault {
    /// The column does not exist.
    #[error("there is no such column")]
    UnknownColumn,
    /// The column needs a number.
    #[error("needs a number, not {found}")]
    NotANumber {
        /// The given value.
        found: Value,
    },
    /// The column needs a whole number.
    #[error("needs a whole number from {min} to {max}, not {found}")]
    NotACount {
        /// The given value.
        found: Value,
        /// The lowest value.
        min: u64,
        /// The highest value.
        max: u64,
    },
    /// The column needs `true` or `false`.
    #[error("needs true or false, not {found}")]
    NotAFlag {
        /// The given value.
        found: Value,
    },
    /// The number is outside the column's range.
    #[error("must be from {min} to {max}, not {found}")]
    OutOfRange {
        /// The given value.
        found: f64,
        /// The lowest value.
        min: f64,
        /// The highest value.
        max: f64,
    },
    /// The engine shares of all enabled rows add up to more than 1.
    #[error("the engine shares of all enabled rows add up to {sum_ratio:.3}, above 1")]
    SharesExceedOne {
        /// The sum including this change.
        sum_ratio: f64,
    },
    /// The name of the row is invalid.
    #[error(
        "a row's name has 1 to {MAX_ROW_ID_CHARS} of the characters a-z, 0-9, '-', '_' and '.'"
    )]
    BadRowId,
    /// The change contains the row twice.
    #[error("the row stands twice in this change")]
    RowTwice,
    /// The row does not exist.
    #[error("there is no such row")]
    UnknownRow,
    /// The cells do not form a row.
    #[error("the line cannot be read")]
    BadLine,
}

/// An invalid cell.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("row {row}, column {column}: {fault}")]
pub struct CellError {
    /// The row.
    pub row: RowId,
    /// The column, as given in the request.
    pub column: String,
    /// Why the cell is invalid.
    pub fault: CellFault,
}

impl CellError {
    /// Creates an error for the cell of `row` in `column`.
    pub fn new(row: &RowId, column: impl Into<String>, fault: CellFault) -> Self {
        Self {
            row: row.clone(),
            column: column.into(),
            fault,
        }
    }
}

/// An invalid cell in the response to a client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellErrorBody {
    /// The row.
    pub row: RowId,
    /// The column.
    pub column: String,
    /// Why the cell is invalid.
    pub reason: String,
}

impl From<&CellError> for CellErrorBody {
    fn from(error: &CellError) -> Self {
        Self {
            row: error.row.clone(),
            column: error.column.clone(),
            reason: error.fault.to_string(),
        }
    }
}

impl Column {
    /// Returns the column named `name`.
    pub fn find(name: &str) -> Option<&'static Self> {
        COLUMNS.iter().find(|column| column.name == name)
    }

    /// Parses a value from text, as typed by an operator.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a valid value for this column.
    ///
    /// # Examples
    ///
    /// ```
    /// use mimosavane::table::column::Column;
    ///
    /// let weight = Column::find("weight_ratio").expect("a known column");
    /// assert_eq!(weight.parse("2.5")?, 2.5);
    /// assert!(weight.parse("heavy").is_err());
    /// # Ok::<(), mimosavane::table::column::CellFault>(())
    /// ```
    pub fn parse(&self, text: &str) -> Result<Value, CellFault> {
        let text = text.trim();
        let value = match self.kind {
            Kind::Flag => parse_flag(text),
            Kind::Count { .. } => text.parse::<u64>().map(Value::from).ok(),
            Kind::Ratio { .. } => {
                let number = text.parse::<f64>().ok().and_then(Number::from_f64);
                number.map(Value::Number)
            }
        };
        self.check(value.unwrap_or_else(|| Value::from(text)))
    }

    /// Validates a value and returns it in the column's own type.
    ///
    /// # Errors
    ///
    /// Fails if the value has the wrong type or is out of range.
    pub fn check(&self, value: Value) -> Result<Value, CellFault> {
        match self.kind {
            Kind::Flag => check_flag(value),
            Kind::Count { min, max } => check_count(value, min, max),
            Kind::Ratio { min, max } => check_ratio(value, min, max),
        }
    }
}

/// Parses the spellings of a flag that people and spreadsheets use.
fn parse_flag(text: &str) -> Option<Value> {
    match text.to_ascii_lowercase().as_str() {
        "true" | "yes" => Some(Value::Bool(true)),
        "false" | "no" => Some(Value::Bool(false)),
        _ => None,
    }
}

fn check_flag(found: Value) -> Result<Value, CellFault> {
    if found.is_boolean() {
        Ok(found)
    } else {
        Err(CellFault::NotAFlag { found })
    }
}

fn check_count(found: Value, min: u64, max: u64) -> Result<Value, CellFault> {
    match found.as_u64() {
        Some(count) if (min..=max).contains(&count) => Ok(found),
        _ => Err(CellFault::NotACount { found, min, max }),
    }
}

fn check_ratio(found: Value, min: f64, max: f64) -> Result<Value, CellFault> {
    let Some(ratio) = found.as_f64() else {
        return Err(CellFault::NotANumber { found });
    };
    if !(min..=max).contains(&ratio) {
        return Err(CellFault::OutOfRange {
            found: ratio,
            min,
            max,
        });
    }
    Ok(Number::from_f64(ratio).map_or(found, Value::Number))
}

/// Returns the cells of `row`, by column name.
pub fn cells_of(row: &Row) -> Cells {
    let Ok(Value::Object(mut cells)) = serde_json::to_value(row) else {
        return Cells::new();
    };
    cells.retain(|name, _| Column::find(name).is_some());
    cells
}

/// Returns a copy of `row` with the values in `cells`.
///
/// # Errors
///
/// Returns all invalid cells.
pub fn with_cells(row: &Row, cells: &Cells) -> Result<Row, Vec<CellError>> {
    let mut errors = check_cells(&row.id, cells);
    let mut object = cells_of(row);
    object.insert("id".to_owned(), Value::from(&*row.id));
    object.insert("version".to_owned(), Value::from(row.version));
    for (name, value) in cells {
        let checked = Column::find(name).and_then(|column| column.check(value.clone()).ok());
        object.extend(checked.map(|value| (name.clone(), value)));
    }
    if !errors.is_empty() {
        return Err(errors);
    }
    serde_json::from_value(Value::Object(object)).map_err(|_| {
        errors.push(CellError::new(&row.id, "", CellFault::BadLine));
        errors
    })
}

/// Returns the errors in the cells of a row, each checked on its own.
pub fn check_cells(row: &RowId, cells: &Cells) -> Vec<CellError> {
    let faults = cells.iter().filter_map(|(name, value)| {
        let fault = match Column::find(name) {
            None => CellFault::UnknownColumn,
            Some(column) => column.check(value.clone()).err()?,
        };
        Some(CellError::new(row, name, fault))
    });
    faults.collect()
}

/// Checks the name of a row.
///
/// # Errors
///
/// Fails if the name is empty, too long or contains characters that are not
/// allowed.
pub fn check_row_id(row: &RowId) -> Result<(), CellError> {
    let is_allowed =
        |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '_' | '.');
    let length = row.chars().count();
    if (1..=MAX_ROW_ID_CHARS).contains(&length) && row.chars().all(is_allowed) {
        return Ok(());
    }
    Err(CellError::new(row, "id", CellFault::BadRowId))
}
