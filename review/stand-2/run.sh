# Sourced by the run.sh of each case: runs the built case of this folder, keeps its record there, and ends what is left.
set -u
number=$(basename "$folder")
cd "$folder/../.." || exit 2
program=target/review-2/case-$number
if [[ ! -x $program || ! -x target/release/sagemast ]]; then
    echo "build first: the build of deploy/balancer.toml and review/build-2.sh" >&2
    exit 2
fi
WORK=$(mktemp -d) || exit 2
export WORK RECORD="$folder/record.txt"
child=
end() {
    [[ -n $child ]] && kill -TERM "$child" 2>/dev/null && wait "$child" 2>/dev/null
    # Only processes that this run has started are listed there.
    if [[ -e $WORK/processes ]]; then
        while read -r process; do kill -KILL "$process" 2>/dev/null; done <"$WORK/processes"
    fi
    rm -rf "$WORK"
}
trap end EXIT
trap "exit 2" INT TERM HUP
# The case with the idle clients needs more descriptors than some shells allow.
ulimit -Sn 16384 2>/dev/null || true
timeout --kill-after=3 110 "$program" &
child=$!
wait "$child"
status=$?
child=
case $status in
0 | 1 | 2) exit "$status" ;;
*) exit 2 ;;
esac
