#!/usr/bin/env bash
# Time without an accepted change when the leader is killed or paused for 10 s, and the time and bytes
# that a replica needs to catch up with 1,000 changes that it missed. Bytes are what its connections to
# other daemons received since its restart.
step "Starting 12 daemons"
start_cell
sleep 3
write_settings_options killed 4 0 20 15
write_settings_options paused 4 0 20 25
write_settings_options missed 10 100 0 0

step "Killing the leader"
leader=$(number_of leader)
"$BUILD"/bench/bench_settings "$CELL/killed.json" >"$CELL/killed" &
probe=$!
sleep 4
kill -KILL "${DAEMON_PIDS[$leader]}"
sleep 6
start_daemon "$CELL" "$leader"
wait "$probe"
cat "$CELL/killed"

step "Pausing the leader for 10 s"
wait_until 20 sum_is live_daemons "$DAEMONS"
leader=$(number_of leader)
"$BUILD"/bench/bench_settings "$CELL/paused.json" >"$CELL/paused" &
probe=$!
sleep 4
kill -STOP "${DAEMON_PIDS[$leader]}"
sleep 10
kill -CONT "${DAEMON_PIDS[$leader]}"
wait "$probe"
cat "$CELL/paused"

step "Restarting a replica after 1,000 missed changes"
wait_until 20 sum_is live_daemons "$DAEMONS"
replica=$(number_of replica)
kill -KILL "${DAEMON_PIDS[$replica]}"
sleep 3
# The stopped daemon cannot show changes, so only the accepted count and the revision are used here.
"$BUILD"/bench/bench_settings "$CELL/missed.json" | tee "$CELL/missed"
start_daemon "$CELL" "$replica"
caught_up=$("$BUILD"/bench/bench_settings "$CELL/missed.json" catchup \
  "127.0.0.1:${HTTP_PORTS[replica - 1]}" "$(figure revision "$CELL/missed")") || true
sockets "$CELL/caught"
bytes=$(awk -v daemon="$replica" '$1 == daemon && $2 == "peer" { total += $5 } END { print total ? total : "null" }' "$CELL/caught")
[ "$(figure accepted "$CELL/missed")" = 1000 ] || { caught_up=null; bytes=null; }

echo "{\"no_leader_max_ms\":$(larger max_gap_ms "$CELL/killed" "$CELL/paused"),\
\"no_leader_killed_ms\":$(figure max_gap_ms "$CELL/killed"),\"no_leader_paused_ms\":$(figure max_gap_ms "$CELL/paused"),\
\"catch_up_ms\":${caught_up:-null},\"catch_up_bytes\":$bytes,\
\"lost\":$(sum lost "$CELL/killed" "$CELL/paused"),\"reverted\":$(sum reverted "$CELL/killed" "$CELL/paused" "$CELL/missed")}"
