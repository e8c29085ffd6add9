#!/usr/bin/env bash
# Runs clang-tidy over the project's sources, on what the release preset has configured.
set -euo pipefail
cd "$(dirname "$0")/.."
# clang can't read g++'s precompiled headers, so the linter is given the commands without them.
lint=build/lint
mkdir -p "$lint"
sed -E 's/-Winvalid-pch//; s/-include [^ ]*cmake_pch\.hxx//; s/-Wno-(restrict|stringop-overflow|mismatched-new-delete)//g' \
    build/release/compile_commands.json > "$lint/compile_commands.json"
git ls-files 'src/*.cpp' 'platform/*.cpp' 'test/*.cpp' 'tutorial/*.cpp' \
    | xargs -P "${LIMEREEL_JOBS:-$(nproc)}" -n 1 clang-tidy-16 -p "$lint" --quiet --extra-arg=-Wno-unknown-warning-option
