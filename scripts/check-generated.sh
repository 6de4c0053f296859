#!/usr/bin/env bash
# Compares the committed message code with what the schema makes, where the generators are present.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v capnp >/dev/null || ! command -v capnpc-rust >/dev/null; then
  echo "check-generated: capnp or capnpc-rust is not installed, check not run"
  exit 0
fi
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
./scripts/generate.sh "$out"
diff -rq --exclude mod.rs "$out" crates/bronzespool-wire/src/generated
echo "check-generated: committed code matches the schema"
