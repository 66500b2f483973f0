#!/usr/bin/env bash
# Memory, processor time and bytes of the daemons with 60, 200 and 610 workers: least-squares lines
# through the largest figure of each role. The fit of three points is a check of linearity only.
for size in 60 200 610; do
  step "Starting 12 daemons and $size workers"
  start_cell
  start_workers "$size"
  sleep 10
  measure "${MEASURE_SECONDS:-20}" "$CELL/capacity-$size"
  sed "s/^/$size /" "$CELL/capacity-$size" | tee -a "$CELL/capacity"
  stop_all
  WORKER_PIDS=()
  rm -rf "$CELL"/data-* "$CELL"/*.journal
done
awk '
  {
    value[1] = $4; value[2] = $5; value[3] = $6; value[4] = $7
    for (m = 1; m <= 4; m++)
      if (!(($1, $3, m) in top) || value[m] > top[$1, $3, m]) top[$1, $3, m] = value[m] + 0
  }
  END {
    split("60 200 610", size, " "); split("leader replica entry", role, " ")
    split("core %;RSS MB;between daemons KB/s;workers and upstreams KB/s", name, ";")
    print "| role | figure | 60 | 200 | 610 | at 0 workers | per worker | largest residual |"
    print "|---|---|---|---|---|---|---|---|"
    for (r = 1; r <= 3; r++) for (m = 1; m <= 4; m++) {
      sx = sy = sxx = sxy = worst = n = 0
      for (i = 1; i <= 3; i++) {
        if (!((size[i], role[r], m) in top)) continue
        x = size[i]; y = top[size[i], role[r], m]; n++; sx += x; sy += y; sxx += x * x; sxy += x * y
      }
      if (n < 3) { print "| " role[r] " | " name[m] " | null | null | null | null | null | null |"; missing = 1; continue }
      slope = (n * sxy - sx * sy) / (n * sxx - sx * sx); base = (sy - slope * sx) / n
      for (i = 1; i <= 3; i++) {
        d = top[size[i], role[r], m] - base - slope * size[i]; if (d < 0) d = -d; if (d > worst) worst = d
      }
      printf "| %s | %s | %.2f | %.2f | %.2f | %.2f | %.5f | %.2f |\n", role[r], name[m], top[60, role[r], m],
             top[200, role[r], m], top[610, role[r], m], base, slope, worst
      json = json sprintf(",\"%s_%d\":{\"base\":%.3f,\"per_worker\":%.6f,\"max_residual\":%.3f}", role[r], m, base, slope, worst)
    }
    print "{\"complete\":" (missing ? "null" : "true") json "}"
  }' "$CELL/capacity"
