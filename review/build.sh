#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.cpp; do
    name=$(basename "$source" .cpp)
    [ "$name" = Standin ] && continue
    g++ -std=c++20 -O1 -Wall -Wextra -Ireview/standin review/standin/Standin.cpp "$source" \
        -o "target/review/$name" -pthread
done
