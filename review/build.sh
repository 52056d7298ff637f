#!/bin/sh
# Builds the stand-ins that the scripts under review/ start, into review/out/. Needs packages of deploy/system.toml only.
set -e
cd "$(dirname "$0")"
mkdir -p out
for program in restart extra_answer stale_leader pipelined_stop late_state; do
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-psabi -o out/$program standin/$program.cc -lboost_json -pthread
done
