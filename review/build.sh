#!/usr/bin/env bash
# Builds the programs of the cases into target/review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -Ireview/standins "$source" review/standins/*.cpp -o "target/review/case-$number" &
done
status=0
for job in $(jobs -p); do wait "$job" || status=1; done
exit $status
