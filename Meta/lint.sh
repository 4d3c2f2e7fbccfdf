#!/usr/bin/env bash
# Runs clang-tidy on every source file of the project, in parallel. Files that passed once with the same content,
# the same headers of the project and the same configuration are not checked again.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${1:-build}"
shift || true
cache="${SISKINWHARF_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/siskinwharf-lint}"
mkdir -p "$cache"
export build cache
# clang-tidy 14 takes the "0" in the rewritten comparison of a defaulted operator<=> for a null pointer. Removes
# these reports, and no others; each is a line with the place, then the source line and two marker lines.
remove_false_reports() {
    awk '
        /^[^ ].*: (error|warning|note): / { dropped = 0; report = $0; is_null = /\[modernize-use-nullptr/; next_line = 1
            if (!is_null) { print; next_line = 0 }
            next }
        next_line { next_line = 0
            if (/operator<=>\(.*= default;/) { dropped = 1; next }
            print report }
        !dropped { print }'
}
check_one() {
    local key="${1%%$'\t'*}" file="${1#*$'\t'}" output status=0
    [ -e "$cache/$key" ] && return 0
    output=$(clang-tidy-14 --quiet -p "$build" "$file" 2>/dev/null) || status=$?
    # Without any report, a failure is one of clang-tidy itself.
    if [ "$status" -ne 0 ] && [ -n "$output" ]; then
        output=$(remove_false_reports <<<"$output")
        [ -n "$output" ] || status=0
    fi
    if [ "$status" -eq 0 ]; then
        touch "$cache/$key"
    else
        [ -z "$output" ] || echo "$output"
        echo "lint failed: $file" >&2
        return 1
    fi
}
export -f check_one remove_false_reports
if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard -- '*.cpp' ':!:*/generated/*')
fi
printf '%s\n' "${files[@]}" | Meta/lint-keys.py "$build" | xargs -d '\n' -P "$(nproc)" -I{} bash -c 'check_one "$1"' _ {}
