#!/usr/bin/env bash
# Runs case 15. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and build-3.sh.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/review-standin-3 ] || exit 2
exec target/release/review-standin-3 15
