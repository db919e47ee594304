//! The columns of the table.
