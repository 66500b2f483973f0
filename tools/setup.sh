#!/usr/bin/env bash
# Installs the Debian packages listed in tools/packages.txt that are missing.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r package; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done < tools/packages.txt
if ((${#missing[@]})); then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
