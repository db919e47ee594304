#!/usr/bin/env bash
# Builds the stand-ins of the review, offline, with the versions that the repository locks.
set -euo pipefail
cd "$(dirname "$0")/.."
cp Cargo.lock review/standin/Cargo.lock
cargo build --release --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
