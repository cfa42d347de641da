#!/bin/sh
# Runs the case: status 1 if the rule was broken, 0 if it held, 2 if the case can't run.
# TROUBLE=0 leaves the disruption out. What was sent, answered and run goes to record.txt.
export TROUBLE="${TROUBLE:-1}"
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
[ -x target/review/world ] && [ -n "$run" ] || exit 2
dir=$(mktemp -d) || exit 2
target/review/world small-task "$here/record.txt" "$dir" "$run" &
world=$!
trap 'kill -9 $world 2>/dev/null' INT TERM
wait $world
status=$?
rm -rf "$dir"
case $status in 0 | 1) exit $status ;; esac
exit 2
