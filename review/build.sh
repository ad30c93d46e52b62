#!/usr/bin/env bash
# Compiles the stand-ins of all cases with the standard library alone, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/case.rs; do
    number=$(basename "$(dirname "$source")")
    rustc --edition 2024 -C opt-level=2 -o "target/review/case-$number" "$source"
done
