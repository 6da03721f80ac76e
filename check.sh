#!/bin/sh
# The whole check of a change: format, lints, documentation, release build, tests.
set -eu
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --exclude tideroute-command --no-deps --locked
cargo build --release --locked
sh .ci/tests.sh
