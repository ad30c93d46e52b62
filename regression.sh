#!/usr/bin/env bash
# Plays the bench's panels one after another: regression.sh "one sentence that says why". Takes all cores.
set -uo pipefail
cd "$(dirname "$0")"
kit=../given/kit
bench=$kit/more/bin/lbreal
module=$kit/bin/lbsim
site=$kit/sites/jegy-budapest.toml
if [ $# -ne 1 ] || [ -z "$1" ]; then
    echo "usage: $0 \"one sentence that says why\"" >&2
    exit 2
fi
for needed in "$bench" "$module" "$site"; do
    if [ ! -e "$needed" ]; then
        echo "missing: $needed (the kit stands beside the repository)" >&2
        exit 2
    fi
done
failed=0
panel() {
    local name=$1
    shift
    echo "== panel $name"
    "$@" || { echo "panel $name failed to run" >&2; failed=1; }
}
# The bench plays the fleet's days when no panel is named; it tells no name for them.
panel fleet "$bench" score "$site" --why "$1"
panel later "$bench" score "$site" --panel later --why "$1"
panel module "$module" score "$site" --why "$1"
exit "$failed"
