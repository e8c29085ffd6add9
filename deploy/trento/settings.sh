#!/usr/bin/env bash
# The first settings of the Trento deployment: one pool, the licensing desk, archivists and partner editors.
# Needs LIMEREEL_KEY (an operator's key) and BOX (the control address of any box).
set -euo pipefail
limereel=${LIMEREEL:-limereel}
run() { "$limereel" "$@" --box "$BOX"; }

run pool add captions
run config set pool:captions models caption-13b
# Trento weighs reuse: a higher factor lets a chat stay where its prefix is.
run config set pool:captions load-factor 1.75
# In quiet hours three requests on one engine are nothing; moving a chat away costs its prefix.
run config set pool:captions idle-load 3
run service add licensing
run config set service:licensing demand-key true
run organisation add agency
run config set /agency allow-pools captions
run config set /agency allow-services licensing
run organisation add agency/archive
run config set /agency/archive priority 7
run organisation add agency/partners
run config set /agency/partners max-in-flight 30
