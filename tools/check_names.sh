#!/usr/bin/env bash
# The users' platform's names stand in platform/ (and its tests, docs and deploy files) and nowhere else.
set -euo pipefail
cd "$(dirname "$0")/.."
names='X-Attempt-Id|X-Response-Stamp|X-Not-Executed|X-Expect-Instance|X-Deadline-Ms|X-Prompt-Prefix|X-Token-Count'
names+='|X-Urgency-Class|X-Instance-Load|X-Api-Key|X-Tenant|Kv-Fetch|Last-Event-Id|v1/readiness|v1/report|v1/kv-'
names+='|X-Cold-Ms|cold_left_ms|cold_per_s|cold_start_s|home_regions|evacuat'
names+='|can_resume|max_attempts|api_keys|gap_goal_ms|after_rev'
if git grep -nE "$names" -- src tutorial 'test/correctness/*' 'test/error/*' 'test/fuzz/*' 'test/standin/*' 'test/support/*'; then
    echo "the lines above hold names of the users' platform outside platform/"
    exit 1
fi
