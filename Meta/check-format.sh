#!/usr/bin/env bash
# Fails when a source file is not formatted. With --fix, formats all files instead.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
if [ "${1:-}" = "--fix" ]; then
    mode=(-i)
fi
git ls-files --cached --others --exclude-standard -- '*.h' '*.cpp' ':!:*/generated/*' |
    xargs --no-run-if-empty clang-format-14 "${mode[@]}"
