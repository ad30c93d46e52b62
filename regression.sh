#!/usr/bin/env bash
# Plays the bench's panels one after another: regression.sh "one sentence that says why". Takes all cores.
# Ends non-zero when a panel does not run, or fails its gate or does not say that it passed where it has one.
set -uo pipefail
cd "$(dirname "$0")"
kit=../given/kit
mass=$kit/more/mass/bin/lbreal
fleet=$kit/more/bin/lbreal
module=$kit/bin/lbsim
site=$kit/sites/jegy-budapest.toml
others=("$kit/more/mass/other/nairobi-refills.toml" deploy/sites/turnstile-short.toml deploy/sites/freight-long.toml)
if [ $# -ne 1 ] || [ -z "$1" ]; then
    echo "usage: $0 \"one sentence that says why\"" >&2
    exit 2
fi
for needed in "$mass" "$fleet" "$module" "$site" "${others[@]}"; do
    if [ ! -e "$needed" ]; then
        echo "missing: $needed (the kit stands beside the repository)" >&2
        exit 2
    fi
done
output=$(mktemp)
trap 'rm -f "$output"' EXIT
failed=0
# panel NAME GATE COMMAND...: GATE is "gated" where the bench ends with a verdict, else "free".
panel() {
    local name=$1 gate=$2
    shift 2
    echo "== panel $name"
    if ! "$@" 2>&1 | tee "$output"; then
        echo "panel $name failed to run" >&2
        failed=1
    elif grep -q "GATE failed" "$output" || { [ "$gate" = gated ] && ! grep -q "GATE passed" "$output"; }; then
        echo "panel $name failed its gate" >&2
        failed=1
    fi
}
for seed in 1 2 3; do
    panel "brink, seed $seed" gated "$mass" score "$site" --panel brink --seed "$seed" --why "$1"
done
for other in "${others[@]}"; do
    panel "brink, $(basename "$other" .toml)" gated "$mass" score "$other" --panel brink --seed 1 --why "$1"
    panel "mass, $(basename "$other" .toml), quick" gated "$mass" score "$other" --panel mass --quick --why "$1"
done
panel mass gated "$mass" score "$site" --panel mass --why "$1"
# The fleet's bench plays its own days when no panel is named; it tells no name for them.
panel fleet free "$fleet" score "$site" --why "$1"
panel later free "$fleet" score "$site" --panel later --why "$1"
panel module free "$module" score "$site" --why "$1"
exit "$failed"
