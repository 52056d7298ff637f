#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. Run the build of deploy/system.toml first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cc; do
    name=$(basename "$source" .cc)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$name" "$source" -lboost_json
done
