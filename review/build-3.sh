#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. Needs only packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
g++ -std=c++20 -O1 -Wall -Wextra -c review/standins-3/fleet.cpp -o "$out/fleet.o"
for source in review/standins-3/*case.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra "$source" "$out/fleet.o" -o "$out/$(basename "$source" .cpp)" -lpthread
done
