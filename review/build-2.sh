#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 into target/review-2, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cpp; do
    name=$(basename "$source" .cpp)
    [ "$name" = Lab ] && continue
    g++ -std=c++20 -O1 -Wall -Wextra -Ireview/standin-2 review/standin-2/Lab.cpp "$source" \
        -o "target/review-2/$name" -pthread
done
