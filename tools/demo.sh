#!/usr/bin/env bash
# Installs what is missing, builds, starts a cell of 9 daemons with workers and upstreams of two
# users, runs jobs and callers' requests through failures, and checks what workers and callers saw.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh
BUILD=$PWD/${BANYANRILL_BUILD:-build}
[ -n "${SKIP_BUILD:-}" ] || tools/build.sh "$BUILD"
CELL=$(mktemp -d)
source tools/cell.sh
trap 'stop_all; rm -rf "$CELL"' EXIT
trap 'echo "demo failed; last lines of the logs:" >&2; tail -qn 3 "$CELL"/*.log >&2' ERR
write_cell "$CELL"

step() { echo "== $*"; }

step "Starting 9 daemons in two regions"
for i in {1..9}; do start_daemon "$CELL" "$i"; done
wait_until 30 sum_is live_daemons 9

step "Setting the policies of both users"
operation() { printf '{"repeatable":%s,"millicores":%d,"memory_mib":%d,"deadline_ms":%d,"cross_region":"when_full"}' "$@"; }
cat >"$CELL/policies.json" <<POLICIES
{
  "/teams/riga/operations/gauge.level-check": $(operation false 500 256 5000),
  "/teams/riga/operations/gauge.trend": $(operation true 500 256 5000),
  "/teams/riga/operations/gauge.reconcile": $(operation true 1000 512 10000),
  "/teams/tejo/operations/orders.pallet-allocation": $(operation false 500 256 5000),
  "/teams/tejo/operations/orders.restock-plan": $(operation true 1000 512 10000),
  "/teams/tejo/operations/orders.stock-check": $(operation true 250 128 5000)
}
POLICIES
client apply "$CELL/policies.json"

step "Starting workers and upstream instances"
standin() { # NAME DATA_CENTRE TEAM SERVICE OPERATIONS MILLICORES SEED
  cat >"$CELL/$1.json" <<STANDIN
{"name":"$1","entries":[$ENTRIES],"data_centre":"$2","workers":8,"upstreams":8,"rack_size":4,
 "capacity":{"millicores":$6,"memory_mib":65536},"team":"$3","service":"$4","slots":8,
 "connections":64,"operations":$5,"journal":"$CELL/$1.journal","seed":$7}
STANDIN
  "$BUILD"/tests/standins/standin_cell "$CELL/$1.json" 2>>"$CELL/$1.log" &
  CELL_PIDS+=($!)
}
CELL_PIDS=()
GAUGE='{"level-check":{"service_ms":20},"trend":{"service_ms":40},"reconcile":{"service_ms":100}}'
ORDERS='{"pallet-allocation":{"service_ms":30},"restock-plan":{"service_ms":80},"stock-check":{"service_ms":10}}'
standin riga-1 riga-a riga gauge "$GAUGE" 16000 1
standin riga-2 daugavpils-a riga gauge "$GAUGE" 16000 2
standin tejo-1 riga-a tejo orders "$ORDERS" 32000 3
standin tejo-2 sigulda-a tejo orders "$ORDERS" 32000 4
wait_until 40 sum_is owned_workers 32
wait_until 20 sum_is upstream_instances 32

step "Submitting a service, a batch run and a gang"
client set /teams/riga/services/collector \
  '{"count":6,"millicores":500,"memory_mib":512,"priority":5}'
client set /teams/riga/batches/reconcile-november \
  '{"count":40,"millicores":1000,"memory_mib":1024,"run_ms":2000}'
client set /teams/tejo/gangs/restock-forecast \
  '{"count":8,"millicores":2000,"memory_mib":2048,"run_ms":3000}'

step "Sending requests through all entries for 24 s, with resends"
callers() { # NAME TEAM SERVICE OPERATIONS SEED
  cat >"$CELL/$1.json" <<CALLERS
{"entries":[$ENTRIES],"team":"$2","service":"$3","operations":$4,"rate_per_s":60,
 "duration_ms":24000,"timeout_ms":15000,"resend_share":0.3,"resend_after_ms":3000,
 "output":"$CELL/$1.requests","seed":$5}
CALLERS
  "$BUILD"/tests/standins/standin_callers "$CELL/$1.json" 2>>"$CELL/$1.log" &
  CALLER_PIDS+=($!)
}
CALLER_PIDS=()
callers riga-callers riga gauge \
  '[{"name":"level-check","repeatable":false,"weight":2},{"name":"trend","repeatable":true,"weight":2},{"name":"reconcile","repeatable":true}]' 11
callers tejo-callers tejo orders \
  '[{"name":"pallet-allocation","repeatable":false,"weight":2},{"name":"stock-check","repeatable":true,"weight":2},{"name":"restock-plan","repeatable":true}]' 12

sleep 4
step "Killing daemon 1 (SIGKILL)"
kill -KILL "${DAEMON_PIDS[1]}"
sleep 3
step "Restarting daemon 1"
start_daemon "$CELL" 1
sleep 6
step "Stopping daemon 4 gracefully (SIGTERM)"
kill -TERM "${DAEMON_PIDS[4]}"
wait "${DAEMON_PIDS[4]}"
wait "${CALLER_PIDS[@]}"

step "Waiting for the batch run and the gang"
job_succeeded() {
  client --output json jobs | tr -d '\n' | grep -qE "\"$1\",[^{]*\"state\": *\"succeeded\""
}
wait_until 60 job_succeeded /teams/riga/batches/reconcile-november
wait_until 60 job_succeeded /teams/tejo/gangs/restock-forecast
client jobs

step "Stopping the upstreams and the cell"
kill -TERM "${CELL_PIDS[@]}"
wait "${CELL_PIDS[@]}"
for i in 1 2 3 5 6 7 8 9; do kill -TERM "${DAEMON_PIDS[$i]}"; done
wait "${DAEMON_PIDS[@]}" 2>/dev/null || true

step "Summary from what callers, upstreams and workers saw"
"$BUILD"/tests/standins/standin_check "$CELL"/*.journal --requests "$CELL"/*.requests
