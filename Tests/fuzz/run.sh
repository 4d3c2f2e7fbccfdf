#!/usr/bin/env bash
# Builds the fuzz targets with clang and runs each with a fixed seed and number of runs on a copy of its corpus.
# Usage: Tests/fuzz/run.sh <build directory> [runs]
set -euo pipefail
source_directory=$(cd "$(dirname "$0")/../.." && pwd)
build="${1:-$source_directory/build-fuzz}"
runs="${2:-20000}"
seed=7219
max_input_bytes=8192
sanitizers="-fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=all"
cmake -S "$source_directory" -B "$build" -G Ninja -DSISKINWHARF_FUZZ=ON -DCMAKE_CXX_COMPILER=clang++ \
    -DCMAKE_CXX_FLAGS="$sanitizers" >/dev/null
cmake --build "$build" -j4 --target fuzz_targets >"$build/build.log" || { cat "$build/build.log"; exit 1; }
corpus=$(mktemp -d)
trap 'rm -rf "$corpus"' EXIT
cd "$build"
for target in "$build"/bin/fuzz_*; do
    name=$(basename "$target")
    name="${name#fuzz_}"
    cp -r "$source_directory/Tests/fuzz/corpus/$name" "$corpus/$name"
    # Failing inputs are written to the build directory.
    echo "fuzz_$name: $runs runs with seed $seed"
    "$target" -seed="$seed" -runs="$runs" -max_len="$max_input_bytes" -timeout=10 -print_final_stats=1 \
        "$corpus/$name" 2>"$build/fuzz_$name.log" || { tail -40 "$build/fuzz_$name.log"; exit 1; }
    grep -E 'cov:|stat::number_of_executed_units' "$build/fuzz_$name.log" | tail -2
done
