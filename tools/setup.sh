#!/usr/bin/env bash
# Installs the Debian packages that limereel builds and is checked with. Nothing else installs anything.
set -euo pipefail
packages=(
    g++ cmake ninja-build pkg-config ca-certificates git
    libboost1.81-dev libboost-test1.81-dev libnng-dev libcli11-dev liblog4cxx-dev libexpected-dev
    nlohmann-json3-dev libsodium-dev libxxhash-dev
    clang-format clang-tidy-16
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then
    exit 0
fi
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}"
