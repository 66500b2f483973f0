#!/usr/bin/env bash
# Processor time, memory and bytes of each of 12 daemons with 610 workers, 970 accelerators and no
# jobs or requests, over 60 s.
WORKERS=${WORKERS:-610}
step "Starting 12 daemons and $WORKERS workers"
start_cell
start_workers "$WORKERS"
sleep 10 # Ownership settles and connections are set up.
step "Measuring for 60 s"
measure "${MEASURE_SECONDS:-60}" "$CELL/idle"
echo "daemon role core_percent(limit 3.6) rss_mb(128) peer_kb_per_s http_kb_per_s total(18) closed_connections"
awk '{ print $1, $2, $3, $4, $5, $6, $5 + $6, $7 }' "$CELL/idle" | column -t
awk '
  function larger(a, b) { return b == "" || a > b ? a : b }
  {
    core = larger($3 + 0, core); rss = larger($4 + 0, rss); bytes = larger($5 + $6, bytes)
    roleCore[$2] = larger($3 + 0, roleCore[$2]); roleRss[$2] = larger($4 + 0, roleRss[$2])
    roleBytes[$2] = larger($5 + $6, roleBytes[$2]); peers[$2] = larger($5 + 0, peers[$2])
    closed += $7
  }
  function figure(value) { return value == "" ? "null" : value }
  END {
    printf "{\"max_core_percent\":%s,\"max_rss_mb\":%s,\"max_control_kb_per_second\":%s", figure(core), figure(rss), figure(bytes)
    printf ",\"limits\":{\"core_percent\":3.6,\"rss_mb\":128,\"control_kb_per_second\":18},\"closed_connections\":%s", figure(closed)
    split("leader replica entry", roles, " ")
    for (i = 1; i <= 3; i++)
      printf ",\"%s\":{\"core_percent\":%s,\"rss_mb\":%s,\"control_kb_per_second\":%s,\"between_daemons_kb_per_second\":%s}",
             roles[i], figure(roleCore[roles[i]]), figure(roleRss[roles[i]]), figure(roleBytes[roles[i]]), figure(peers[roles[i]])
    print "}"
  }' "$CELL/idle"
