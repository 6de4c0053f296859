#!/usr/bin/env bash
# Makes the message code from the schema. Needs Debian's capnproto and the crate capnpc's plugin.
set -euo pipefail
cd "$(dirname "$0")/.."
out=${1:-crates/bronzespool-wire/src/generated}
capnp compile -orust:"$out" --src-prefix=crates/bronzespool-wire/schema crates/bronzespool-wire/schema/*.capnp
rustfmt --edition 2024 --config-path . "$out"/*_capnp.rs
