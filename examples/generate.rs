//! Regenerates `src/generated/` from `proto/` without an external `protoc`.
//!
//! Run `cargo run --example generate` after a change to `proto/`.

use anyhow::{Context, Result};

fn main() -> Result<()> {
    let out_dir = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "src/generated".to_owned());
    let descriptors =
        protox::compile(["proto/peer.proto"], ["proto"]).context("compiling proto/peer.proto")?;
    tonic_prost_build::configure()
        .out_dir(&out_dir)
        .compile_fds(descriptors)
        .with_context(|| format!("writing {out_dir}"))
}
