#!/usr/bin/env bash
# Guards against doubled, lost, misreported or interrupted requests while daemons and upstream
# processes are killed, paused, stopped and restarted. Real daemons on loopback; BUILD names the build
# folder. KEEP=FOLDER keeps the logs and journals there.
set -euo pipefail
cd "$(dirname "$0")/../.."
BUILD=$(realpath "${BUILD:-build}")
CELL=${KEEP:-$(mktemp -d)}
mkdir -p "$CELL"
source tools/cell.sh
finish() {
  stop_all
  [ -n "${KEEP:-}" ] || rm -rf "$CELL"
}
trap finish EXIT
trap 'echo "failed; last lines of the logs:" >&2; tail -qn 3 "$CELL"/*.log >&2' ERR
write_cell "$CELL"
begun=$SECONDS
# Longest wait of the rolling restart for workers of the restarted daemon. Workers move only when
# their owner stops, so that most daemons own none; 9 waits of 15 s would exceed the limit of 120 s.
OWN_SECONDS=4
step() { echo "== $((SECONDS - begun)) s: $*"; }

# Prints a figure of one daemon's metrics; nothing if it does not answer.
metric() { # DAEMON NAME
  curl -s -m 1 "http://127.0.0.1:${HTTP_PORTS[$1 - 1]}/metrics" | sed -n "s/^banyanrill_$2 //p"
}
leads() { [ -n "$(metric "$1" live_daemons)" ]; }
owns_workers() { (($(metric "$1" owned_workers || echo 0) > 0)); }
is_healthy() { curl -sf -m 1 -o "$CELL/health" "http://127.0.0.1:${HTTP_PORTS[$1 - 1]}/health"; }
find_leader() {
  local i
  for i in 1 2 5 6 8; do
    if leads "$i"; then
      LEADER=$i
      return 0
    fi
  done
  return 1
}

declare -A CELL_PIDS
standin() { # NAME DATA_CENTRE TEAM SERVICE OPERATIONS WORKERS SEED
  cat >"$CELL/$1.json" <<STANDIN
{"name":"$1","entries":[$ENTRIES],"data_centre":"$2","workers":$6,"upstreams":$6,"rack_size":2,
 "capacity":{"millicores":8000,"memory_mib":65536},"team":"$3","service":"$4","slots":8,
 "connections":64,"operations":$5,"late_watch_ms":5000,"journal":"$CELL/$1.journal","seed":$7}
STANDIN
  "$BUILD"/tests/standins/standin_cell "$CELL/$1.json" 2>>"$CELL/$1.log" &
  CELL_PIDS[$1]=$!
}

CALLER_PIDS=()
callers() { # NAME PLANNED SECONDS TEAM SERVICE OPERATIONS SEED
  cat >"$CELL/$1.json" <<CALLERS
{"entries":[$ENTRIES],"team":"$4","service":"$5","operations":$6,"rate_per_s":40,
 "duration_ms":$(($3 * 1000)),"timeout_ms":15000,"resend_share":0.3,"resend_after_ms":3000,
 "health_interval_ms":200,"planned":$2,"output":"$CELL/$1.requests","seed":$7}
CALLERS
  "$BUILD"/tests/standins/standin_callers "$CELL/$1.json" 2>>"$CELL/$1.log" &
  CALLER_PIDS+=($!)
}
both_callers() { # PHASE PLANNED SECONDS SEED
  CALLER_PIDS=()
  callers "riga-$1" "$2" "$3" riga gauge \
    '[{"name":"level-check","repeatable":false},{"name":"trend","repeatable":true}]' "$4"
  callers "tejo-$1" "$2" "$3" tejo orders \
    '[{"name":"pallet-allocation","repeatable":false},{"name":"stock-check","repeatable":true}]' \
    "$(($4 + 1))"
}

step "Starting 9 daemons, 16 workers and 16 upstream instances"
for i in {1..9}; do start_daemon "$CELL" "$i"; done
wait_until 30 sum_is live_daemons 9
operation() { printf '{"repeatable":%s,"millicores":500,"memory_mib":256,"deadline_ms":5000,"cross_region":"when_full"}' "$1"; }
cat >"$CELL/policies.json" <<POLICIES
{
  "/teams/riga/operations/gauge.level-check": $(operation false),
  "/teams/riga/operations/gauge.trend": $(operation true),
  "/teams/tejo/operations/orders.pallet-allocation": $(operation false),
  "/teams/tejo/operations/orders.stock-check": $(operation true)
}
POLICIES
client apply "$CELL/policies.json"
GAUGE='{"level-check":{"service_ms":50},"trend":{"service_ms":100}}'
ORDERS='{"pallet-allocation":{"service_ms":50},"stock-check":{"service_ms":20}}'
standin riga-1 riga-a riga gauge "$GAUGE" 3 1
standin riga-2 daugavpils-a riga gauge "$GAUGE" 3 2
standin riga-3 sigulda-a riga gauge "$GAUGE" 2 3
standin tejo-1 riga-a tejo orders "$ORDERS" 3 4
standin tejo-2 daugavpils-a tejo orders "$ORDERS" 3 5
standin tejo-3 sigulda-a tejo orders "$ORDERS" 2 6
wait_until 40 sum_is owned_workers 16
wait_until 20 sum_is upstream_instances 16

FAULT_SECONDS=34
step "Sending requests during faults"
both_callers faults false "$FAULT_SECONDS" 11
sleep 2
step "Killing entry daemon 3 and restarting it after 3 s"
kill -KILL "${DAEMON_PIDS[3]}"
sleep 3
start_daemon "$CELL" 3
sleep 3
find_leader
step "Killing the leader, daemon $LEADER, and restarting it after 4 s"
kill -KILL "${DAEMON_PIDS[$LEADER]}"
sleep 4
start_daemon "$CELL" "$LEADER"
sleep 3
step "Pausing daemon 7 for 10 s"
kill -STOP "${DAEMON_PIDS[7]}"
sleep 10
kill -CONT "${DAEMON_PIDS[7]}"
sleep 3
step "Killing upstream process tejo-3"
kill -KILL "${CELL_PIDS[tejo-3]}"
wait "${CALLER_PIDS[@]}"
wait_until 10 find_leader

step "Sending requests during planned changes"
both_callers planned true 56 21
sleep 1
step "Upstream process riga-3 leaves"
kill -TERM "${CELL_PIDS[riga-3]}"
sleep 1
for i in {1..9}; do
  step "Restarting daemon $i"
  kill -TERM "${DAEMON_PIDS[$i]}"
  wait "${DAEMON_PIDS[$i]}"
  start_daemon "$CELL" "$i"
  wait_until 15 is_healthy "$i"
  wait_until "$OWN_SECONDS" owns_workers "$i" 2>>"$CELL/slow.log" || step "daemon $i owns no workers"
done
step "All daemons are restarted"
wait "${CALLER_PIDS[@]}"

step "Summary from what callers and upstream instances saw"
kill -TERM "${CELL_PIDS[riga-1]}" "${CELL_PIDS[riga-2]}" "${CELL_PIDS[tejo-1]}" "${CELL_PIDS[tejo-2]}"
wait "${CELL_PIDS[riga-1]}" "${CELL_PIDS[riga-2]}" "${CELL_PIDS[tejo-1]}" "${CELL_PIDS[tejo-2]}"
trap - ERR
# The operations exist all the time; a daemon that has just started must not deny it.
unknown=$(cat "$CELL"/*.requests | grep -c '"status":404') || true
echo "unknown_operation: $unknown"
"$BUILD"/tests/standins/standin_check "$CELL"/*.journal --requests "$CELL"/*.requests
((unknown == 0))
