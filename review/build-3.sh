#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/release
rustc --edition 2024 -O -o target/release/review-standin-3 review/standin-3/main.rs
