#!/usr/bin/env bash
# Builds the unit tests of all packages with sanitizers and runs them: address with undefined behaviour, and thread.
# Packages with coroutines are checked without undefined behaviour, see Meta/CMake/siskinwharf.cmake.
# Usage: Meta/sanitize.sh [build directory]
set -euo pipefail
cd "$(dirname "$0")/.."
base="${1:-build}"
for sanitizer in address thread; do
    directory="$base/sanitize-$sanitizer"
    cmake -S . -B "$directory" -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_BUILD_TYPE=RelWithDebInfo \
        -DSISKINWHARF_SANITIZER="$sanitizer" >/dev/null
    cmake --build "$directory" --target package_tests
    ctest --test-dir "$directory" --output-on-failure --no-tests=error --label-regex package --parallel 3
done
