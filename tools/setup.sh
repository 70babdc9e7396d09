#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the demo need, if any of them is missing.
set -euo pipefail

packages=(
  g++ cmake ninja-build pkg-config clang-format clang-tidy
  libasio-dev libjsonrpccpp-dev libjsoncpp-dev libmicrohttpd-dev
  libboost-dev libboost-log-dev libboost-thread-dev libboost-filesystem-dev
  libcxxopts-dev libcpputest-dev libmsgpack-cxx-dev libxxhash-dev
  libsodium-dev librapidcheck-dev libcurl4-openssl-dev
  libzstd-dev
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q "install ok installed" || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0

as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
echo "setup: installing ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
"${as_root[@]}" apt-get update -qq || { echo "setup: apt-get update failed" >&2; exit 1; }
for package in "${missing[@]}"; do
  "${as_root[@]}" apt-get install -y "$package" >/dev/null ||
    { echo "setup: apt-get install -y $package failed" >&2; exit 1; }
done
