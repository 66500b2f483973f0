#!/usr/bin/env bash
# Functions that start and stop a small cell on loopback; sourced by demo.sh and bench.sh.

# write_cell FOLDER [9|12]: writes settings files for 9 (default) or 12 daemons in two regions, 5 of
# them replicas, and the variables HTTP_PORTS, PEER_PORTS, DATA_CENTRES and ADMIN_TOKEN. Needs BUILD.
# Creates the data folders of the replicas. Ports are chosen by the kernel. The layout of 12 has the 5 data centres of the target.
write_cell() {
  local folder=$1 count=${2:-9}
  local regions=(vidzeme vidzeme vidzeme vidzeme vidzeme vidzeme vidzeme latgale latgale)
  local centres=(riga-a riga-a riga-a riga-a sigulda-a sigulda-a sigulda-a daugavpils-a daugavpils-a)
  local replicas=(true true false false true true false true false)
  if ((count == 12)); then
    regions=(vidzeme vidzeme vidzeme vidzeme vidzeme vidzeme vidzeme latgale latgale latgale latgale latgale)
    centres=(riga-a riga-a riga-a sigulda-a sigulda-a valmiera-a valmiera-a daugavpils-a daugavpils-a daugavpils-a rezekne-a rezekne-a)
    replicas=(true true false true false true false true false false false false)
  elif ((count != 9)); then
    echo "write_cell: no layout for $count daemons" >&2
    return 2
  fi
  DATA_CENTRES=($(printf "%s\n" "${centres[@]}" | uniq))
  local ports digest peers="" i
  ADMIN_TOKEN=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
  digest=$(printf %s "$ADMIN_TOKEN" | sha256sum | cut -d' ' -f1)
  read -r -a ports <<<"$("$BUILD"/tests/standins/standin_ports $((2 * count)))"
  PEER_PORTS=("${ports[@]:0:count}")
  HTTP_PORTS=("${ports[@]:count:count}")
  for ((i = 0; i < count; i++)); do
    peers+="{\"daemon\":$((i + 1)),\"region\":\"${regions[i]}\",\"data_centre\":\"${centres[i]}\","
    peers+="\"address\":\"127.0.0.1\",\"peer_port\":${ports[i]},\"http_port\":${HTTP_PORTS[i]},"
    peers+="\"replica\":${replicas[i]}},"
  done
  for ((i = 0; i < count; i++)); do
    printf '{"cell":"demo","daemon":%d,"admin_token_sha256":"%s","data_folder":"%s","peers":[%s]}\n' \
      $((i + 1)) "$digest" "$folder/data-$((i + 1))" "${peers%,}" >"$folder/daemon-$((i + 1)).json"
    if [ "${replicas[i]}" = true ]; then "$BUILD"/banyanrilld --initialize "$folder/daemon-$((i + 1)).json"; fi
  done
  printf %s "$ADMIN_TOKEN" >"$folder/token"
  ENTRIES=$(printf '"127.0.0.1:%s",' "${HTTP_PORTS[@]}")
  ENTRIES=${ENTRIES%,}
}

# start_daemon FOLDER NUMBER: starts one daemon and remembers its process in DAEMON_PIDS.
declare -A DAEMON_PIDS
start_daemon() {
  "$BUILD"/banyanrilld "$1/daemon-$2.json" 2>>"$1/daemon-$2.log" &
  DAEMON_PIDS[$2]=$!
}

# client ARGUMENTS: runs the operators' client against all daemons.
client() {
  local servers=() port
  for port in "${HTTP_PORTS[@]}"; do servers+=(--server "127.0.0.1:$port"); done
  "$BUILD"/banyanrill "${servers[@]}" --token-file "$CELL/token" "$@"
}

# sum_is FIGURE NUMBER: whether a figure of the status, summed over all daemons, has this value.
sum_is() {
  local total=0 port count
  for port in "${HTTP_PORTS[@]}"; do
    count=$("$BUILD"/banyanrill --server "127.0.0.1:$port" --token-file "$CELL/token" \
      --output json status | grep -o "\"$1\": *[0-9]*" | grep -o '[0-9]*$') || true
    total=$((total + ${count:-0}))
  done
  ((total == $2))
}

# wait_until SECONDS COMMAND...: repeats the command until it succeeds.
wait_until() {
  local deadline=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if ((SECONDS >= deadline)); then
      echo "timed out: $*" >&2
      return 1
    fi
    sleep 0.2
  done
}

# stop_all: ends every process that this shell started.
stop_all() {
  local pids
  pids=$(jobs -p)
  if [ -n "$pids" ]; then
    kill -KILL $pids 2>/dev/null || true
    wait 2>/dev/null || true
  fi
}
