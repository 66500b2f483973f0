#!/usr/bin/env bash
# Measures the request path over real daemons and stand-ins on loopback, in an open loop. BUILD names
# the build folder. The last line is one JSON object; a figure that was not measured is null.
set -euo pipefail
cd "$(dirname "$0")/../.."
BUILD=$(realpath "${BUILD:-build}")
PHASE_SECONDS=${PHASE_SECONDS:-6}
CELL=$(mktemp -d)
source tools/cell.sh
trap 'stop_all; rm -rf "$CELL"' EXIT
write_cell "$CELL"

# One service, 2 instances with 4 slots and 40 ms: 200 requests/s, which one caller process can offer
# twice. Instances answer over a latency of 1 ms each way, that between data centres of a region.
CAPACITY=200
OPERATIONS='{"trend":{"service_ms":40},"level-check":{"service_ms":40}}'
for i in {1..9}; do start_daemon "$CELL" "$i"; done
wait_until 30 sum_is live_daemons 9
policy() { printf '{"repeatable":%s,"millicores":100,"memory_mib":64,"deadline_ms":2000,"cross_region":"when_full"}' "$1"; }
printf '{"/teams/riga/operations/gauge.trend":%s,"/teams/riga/operations/gauge.level-check":%s}' \
  "$(policy true)" "$(policy false)" >"$CELL/policies.json"
client apply "$CELL/policies.json"
declare -A CELL_PIDS
for name in a b; do
  cat >"$CELL/$name.json" <<STANDIN
{"name":"$name","entries":[$ENTRIES],"data_centre":"riga-a","workers":1,"upstreams":1,"slots":4,
 "capacity":{"millicores":16000,"memory_mib":65536},"team":"riga","service":"gauge","latency_ms":1,
 "connections":64,"operations":$OPERATIONS,"journal":"$CELL/$name.journal","seed":1}
STANDIN
  "$BUILD"/tests/standins/standin_cell "$CELL/$name.json" 2>>"$CELL/$name.log" &
  CELL_PIDS[$name]=$!
done
wait_until 40 sum_is owned_workers 2
wait_until 20 sum_is upstream_instances 2

# Each phase has its own seed, and with it its own keys.
# run NAME RATE ENTRIES OPTIONS OPERATION REPEATABLE
run() {
  printf '{"entries":[%s],"team":"riga","service":"gauge","operations":[{"name":"%s","repeatable":%s}],
    "rate_per_s":%d,"duration_ms":%d,"timeout_ms":4000,"resend_share":0.2,"seed":%d,%s
    "output":"%s"}' "$3" "$5" "$6" "$2" $((PHASE_SECONDS * 1000)) "$SEED" "$4" \
    "$CELL/$1.requests" >"$CELL/$1-callers.json"
  "$BUILD"/tests/standins/standin_callers "$CELL/$1-callers.json" >>"$CELL/callers.log"
}
# Latency beyond the time of service in us, at a share of the sorted answers.
quantile() { # NAME SHARE
  grep '"status":200' "$CELL/$1.requests" |
    sed -E 's/.*"latency_us":([0-9]+).*"service_us":([0-9]+).*/\1 \2/' | awk '{print $1 - $2}' |
    sort -n | awk -v share="$2" '{v[NR] = $1} END {i = int(NR * share) + 1; if (i > NR) i = NR; print (NR > 0 ? v[i] : "null")}'
}
goodput() { echo $(($(grep -c '"status":200' "$CELL/$1.requests") / PHASE_SECONDS)); }
total() { # METRIC
  local sum=0 port value
  for port in "${HTTP_PORTS[@]}"; do
    value=$(curl -s -m 1 "http://127.0.0.1:$port/metrics" | sed -n "s/^banyanrill_$1 //p")
    sum=$((sum + ${value:-0}))
  done
  echo "$sum"
}
cpu_ticks() { # of all daemons
  local pid sum=0
  for pid in "${DAEMON_PIDS[@]}"; do
    sum=$((sum + $(awk '{print $14 + $15}' "/proc/$pid/stat")))
  done
  echo "$sum"
}

port=$(sed -n 's/.*"cell_start".*"port":\([0-9]*\).*/\1/p' "$CELL/a.journal")
mkdir "$CELL/direct"
SEED=101 run direct/calls 50 "\"127.0.0.1:$port\"" '"direct":"a-u0",' trend true
bytes=$(total peer_bytes_sent_total)
ticks=$(cpu_ticks)
SEED=102 run half $((CAPACITY / 2)) "$ENTRIES" "" trend true
answered=$(grep -c '"status":200' "$CELL/half.requests")
cpu_us=$((($(cpu_ticks) - ticks) * 1000000 / $(getconf CLK_TCK) / answered))
bytes_per_request=$((($(total peer_bytes_sent_total) - bytes) / answered))
SEED=103 run claims $((CAPACITY / 4)) "$ENTRIES" "" level-check false
SEED=104 run full "$CAPACITY" "$ENTRIES" "" trend true
SEED=105 run double $((CAPACITY * 2)) "$ENTRIES" "" trend true
SEED=106 run daemon-killed "$CAPACITY" "$ENTRIES" '"health_interval_ms":200,' trend true &
phase=$!
sleep 2
kill -KILL "${DAEMON_PIDS[4]}"
wait "$phase"
SEED=107 run upstream-killed "$CAPACITY" "$ENTRIES" '"health_interval_ms":200,' trend true &
phase=$!
sleep 2
kill -KILL "${CELL_PIDS[b]}"
wait "$phase"

added() { # SHARE
  local system direct
  system=$(quantile half "$1")
  direct=$(quantile direct/calls "$1")
  [ "$system" = null ] || [ "$direct" = null ] && echo null || echo $((system - direct))
}
summary=$("$BUILD"/tests/standins/standin_check "$CELL"/*.journal --requests "$CELL"/*.requests |
  tail -n 1) || true
count() { grep -o "\"$1\":[0-9]*" <<<"$summary" | grep -o '[0-9]*$'; }
printf '{"added_p50_us":%s,"added_p99_us":%s,"added_p99_9_us":%s,"cpu_us_per_request":%s,' \
  "$(added 0.5)" "$(added 0.99)" "$(added 0.999)" "$cpu_us"
printf '"goodput_at_half":%s,"goodput_at_1x":%s,"goodput_at_2x":%s,"goodput_daemon_killed":%s,"goodput_upstream_killed":%s,' \
  "$(goodput half)" "$(goodput full)" "$(goodput double)" "$(goodput daemon-killed)" \
  "$(goodput upstream-killed)"
printf '"doubled":%s,"lost":%s,"false_did_not_run":%s,"over_limit":%s,"bytes_between_daemons_per_request":%s}\n' \
  "$(count doubled)" "$(count lost)" "$(count false_did_not_run)" \
  $(($(count over_slots) + $(count over_means))) "$bytes_per_request"
