//! The commands of the programs.
//!
//! `cli` holds what they share; `host` and `trial` are the subcommands of `mimosavane`.

pub mod cli;
pub mod host;
pub mod trial;
