#!/usr/bin/env bash
# Checks each model: the base model must pass, and each mutant that the model's first comment lists as
# " * mutant NAME: what it lacks" must be rejected, since a model that accepts it checks nothing.
# Usage: Models/run.sh [model.pml...]
set -euo pipefail
cd "$(dirname "$0")"
directory=$(mktemp -d)
trap 'rm -rf "$directory"' EXIT
# The base model of lease.pml needs 3 GB. A search that reaches either limit is incomplete and counts as failed.
max_depth=2000000
max_memory_megabytes=4500

# verify <model> [mutant]: prints the summary of pan; returns 0 if it found no error, 1 if it found one.
verify() {
    local model="$1" mutant="${2:-}" work
    work="$directory/$(basename "$model" .pml)-${mutant:-base}"
    mkdir "$work"
    cp "$model" "$work/model.pml"
    (
        cd "$work" &&
            spin ${mutant:+-D"$mutant"} -a model.pml >spin.log 2>&1 &&
            cc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM="$max_memory_megabytes" -o pan pan.c >cc.log 2>&1 &&
            ./pan -m"$max_depth" >pan.log 2>&1
    ) || { echo "$model ${mutant:-base}: did not run"; cat "$work"/*.log; return 2; }
    if grep -qE 'search depth too small|out of memory|MEMLIM' "$work/pan.log"; then
        echo "$model ${mutant:-base}: search is incomplete"
        return 2
    fi
    local states errors
    states=$(sed -nE 's/^ *([0-9]+) states, stored.*/\1/p' "$work/pan.log")
    errors=$(sed -nE 's/.*errors: ([0-9]+).*/\1/p' "$work/pan.log")
    printf '%s %s: %s states, %s errors %s\n' "$model" "${mutant:-base}" "$states" "$errors" \
        "$(sed -nE 's/^pan:[0-9]+: (.*) \(at depth.*/(\1)/p' "$work/pan.log")"
    [ "${errors:?pan printed no result}" = 0 ]
}

# list_mutants <model>: prints one name a line, from "/* mutants: NAME NAME */" in the first line or from the lines
# " * mutant NAME: ..." of the first comment.
list_mutants() {
    sed -nE '1s%^/\* mutants: (.*) \*/$%\1%p' "$1" | tr ' ' '\n'
    sed -nE '/\*\//q; s/^ \* mutant ([A-Z0-9_]+):.*/\1/p' "$1"
}

failures=0
models=("$@")
[ "${#models[@]}" -gt 0 ] || models=(*.pml)
for model in "${models[@]}"; do
    rc=0
    verify "$model" || rc=$?
    if [ "$rc" -ne 0 ]; then
        echo "FAILED: $model must pass"
        failures=$((failures + 1))
    fi
    mapfile -t mutants < <(list_mutants "$model")
    if [ "${#mutants[@]}" -eq 0 ]; then
        echo "FAILED: $model lists no mutants"
        failures=$((failures + 1))
    fi
    for mutant in "${mutants[@]}"; do
        # A misspelt name would yield the base model, which is reported as accepted.
        rc=0
        verify "$model" "$mutant" || rc=$?
        if [ "$rc" -ne 1 ]; then
            echo "FAILED: $model must be rejected with $mutant"
            failures=$((failures + 1))
        fi
    done
done
[ "$failures" -eq 0 ]
