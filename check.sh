#!/bin/sh
# The whole check of a change: format, lints, tests, release build.
set -eu
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
cargo build --release --locked
sh .ci/tests.sh
