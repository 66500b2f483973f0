#!/usr/bin/env bash
# Functions of the benchmarks that run a whole cell; sourced by bench.sh after cell.sh.

DAEMONS=12

step() { echo "== $*"; }

# start_cell: starts 12 daemons and waits until the leader hears from all of them.
start_cell() {
  local i
  write_cell "$CELL" "$DAEMONS"
  for ((i = 1; i <= DAEMONS; i++)); do start_daemon "$CELL" "$i"; done
  wait_until 30 sum_is live_daemons "$DAEMONS"
}

# start_workers COUNT: starts stand-ins for COUNT workers (a multiple of 5) in 5 data centres, and 100
# upstream instances. Of 122 workers in a data centre 97 have 2 accelerators (610: 970 accelerators).
WORKER_PIDS=()
start_workers() {
  local centre each=$(($1 / 5)) accelerated
  accelerated=$((each * 97 / 122))
  for centre in "${DATA_CENTRES[@]}"; do
    start_standin "$centre-gpu" "$centre" "$accelerated" 2 0
    start_standin "$centre-cpu" "$centre" $((each - accelerated)) 0 20
  done
  wait_until 60 sum_is owned_workers "$1"
  wait_until 20 sum_is upstream_instances 100
}

# start_standin NAME DATA_CENTRE WORKERS ACCELERATORS UPSTREAMS
start_standin() {
  cat >"$CELL/$1.json" <<STANDIN
{"name":"$1","entries":[$ENTRIES],"data_centre":"$2","workers":$3,"upstreams":$5,"rack_size":8,
 "capacity":{"millicores":16000,"memory_mib":65536,"accelerators":$4},"team":"riga",
 "service":"gauge","slots":8,"connections":64,"journal":"$CELL/$1.journal","seed":7}
STANDIN
  "$BUILD"/tests/standins/standin_cell "$CELL/$1.json" 2>>"$CELL/$1.log" &
  WORKER_PIDS+=($!)
}

# role_of NUMBER: prints leader, replica or entry.
role_of() {
  "$BUILD"/banyanrill --server "127.0.0.1:${HTTP_PORTS[$1 - 1]}" --token-file "$CELL/token" \
    --output json status | grep -o '"role": *"[a-z]*"' | cut -d'"' -f4
}

# number_of ROLE: prints the number of the first daemon with this role.
number_of() {
  local i
  for ((i = 1; i <= DAEMONS; i++)); do
    if [ "$(role_of "$i" 2>/dev/null)" = "$1" ]; then
      echo "$i"
      return 0
    fi
  done
  return 1
}

# sockets FILE: writes "daemon kind socket sent received" for each TCP connection of a daemon; kind
# is peer or http. The kernel counts the payload of each connection without retransmissions
# (bytes_acked, bytes_received). /proc/PID/io does not count send() and recv(), and the daemon's own
# counters lack HTTP.
sockets() {
  local i map=""
  for ((i = 1; i <= DAEMONS; i++)); do map+="${DAEMON_PIDS[$i]} $i ${PEER_PORTS[i - 1]} ${HTTP_PORTS[i - 1]};"; done
  ss -tniHpO state established | awk -v map="$map" '
    BEGIN {
      lines = split(map, line, ";")
      for (l = 1; l < lines; l++) {
        split(line[l], field, " ")
        daemon[field[1]] = field[2]; peer[field[3]] = 1; http[field[4]] = 1
      }
    }
    match($0, /pid=[0-9]+/) {
      pid = substr($0, RSTART + 4, RLENGTH - 4)
      if (!(pid in daemon)) next
      n = split($3, from, ":"); m = split($4, to, ":")
      kind = (from[n] in peer || to[m] in peer) ? "peer" : "http"
      sent = 0; received = 0
      if (match($0, /bytes_acked:[0-9]+/)) sent = substr($0, RSTART + 12, RLENGTH - 12)
      if (match($0, /bytes_received:[0-9]+/)) received = substr($0, RSTART + 15, RLENGTH - 15)
      print daemon[pid], kind, $3 "-" $4, sent, received
    }' >"$1"
}

# traffic BEFORE AFTER: prints "daemon peer_sent peer_received http_sent http_received closed". A
# connection that was closed in between is missing, so the number of closed ones is shown.
traffic() {
  awk -v daemons="$DAEMONS" '
    FNR == NR { sent[$1 $3] = $4; received[$1 $3] = $5; owner[$1 $3] = $1; next }
    {
      s[$1 $2] += $4 - sent[$1 $3]; r[$1 $2] += $5 - received[$1 $3]
      delete owner[$1 $3]
    }
    END {
      for (key in owner) closed[owner[key]]++
      for (d = 1; d <= daemons; d++)
        print d, s[d "peer"] + 0, r[d "peer"] + 0, s[d "http"] + 0, r[d "http"] + 0, closed[d] + 0
    }' "$1" "$2"
}

# peer_bytes BEFORE AFTER: bytes that all daemons sent to each other.
peer_bytes() { traffic "$1" "$2" | awk '{ total += $2 } END { print total + 0 }'; }

# usage FILE: writes "daemon ticks resident_kb" for each daemon.
usage() {
  local i pid
  for ((i = 1; i <= DAEMONS; i++)); do
    pid=${DAEMON_PIDS[$i]}
    echo "$i $(cut -d')' -f2- "/proc/$pid/stat" | awk '{ print $12 + $13 }')" \
      "$(awk '/^VmRSS/ { print $2 }' "/proc/$pid/status")"
  done >"$1"
}

# measure SECONDS TABLE: observes all daemons and writes "daemon role core_percent rss_mb
# peer_kb_per_s http_kb_per_s closed" (1 KB: 1,000 bytes; 1 MB: 1,048,576 bytes).
measure() {
  local i start end
  for ((i = 1; i <= DAEMONS; i++)); do echo "$i $(role_of "$i")"; done >"$CELL/roles"
  sockets "$CELL/sockets.0"
  usage "$CELL/usage.0"
  start=$(date +%s%N)
  sleep "$1"
  sockets "$CELL/sockets.1"
  usage "$CELL/usage.1"
  end=$(date +%s%N)
  traffic "$CELL/sockets.0" "$CELL/sockets.1" >"$CELL/traffic"
  paste -d' ' "$CELL/roles" "$CELL/usage.0" "$CELL/usage.1" "$CELL/traffic" |
    awk -v seconds="$(((end - start) / 1000000))e-3" -v hertz="$(getconf CLK_TCK)" '{
      printf "%d %s %.2f %.1f %.2f %.2f %d\n", $1, $2, ($7 - $4) * 100 / hertz / seconds,
             ($8 > $5 ? $8 : $5) / 1024, ($10 + $11) / 1000 / seconds, ($12 + $13) / 1000 / seconds, $14
    }' >"$2"
}

# write_settings_options NAME WRITERS CHANGES INTERVAL_MS SECONDS: writes the options of
# bench_settings to NAME.json.
write_settings_options() {
  printf '{"servers":[%s],"token":"%s","prefix":"%s","writers":%d,"changes":%d,"interval_ms":%d,"seconds":%d,"seed":%d}\n' \
    "$ENTRIES" "$ADMIN_TOKEN" "$@" "$RANDOM" >"$CELL/$1.json"
}

# figure NAME FILE: prints a figure from the last line of a file, or null.
figure() {
  local found
  found=$(tail -n 1 "$2" | grep -o "\"$1\":[^,}]*" | cut -d: -f2) || true
  echo "${found:-null}"
}

# sum NAME FILE...: prints the sum of a figure; null if one is missing.
sum() { figures "$@" | awk '/null/ { bad = 1 } { total += $1 } END { print bad ? "null" : total }'; }

# larger NAME FILE...: prints the largest value of a figure; null if one is missing.
larger() {
  figures "$@" | awk '/null/ { bad = 1 } NR == 1 || $1 + 0 > top { top = $1 + 0 } END { print bad ? "null" : top }'
}

figures() {
  local name=$1 file
  shift
  for file in "$@"; do figure "$name" "$file"; done
}
