#!/bin/sh
# Builds the stand-ins that the scripts start. Needs the Rust toolchain only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc -O --edition 2024 -o target/review/standin review/standin/main.rs
