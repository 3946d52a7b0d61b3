#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the demo need.
set -euo pipefail
packages=(
  cmake g++ make ninja-build pkg-config ccache clang-format clang-tidy curl
  libpistache-dev prometheus-cpp-dev libcurl4-openssl-dev
  libssl-dev libabsl-dev libgoogle-glog-dev libcppunit-dev libtomlplusplus-dev
  libboost-dev nlohmann-json3-dev libxxhash-dev libprotozero-dev libasan8 libtsan2
)
missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
echo "installing: ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
