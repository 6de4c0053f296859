#!/bin/sh
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] || { echo "run review/build.sh first"; exit 2; }
[ -x target/release/bronzespool-platform ] || { echo "build the deploy file first"; exit 2; }
exec target/review/standin pending review/5
