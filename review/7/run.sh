#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without
# the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
[ -n "$run" ] && [ -x target/review-2/rig ] && [ -x "${run%% *}" ] || { echo "run the build of the deploy file and review/build-2.sh first" >&2; exit 2; }
exec timeout --preserve-status --foreground -s TERM -k 3 118 target/review-2/rig -case unknown -run "$run" -record "$here/record.txt"
