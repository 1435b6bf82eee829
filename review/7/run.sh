#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; the rule then has to hold.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
trouble=yes
[ "${TROUBLE:-1}" = 0 ] && trouble=no
dir=$(mktemp -d) || exit 2
# The case and the nodes that it starts are one process group, of which nothing stays.
set -m
timeout 110 target/review-2/endless "$here/record.txt" "$dir" "$trouble" &
pid=$!
trap 'kill -KILL -- "-$pid" 2>/dev/null; rm -rf "$dir"' EXIT
wait "$pid"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
