#!/usr/bin/env bash
# Generates the C++ code of the messages between processes from the Thrift files. With --check, fails when the
# committed code differs from the generated code.
set -euo pipefail
cd "$(dirname "$0")/.."
check=false
[ "${1:-}" = "--check" ] && check=true
scratch=$(mktemp -d)
trap 'rm -r "$scratch"' EXIT
for package in peer exchange; do
    committed="Libraries/$package/src/generated"
    output="$committed"
    if "$check"; then
        output="$scratch/$package"
    fi
    mkdir -p "$output"
    thrift --gen cpp:no_skeleton,no_ostream_operators -out "$output" "Libraries/$package/$package.thrift"
    if "$check"; then
        diff -r "$output" "$committed"
    fi
done
