//! Edits of the table as one transaction each.
