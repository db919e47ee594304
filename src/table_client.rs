//! What the command line does with the table.
