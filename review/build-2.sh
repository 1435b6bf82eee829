#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in restart endless refused outage shadowed; do
    rustc --edition 2021 -O -A dead_code -o "target/review-2/$name" "review/standins-2/$name.rs"
done
