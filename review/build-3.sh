#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. Needs the toolchain only: they use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/lib3/Cargo.toml --target-dir target/review-3
