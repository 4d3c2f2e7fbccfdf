#!/usr/bin/env bash
# Runs clang-tidy on every source file of the project, in parallel. Files that passed once with the same content
# of the whole tree's headers and the same configuration are not checked again.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${1:-build}"
shift || true
cache="${SISKINWHARF_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/siskinwharf-lint}"
mkdir -p "$cache"
headers=$(git ls-files --cached --others --exclude-standard -- '*.h' .clang-tidy | sort | xargs sha256sum | sha256sum | cut -c1-64)
export build cache headers
check_one() {
    local file="$1" key
    key=$( (echo "$headers"; sha256sum <"$file"; echo "$file") | sha256sum | cut -c1-64)
    [ -e "$cache/$key" ] && return 0
    # clang 14 takes the "0" in the rewritten comparison of a defaulted operator<=> for a null pointer; g++ does not.
    if clang-tidy-14 --quiet -p "$build" --extra-arg=-Wno-zero-as-null-pointer-constant "$file" 2>/dev/null; then
        touch "$cache/$key"
    else
        echo "lint failed: $file" >&2
        return 1
    fi
}
export -f check_one
if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard -- '*.cpp' ':!:*/generated/*')
fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -I{} bash -c 'check_one "$1"' _ {}
