//! What names the build of a program (see docs/OPERATIONS.md, "Which build runs").

/// The version of the package.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");

/// The digest of the sources, which differs between any two states of them.
pub const SOURCES: &str = env!("MIMOSAVANE_SOURCES");

/// What programs print as their version.
pub const NAME: &str = concat!(
    env!("CARGO_PKG_VERSION"),
    " (sources ",
    env!("MIMOSAVANE_SOURCES"),
    ")"
);
