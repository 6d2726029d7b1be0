#!/bin/sh
# Plays the case `cancel` of review/probe_cases.rs against the daemon's own processes. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
# Needs target/release/ebonywalkd and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/ebonywalkd ] && [ -x target/review-3/probe ] || exit 2
exec target/review-3/probe cancel review/15/record.txt
