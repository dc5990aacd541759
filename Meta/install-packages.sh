#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need. Does nothing when all of them are installed.
set -eu
cd "$(dirname "$0")/.."
mapfile -t packages <Meta/packages.txt
if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
    exit 0
fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${packages[@]}"
