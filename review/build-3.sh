#!/bin/bash
# The stand-ins of this review are Python programs, of this folder and of Tests/soak: there is nothing to compile. Checks
# that they can be started.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/bin/siskinwharfd
PYTHONPATH=review/common-3 python3 -c "import harness"
