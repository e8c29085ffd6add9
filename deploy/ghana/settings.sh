#!/usr/bin/env bash
# The first settings of the Ghana deployment: one pool, one service, three haulers and an assembly.
# Needs LIMEREEL_KEY (an operator's key) and BOX (the control address of any box).
set -euo pipefail
limereel=${LIMEREEL:-limereel}
run() { "$limereel" "$@" --box "$BOX"; }

run pool add dispatch
run config set pool:dispatch models dispatch-7b
# Accra weighs skew: a low factor keeps every engine near the mean.
run config set pool:dispatch load-factor 1.25
run service add calendar
# Reminders may not be sent twice.
run config set service:calendar demand-key true
run organisation add accra
run config set /accra allow-pools dispatch
run config set /accra allow-services calendar
run config set /accra max-in-flight 200
for hauler in hauler-a hauler-b hauler-c; do
    run organisation add "accra/$hauler"
    run config set "/accra/$hauler" max-in-flight 60
done
# Officers' schedules come before residents' questions.
run organisation add accra/assembly
run config set /accra/assembly priority 8
