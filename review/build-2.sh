#!/bin/sh
# Builds the stand-ins of the cases of the second review, without a network.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked \
    --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
