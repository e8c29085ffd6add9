#!/usr/bin/env bash
# Formats all sources; with --check only says which are not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = "--check" ] && mode=(--dry-run --Werror)
git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | xargs clang-format "${mode[@]}"
