#!/usr/bin/env bash
# Plays the case and writes record.txt beside this script. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review/case-$(basename "$folder")
[[ -x $program && -x target/release/sagemast ]] || { echo "build first: cargo build --release, review/build.sh"; exit 2; }
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
CASE_DIR=$folder CASE_TMP=$temporary timeout -k 5 115 "$program"
status=$?
[[ $status -le 1 ]] && exit "$status"
exit 2
