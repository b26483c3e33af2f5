#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the
# disruption is left out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
exec ../../target/review-2/release/review-2 heads ../../target/release/cactusgladed .
