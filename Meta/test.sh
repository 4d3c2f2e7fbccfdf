#!/usr/bin/env bash
# Runs every check of the project: format, build, linter, tests, sanitizer builds and models.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/check-format.sh
Meta/check-events.py
Meta/generate-peer.sh --check
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
Meta/lint.sh build
# Three at a time: one model search and the system tests keep about four cores busy.
ctest --test-dir build --output-on-failure --no-tests=error --parallel 3
# After the tests, because system tests are sensitive to a machine that is busy with compilers.
Meta/sanitize.sh build
cat KNOWN-RED.txt
