//! The commands of the programs.
//!
//! `cli` defines the command line; `host` and `trial` implement subcommands of
//! `mimosavane`.

pub mod cli;
pub mod host;
pub mod trial;
