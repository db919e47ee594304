//! Regenerates the pages under `docs/` that are built from tables in the code.

use anyhow::{Context, Result};

fn main() -> Result<()> {
    let pages = [
        ("docs/SETTINGS.md", mimosavane::settings::field::page()),
        ("docs/METRICS.md", mimosavane::observe::telemetry::page()),
    ];
    for (path, text) in pages {
        std::fs::write(path, text).with_context(|| format!("writing {path}"))?;
    }
    Ok(())
}
