//! The bounds that figures are compared with.

use serde::{Deserialize, Serialize};

/// The default bounds of the project.
const DEFAULT_BOUNDS: &str = include_str!("../../../benches/bounds.yaml");

/// A list of bounds, in the format of the file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// The bounds of the file.
    pub bounds: Vec<Bound>,
}

/// The upper bound of one figure.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// The name of the figure, with its unit as a suffix.
    pub figure: String,
    /// The largest permitted value.
    pub max: f64,
    /// Where the bound comes from.
    pub source: String,
}

/// An error in loading the bounds or matching them to figures.
#[derive(Debug, thiserror::Error)]
pub enum BoundsError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// The path of the file.
        path: String,
        /// The error of the system.
        source: std::io::Error,
    },
    /// The text is not a list of bounds.
    #[error("{path}: {source}")]
    Parse {
        /// The path of the file.
        path: String,
        /// The error, with its line and field.
        source: serde_norway::Error,
    },
    /// A bound names a figure that is not measured.
    #[error("{path}: unknown figure `{figure}`")]
    UnknownFigure {
        /// The path of the file.
        path: String,
        /// The name of the figure.
        figure: String,
    },
}

impl Bounds {
    /// Reads the bounds from the file at `path`, or returns the default bounds if
    /// `path` is `None`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or is not a list of bounds.
    pub fn load(path: Option<&str>) -> Result<Self, BoundsError> {
        let name = path.unwrap_or("benches/bounds.yaml").to_owned();
        let text = match path {
            None => DEFAULT_BOUNDS.to_owned(),
            Some(path) => std::fs::read_to_string(path).map_err(|source| BoundsError::Read {
                path: name.clone(),
                source,
            })?,
        };
        serde_norway::from_str(&text).map_err(|source| BoundsError::Parse { path: name, source })
    }
}
