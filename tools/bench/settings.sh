#!/usr/bin/env bash
# Time until changes of settings, sent through random daemons, are in force on all 12: 2 changes a
# second for 20 s, then 200 by 10 writers at once.
step "Starting 12 daemons"
start_cell
sleep 3
write_settings_options paced 1 40 500 0
write_settings_options burst 10 20 0 0

step "Measuring the bytes between daemons without changes for 10 s"
sockets "$CELL/quiet.0"
sleep 10
sockets "$CELL/quiet.1"
step "2 changes a second for 20 s"
"$BUILD"/bench/bench_settings "$CELL/paced.json" | tee "$CELL/paced"
step "200 changes by 10 writers"
start=$(date +%s%N)
sockets "$CELL/burst.0"
"$BUILD"/bench/bench_settings "$CELL/burst.json" | tee "$CELL/burst"
sleep 5
sockets "$CELL/burst.1"
end=$(date +%s%N)
# The traffic without changes during the same time is taken off.
per_change=$(awk -v quiet="$(peer_bytes "$CELL/quiet.0" "$CELL/quiet.1")" \
  -v all="$(peer_bytes "$CELL/burst.0" "$CELL/burst.1")" -v ms=$(((end - start) / 1000000)) \
  -v changes="$(figure accepted "$CELL/burst")" \
  'BEGIN { if (changes > 0) printf "%.0f", (all - quiet * ms / 10000) / changes; else printf "null" }')
echo "{\"in_force_p50_ms\":$(figure in_force_p50_ms "$CELL/paced"),\
\"in_force_p99_ms\":$(larger in_force_p99_ms "$CELL/paced" "$CELL/burst"),\"in_force_max_ms\":$(larger in_force_max_ms "$CELL/paced" "$CELL/burst"),\
\"lost\":$(sum lost "$CELL/paced" "$CELL/burst"),\"reverted\":$(sum reverted "$CELL/paced" "$CELL/burst"),\
\"bytes_per_change\":$per_change,\"paced\":$(cat "$CELL/paced"),\"burst\":$(cat "$CELL/burst")}"
