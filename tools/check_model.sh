#!/usr/bin/env bash
# Model checks the specifications in models/ with spin. Without arguments: every correct model must have
# no error, and every deliberate fault must be found. With --fault NAME: only that fault.
set -euo pipefail
cd "$(dirname "$0")/.."

# model:fault pairs; each property of a model has at least one fault that violates it.
faults=(
  consensus:TWO_VOTES consensus:VOTE_NOT_SYNCED consensus:ACK_NOT_SYNCED consensus:NO_LOG_CHECK
  consensus:COMMIT_OLD_TERM consensus:TWO_MEMBERS
  lease:COUNT_FROM_RECEIPT lease:NO_WORKER_WAIT lease:DISPATCH_AFTER_RELEASE lease:NO_MARGIN
  incarnation:OWN_LEASE_ONLY incarnation:SAME_TOKEN incarnation:LEASE_IN_DOUBT incarnation:TOKEN_FALLS
  incarnation:CLOCK_NOT_COMPARED incarnation:START_NOT_MARKED incarnation:FORMER_NOT_MARKED
)
memory_mb=2048
time_limit_s=100 # The longest run takes 34 s on an idle machine.
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Prints ok, error, or incomplete: a search that hit a bound proves nothing.
verify() { # model, spin and compiler definitions
  local model=$1 folder="$work/run" output
  shift
  rm -rf "$folder"
  mkdir "$folder"
  cp "models/$model.pml" "$folder/model.pml"
  (cd "$folder" && spin "$@" -a model.pml >spin.txt 2>&1 &&
    gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM="$memory_mb" -o pan pan.c) || { echo incomplete; return; }
  # -m: depth of the search stack; the search reports an error if a path is longer.
  output=$(cd "$folder" && timeout "$time_limit_s" ./pan -m2000000 -w24 2>&1) || true
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' <<<"$output")
  if grep -q 'assertion violated' <<<"$output"; then
    echo "error $states"
  elif grep -q 'errors: 0' <<<"$output" &&
    ! grep -Eq 'max search depth too small|Search not completed|out of memory' <<<"$output"; then
    echo "ok $states"
  else
    echo incomplete
  fi
}

passed=0
failed=0
report() { # name, expected, actual
  if [ "${3%% *}" = "$2" ]; then
    passed=$((passed + 1))
    echo "pass $1: ${3%% *}, ${3#* } states"
  else
    failed=$((failed + 1))
    echo "FAIL $1: expected $2, got $3"
  fi
}

check_fault() { report "$1 with fault $2" error "$(verify "$1" "-DFAULT_$2")"; }

if [ "${1:-}" = --fault ]; then
  for pair in "${faults[@]}"; do
    if [ "${pair#*:}" = "${2:-}" ]; then
      check_fault "${pair%%:*}" "${pair#*:}"
    fi
  done
  if [ $((passed + failed)) -eq 0 ]; then
    echo "unknown fault '${2:-}'; known: ${faults[*]#*:}" >&2
    exit 2
  fi
elif [ $# -eq 0 ]; then
  report "consensus, 4 terms, log of 2" ok "$(verify consensus -DMAX_TERM=4 -DMAX_LOG=2)"
  report "consensus, 3 terms, log of 3" ok "$(verify consensus -DMAX_TERM=3 -DMAX_LOG=3)"
  report lease ok "$(verify lease)"
  report "incarnation, 3 incarnations, 4 sessions, 2 orders" ok \
    "$(verify incarnation -DMAX_INCARNATION=3 -DMAX_SESSION=4 -DORDERS=2)"
  report "incarnation, 2 incarnations, 2 sessions, 3 orders" ok \
    "$(verify incarnation -DMAX_INCARNATION=2 -DMAX_SESSION=2 -DORDERS=3)"
  for pair in "${faults[@]}"; do
    check_fault "${pair%%:*}" "${pair#*:}"
  done
else
  echo "usage: tools/check_model.sh [--fault NAME]" >&2
  exit 2
fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
