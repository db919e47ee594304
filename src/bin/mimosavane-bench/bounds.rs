//! The bounds that figures are held against.

use serde::{Deserialize, Serialize};

/// The bounds that the project states.
const STATED: &str = include_str!("../../../benches/bounds.yaml");

/// A list of bounds, as a file holds it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// The bounds, in the order in which they are printed.
    pub bounds: Vec<Bound>,
}

/// One bound.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// The figure, with its unit as a suffix.
    pub figure: String,
    /// The largest value that holds.
    pub max: f64,
    /// Where the bound comes from.
    pub source: String,
}

/// Why there are no bounds to hold figures against.
#[derive(Debug, thiserror::Error)]
pub enum BoundsError {
    /// The file could not be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The text is not a list of bounds.
    #[error("{path}: {source}")]
    Parse {
        /// The file.
        path: String,
        /// What is wrong, with line and field.
        source: serde_norway::Error,
    },
    /// A bound names a figure that is not measured.
    #[error("{path}: no figure `{figure}` is measured")]
    UnknownFigure {
        /// The file.
        path: String,
        /// The figure.
        figure: String,
    },
}

impl Bounds {
    /// Reads the file at `path`, or the stated bounds where there is none.
    ///
    /// # Errors
    ///
    /// Fails on a file that cannot be read or is not a list of bounds.
    pub fn load(path: Option<&str>) -> Result<Self, BoundsError> {
        let name = path.unwrap_or("benches/bounds.yaml").to_owned();
        let text = match path {
            None => STATED.to_owned(),
            Some(path) => std::fs::read_to_string(path).map_err(|source| BoundsError::Read {
                path: name.clone(),
                source,
            })?,
        };
        serde_norway::from_str(&text).map_err(|source| BoundsError::Parse { path: name, source })
    }
}
