#!/usr/bin/env bash
# Installs what is missing, builds, and runs the demonstration on loopback. Arguments go to Tests/system/demo.py.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install-dependencies.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --parallel "${SISKINWHARF_BUILD_JOBS:-$(nproc)}"
exec python3 Tests/system/demo.py "$@"
