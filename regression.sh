#!/usr/bin/env bash
# Runs all benchmark panels in sequence; each uses all cores. The argument is recorded as the reason for the run.
# Exits non-zero if a panel fails to run, fails its gate, or has a gate and does not report that it passed.
set -uo pipefail
cd "$(dirname "$0")"
kit=../given/kit
mass_bench=$kit/more/mass/bin/lbreal
fleet_bench=$kit/more/bin/lbreal
module_bench=$kit/bin/lbsim
site=$kit/sites/jegy-budapest.toml
other_sites=("$kit/more/mass/other/nairobi-refills.toml" deploy/sites/turnstile-short.toml deploy/sites/freight-long.toml)
if [ $# -ne 1 ] || [ -z "$1" ]; then
    echo "usage: $0 \"reason for the run, in one sentence\"" >&2
    exit 2
fi
for required in "$mass_bench" "$fleet_bench" "$module_bench" "$site" "${other_sites[@]}"; do
    if [ ! -e "$required" ]; then
        echo "missing: $required (the benchmark kit is expected in $kit)" >&2
        exit 2
    fi
done
output=$(mktemp)
trap 'rm -f "$output"' EXIT
failed=0
# run_panel NAME GATE COMMAND...: GATE is "gated" if the benchmark reports whether its gate passed, else "free".
run_panel() {
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
    run_panel "brink, seed $seed" gated "$mass_bench" score "$site" --panel brink --seed "$seed" --why "$1"
done
for other_site in "${other_sites[@]}"; do
    run_panel "brink, $(basename "$other_site" .toml)" gated "$mass_bench" score "$other_site" --panel brink --seed 1 --why "$1"
    run_panel "mass, $(basename "$other_site" .toml), quick" gated "$mass_bench" score "$other_site" --panel mass --quick --why "$1"
done
run_panel mass gated "$mass_bench" score "$site" --panel mass --why "$1"
# Without --panel, the fleet benchmark runs its default panel, which has no name.
run_panel fleet free "$fleet_bench" score "$site" --why "$1"
run_panel later free "$fleet_bench" score "$site" --panel later --why "$1"
run_panel module free "$module_bench" score "$site" --why "$1"
exit "$failed"
