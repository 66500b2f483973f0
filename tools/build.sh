#!/usr/bin/env bash
# Builds into the folder given as $1 (default: build); further arguments go to CMake.
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/build_folder.sh
folder=${1:-build}
shift || true
prepare_build_folder "$folder"
cmake -S . -B "$folder" -G Ninja "$@" >/dev/null
cmake --build "$folder"
