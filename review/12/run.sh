#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/refusedcase
if [ ! -x "$program" ] || [ ! -x target/galenarackd ]; then
    echo "build the deploy file's target and review/build-3.sh first" >&2
    exit 2
fi
logs=$(mktemp -d) || exit 2
trap 'rm -rf "$logs"' EXIT
"$program" review/12/record.txt "$logs"
