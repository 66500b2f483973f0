#!/usr/bin/env bash
# bench.sh NAME: installs what is missing, builds, runs the benchmark tools/bench/NAME.sh and prints
# its figures as one JSON object on the last line. A figure that was not measured is null.
set -euo pipefail
cd "$(dirname "$0")/.."
NAME=${1:-}
if [[ ! $NAME =~ ^[a-z]+$ || $NAME == common || ! -f tools/bench/$NAME.sh ]]; then
  echo "usage: tools/bench.sh idle|settings|recovery|capacity" >&2
  exit 2
fi
tools/setup.sh
BUILD=$PWD/${BANYANRILL_BUILD:-build}
[ -n "${SKIP_BUILD:-}" ] || tools/build.sh "$BUILD"
CELL=$(mktemp -d)
source tools/cell.sh
source tools/bench/common.sh
trap 'stop_all; rm -rf "$CELL"' EXIT
trap 'echo "benchmark failed; last lines of the logs:" >&2; tail -qn 3 "$CELL"/*.log >&2' ERR
source "tools/bench/$NAME.sh"
