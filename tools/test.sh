#!/usr/bin/env bash
# Installs what is needed, builds, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh
cmake --preset release
cmake --build --preset release
ctest --preset release -j 4 || tools/known_red.sh build/release/Testing/Temporary
