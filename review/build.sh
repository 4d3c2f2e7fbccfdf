#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs that need nothing but the standard library: only checks them.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
