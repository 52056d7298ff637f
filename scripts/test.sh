#!/usr/bin/env bash
# Builds everything and runs all tests. Arguments are passed to ctest.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/packages.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
skip=()
# Tests listed in KNOWN-RED.txt ("<test name> | ...", one per line) are printed and skipped.
if [ -f KNOWN-RED.txt ]; then
    cat KNOWN-RED.txt
    names=$(cut -d'|' -f1 KNOWN-RED.txt | sed 's/[[:space:]]*$//; /^$/d; /^#/d; s/[.]/\\./g' | paste -sd'|')
    [ -n "$names" ] && skip=(-E "^($names)\$")
fi
ctest --test-dir build --output-on-failure -j 4 "${skip[@]}" "$@"
