#!/usr/bin/env bash
# Plays, before a landing, the deployments that regressions are looked for on: a hunt and a score each.
#
#   tools/landing_runs.sh BENCH FOLDER WHY [JOBS]
#
# BENCH is the users' program, FOLDER holds their site files; both stay outside the repository. Run it in a clone that
# nobody edits meanwhile, and bring its journal entries back once it has ended.
set -euo pipefail
bench=$1
folder=$2
why=$3
jobs=${4:-4}
# The newest and largest first. The two oldest, of seven and six boxes, gave way to it.
large=(shifted/kacc-limereel-now-grown large/kacc-limereel-large grown/kacc-limereel-grown grown/afa-limereel-grown further-grown/sohar-keel-grown)
small=(further/sohar-keel)
play() {
    local days=$1 site=$2
    "$bench" hunt "$folder/$site.toml" --days "$days" --jobs "$jobs" --why "$why" | tail -n 4
    "$bench" score "$folder/$site.toml" --jobs "$jobs" --why "$why" | grep -E '^(day|quiet|trouble|scale|fresh|GATE)'
}
for site in "${large[@]}"; do
    play 8 "$site"
done
for site in "${small[@]}"; do
    play 40 "$site"
done
