#!/usr/bin/env bash
# Installs what is needed, builds, and runs the main job: three halls with two routers each.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh
cmake --preset release > /dev/null
cmake --build --preset release --target limereel-demo limereel-standin limereel_bin
exec build/release/test/limereel-demo build/demo
