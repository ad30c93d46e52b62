#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 with the toolchain alone: each case is one file that includes
# review/stand-2/mod.rs and uses only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for case in review/{6,7,8,9,10}/case.rs; do
    [[ -e $case ]] || continue
    number=$(basename "$(dirname "$case")")
    rustc --edition 2024 -C opt-level=2 "$case" -o "$out/case-$number"
done
