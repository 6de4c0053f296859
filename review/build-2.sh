#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. Needs the Rust toolchain only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2024 -o target/review-2/standin review/standin-2/main.rs
