#!/bin/bash
# Plays a script case: run-case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held and
# 2 if the case could not run. With TROUBLE=0 the disruption is left out.
folder=$(cd "$2" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
[ -x "$root/target/review/standin" ] || { echo "run review/build.sh first" >&2; exit 2; }
scratch=$(mktemp -d) || exit 2
end_all() {
    # Only processes that this play started, which hold its settings file.
    for pid in $(cat "$scratch/pids" 2>/dev/null); do
        if grep -qsF "$scratch/" "/proc/$pid/cmdline"; then
            kill -KILL "$pid" 2>/dev/null
        fi
    done
    rm -rf "$scratch"
}
trap end_all EXIT
timeout -k 5 100 "$root/target/review/standin" "$1" "$folder" "$scratch" "$root"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
