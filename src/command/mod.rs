//! The commands of the programs.
//!
//! `cli` defines the command line; `host` and `trial` implement subcommands of
//! `mimosavane`, and `configuration` one of `mimosavane-entry`.

pub mod cli;
pub mod configuration;
pub mod host;
pub mod trial;
