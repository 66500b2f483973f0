#!/usr/bin/env bash
# Installs what is missing, builds, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh
tools/build.sh "${BANYANRILL_BUILD:-build}" "$@"
if [ -f KNOWN-RED.txt ]; then cat KNOWN-RED.txt; fi
ctest --test-dir "${BANYANRILL_BUILD:-build}" --output-on-failure
