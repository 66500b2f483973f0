#!/usr/bin/env bash
# Checks format and runs the linter over all sources. Needs a configured build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BANYANRILL_BUILD:-build}
git ls-files -co --exclude-standard '*.h' '*.cpp' | xargs clang-format --dry-run --Werror
source tools/build_folder.sh
prepare_build_folder "$build"
cmake -S . -B "$build" -G Ninja >/dev/null
git ls-files -co --exclude-standard 'packages/*/src/*.cpp' 'platform/src/*.cpp' 'bench/*.cpp' |
  xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$build" 2>/dev/null
