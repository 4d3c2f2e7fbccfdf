#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need. Does nothing when all are there.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache clang clang-format-14 clang-tidy-14 libclang-rt-14-dev lld-14
    libboost1.81-dev libboost-json1.81-dev libthrift-dev thrift-compiler libtomlplusplus-dev libpopt-dev
    libfmt-dev catch2 libtrompeloeil-cpp-dev liburcu-dev librapidcheck-dev libssl-dev spin python3
)
missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query --show --showformat='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
        missing+=("$package")
    fi
done
if [ "${#missing[@]}" -gt 0 ]; then
    export DEBIAN_FRONTEND=noninteractive
    apt-get update -q
    apt-get install -q -y --no-install-recommends "${missing[@]}"
fi
