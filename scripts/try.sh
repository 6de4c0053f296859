#!/usr/bin/env bash
# Builds, starts a deployment as separate processes, sends requests of every kind and stops it:
# scripts/try.sh registry|cooperative [--stay]
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --workspace --bins --locked
exec target/debug/try-deployment "$@"
