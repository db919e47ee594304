//! Export and import of the table as CSV, for spreadsheets.
//!
//! Importing an edited export changes only the cells that differ. The `version`
//! column identifies the version of each row that was edited.

use std::collections::BTreeSet;

use serde_json::Value;

use crate::{
    ids::RowId,
    table::{
        change::RowEdit,
        column::{self, COLUMNS, CellError, CellFault, Cells, Column},
        row::Row,
    },
};

/// The name of the column with the row's name.
const ID_COLUMN: &str = "id";
/// The name of the column with the row's version.
const VERSION_COLUMN: &str = "version";

/// Why a CSV file could not be read.
#[derive(Debug, thiserror::Error)]
pub enum CsvError {
    /// The text is not CSV.
    #[error("not CSV: {0}")]
    Csv(#[from] csv::Error),
    /// The header lacks a required column.
    #[error("the heading has no column {0}")]
    MissingColumn(&'static str),
    /// The header names a column that the table does not have.
    #[error("the heading names {0}, which is no column of the table")]
    UnknownColumn(String),
    /// Some cells are invalid.
    #[error("{} cells are refused", .0.len())]
    Cells(Vec<CellError>),
}

/// Writes the rows as CSV with a header.
///
/// # Errors
///
/// Fails if a row cannot be written.
///
/// # Examples
///
/// ```
/// let text = mimosavane::table::csv::write(&[mimosavane::Row::new("guides")])?;
/// assert!(text.starts_with("id,version,enabled,weight_ratio"));
/// # Ok::<(), mimosavane::table::csv::CsvError>(())
/// ```
pub fn write(rows: &[Row]) -> Result<String, CsvError> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    let names = COLUMNS.iter().map(|column| column.name);
    writer.write_record([ID_COLUMN, VERSION_COLUMN].into_iter().chain(names))?;
    for row in rows {
        let cells = column::cells_of(row);
        let head = [row.id.to_string(), row.version.to_string()];
        let values = COLUMNS
            .iter()
            .map(|column| format_value(cells.get(column.name)));
        writer.write_record(head.into_iter().chain(values))?;
    }
    let bytes = writer.into_inner().unwrap_or_default();
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn format_value(value: Option<&Value>) -> String {
    value.map(Value::to_string).unwrap_or_default()
}

/// Parses edits from `text`. Rows that it does not list stay unchanged; a row
/// without a version is added.
///
/// # Errors
///
/// Fails if the text is not CSV, has unknown columns or has invalid cells, all of
/// which are reported.
pub fn read(text: &str) -> Result<Vec<RowEdit>, CsvError> {
    let mut reader = csv::ReaderBuilder::new()
        .trim(csv::Trim::All)
        .from_reader(text.as_bytes());
    let header = Header::new(reader.headers()?)?;
    let mut edits = Vec::new();
    let mut errors = Vec::new();
    let mut seen = BTreeSet::new();
    for line in reader.records() {
        let edit = header.read_line(&line?, &mut errors);
        if !seen.insert(edit.row.clone()) {
            errors.push(CellError::new(&edit.row, ID_COLUMN, CellFault::RowTwice));
        }
        edits.push(edit);
    }
    if errors.is_empty() {
        Ok(edits)
    } else {
        Err(CsvError::Cells(errors))
    }
}

/// The positions of the columns in a file.
struct Header {
    id: usize,
    version: Option<usize>,
    columns: Vec<(usize, &'static Column)>,
}

impl Header {
    fn new(names: &csv::StringRecord) -> Result<Self, CsvError> {
        let position = |wanted: &str| names.iter().position(|name| name == wanted);
        let id = position(ID_COLUMN).ok_or(CsvError::MissingColumn(ID_COLUMN))?;
        let mut columns = Vec::new();
        for (index, name) in names.iter().enumerate() {
            if matches!(name, ID_COLUMN | VERSION_COLUMN) {
                continue;
            }
            let column = Column::find(name);
            let column = column.ok_or_else(|| CsvError::UnknownColumn(name.to_owned()))?;
            columns.push((index, column));
        }
        Ok(Self {
            id,
            version: position(VERSION_COLUMN),
            columns,
        })
    }

    fn read_line(&self, line: &csv::StringRecord, errors: &mut Vec<CellError>) -> RowEdit {
        let row: RowId = line.get(self.id).unwrap_or_default().into();
        let mut cells = Cells::new();
        for (index, column) in &self.columns {
            let text = line.get(*index).unwrap_or_default();
            if text.is_empty() {
                continue;
            }
            match column.parse(text) {
                Ok(value) => {
                    cells.insert(column.name.to_owned(), value);
                }
                Err(fault) => errors.push(CellError::new(&row, column.name, fault)),
            }
        }
        let version = self.version.and_then(|index| line.get(index));
        let version = version.filter(|text| !text.is_empty()).unwrap_or("0");
        let base_version = version.parse().unwrap_or_else(|_| {
            let found = Value::from(version);
            let (min, max) = (0, u64::MAX);
            let fault = CellFault::NotACount { found, min, max };
            errors.push(CellError::new(&row, VERSION_COLUMN, fault));
            0
        });
        RowEdit::set(row, base_version, cells)
    }
}
