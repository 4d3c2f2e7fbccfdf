#!/usr/bin/env bash
# Generates the C++ code of the peer messages from Libraries/peer/peer.thrift. With --check, fails when the
# committed code differs from the generated code.
set -euo pipefail
cd "$(dirname "$0")/.."
output=Libraries/peer/src/generated
check=false
if [ "${1:-}" = "--check" ]; then
    check=true
    output=$(mktemp -d)
    trap 'rm -r "$output"' EXIT
fi
mkdir -p "$output"
thrift --gen cpp:no_skeleton,no_ostream_operators -out "$output" Libraries/peer/peer.thrift
if "$check"; then
    diff -r "$output" Libraries/peer/src/generated
fi
