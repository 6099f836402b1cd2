#!/usr/bin/env bash
# Builds the programs of the cases 6 and above with their stand-ins into build/review-2/. Needs only the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -g1 -Wall -Wextra -Werror -pthread)
objects=()
for source in review/standins-2/*.cpp; do
    object=$out/$(basename "$source" .cpp).o
    g++ "${flags[@]}" -c "$source" -o "$object"
    objects+=("$object")
done
for source in review/{6,7,8,9,10}/case.cpp; do
    if [ -f "$source" ]; then
        g++ "${flags[@]}" "$source" "${objects[@]}" -o "$out/case-$(basename "$(dirname "$source")")"
    fi
done
