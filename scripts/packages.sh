#!/usr/bin/env bash
# Installs the Debian packages that the build and the checks need and that are missing.
set -euo pipefail
packages=(g++ cmake ninja-build ccache mold pkg-config curl clang-format clang-tidy python3 libglib2.0-dev libsoup-3.0-dev
    libzmq3-dev cppzmq-dev libprotobuf-dev libboost1.81-dev libboost-program-options1.81-dev
    libboost-json1.81-dev libyaml-cpp-dev liblog4cplus-dev libgtest-dev libgmock-dev libxxhash-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    echo "installing: ${missing[*]}"
    [ "$(id -u)" = 0 ] && run=() || run=(sudo)
    "${run[@]}" apt-get update -q
    "${run[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
