//! The mistakes that a settings file can contain.

use std::sync::Arc;

use crate::settings::field::Shape;

/// One mistake with its position.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{file}:{line}: {field}: {fault}")]
pub struct Mistake {
    /// The name of the file as given.
    pub file: Arc<str>,
    /// The line number, starting at 1.
    pub line: usize,
    /// The dotted path of the field.
    pub field: String,
    /// The fault that was found.
    pub fault: Fault,
}

/// A fault of a field or of the whole file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Fault {
    /// The text is not YAML.
    #[error("not YAML: {reason}")]
    Syntax {
        /// The parser's message.
        reason: String,
    },
    /// A section is not a mapping.
    #[error("must be a mapping of fields")]
    NotMapping,
    /// The section has no field with this name.
    #[error("unknown; the section has {known}")]
    Unknown {
        /// The names of the section's fields.
        known: String,
    },
    /// A field without a default is missing.
    #[error("is missing and has no default; it takes {shape}")]
    Missing {
        /// The values that the field accepts.
        shape: Shape,
    },
    /// The value is not accepted. The message does not quote it, since it may be a
    /// secret.
    #[error("must be {shape}")]
    InvalidValue {
        /// The values that the field accepts.
        shape: Shape,
    },
    /// Two names have the same secret.
    #[error("has the same secret as {other}")]
    SharedSecret {
        /// The other name.
        other: String,
    },
    /// A field is not less than the field that must exceed it.
    #[error("must be below {upper}, which is {upper_value}")]
    NotBelow {
        /// The other field.
        upper: &'static str,
        /// Its value.
        upper_value: i64,
    },
    /// The settings cannot be deserialised for another reason.
    #[error("{reason}")]
    Other {
        /// The deserialiser's message.
        reason: String,
    },
}
