#!/usr/bin/env bash
# Runs the case on the programs of the deploy file's build: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
program=build/review-2/case-$(basename "$folder")
if [ ! -x "$program" ] || [ ! -x target/galenarackd ]; then
    echo "build the programs first: the deploy file's build and review/build-2.sh" >&2
    exit 2
fi
timeout --kill-after=5 110 "$program" "$folder"
code=$?
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
