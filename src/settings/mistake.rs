//! What can be wrong with a settings file.

use std::sync::Arc;

use crate::settings::field::Shape;

/// One mistake, and where it is.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{file}:{line}: {field}: {fault}")]
pub struct Mistake {
    /// The file as it was named.
    pub file: Arc<str>,
    /// The line, from 1.
    pub line: usize,
    /// The path of the field, with dots.
    pub field: String,
    /// What is wrong.
    pub fault: Fault,
}

/// What can be wrong with a field.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Fault {
    /// The text is not YAML.
    #[error("not YAML: {reason}")]
    Syntax {
        /// What the parser said.
        reason: String,
    },
    /// A section is not a mapping.
    #[error("must be a mapping of fields")]
    NotMapping,
    /// The section has no such field.
    #[error("unknown; the section has {known}")]
    Unknown {
        /// The fields that it has.
        known: String,
    },
    /// A field that has no default is not there.
    #[error("is missing and has no default; it takes {shape}")]
    Missing {
        /// What it takes.
        shape: Shape,
    },
    /// A value does not fit; it is not repeated, since it may be a secret.
    #[error("must be {shape}")]
    Misfit {
        /// What it takes.
        shape: Shape,
    },
    /// A secret stands for two names.
    #[error("has the same secret as {other}")]
    SharedSecret {
        /// The other name.
        other: String,
    },
    /// A field is not below another one.
    #[error("must be below {upper}, which is {upper_value}")]
    NotBelow {
        /// The other field.
        upper: &'static str,
        /// Its value.
        upper_value: i64,
    },
    /// The text cannot be read into settings for another reason.
    #[error("{reason}")]
    Other {
        /// What the reader said.
        reason: String,
    },
}
