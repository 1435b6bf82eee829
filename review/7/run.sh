#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
timeout 100 target/review-2/endless "$here/record.txt" "$dir"
code=$?
cp "$dir/node.log" "${KEEP_LOG:-/dev/null}" 2>/dev/null
[ "$code" -le 2 ] || code=2
exit "$code"
