//! Writes the table of a sweep into docs/CAPACITY.md, and its plot beside it.
//!
//! The argument is the journal entry that the users' bench left for the sweep.

use std::{fs, path::Path};

use anyhow::{Context, Result};
use mimosavane::platform::sweep;

const PAGE: &str = "docs/CAPACITY.md";
const PLOT: &str = "docs/capacity.svg";

fn main() -> Result<()> {
    let entry = std::env::args()
        .nth(1)
        .context("usage: capacity_page JOURNAL-ENTRY")?;
    let sweep = sweep::read(Path::new(&entry))?;
    let page = fs::read_to_string(PAGE).context("reading the page")?;
    let page = sweep.insert_into(&page)?;
    fs::write(PAGE, page).context("writing the page")?;
    sweep.plot(Path::new(PLOT))?;
    Ok(())
}
