#!/usr/bin/env bash
# Lists the days of journal entries that failed their gate, for any reason: a broken rule, a floor, a size that
# was served too seldom, a fault. The closing line of a hunt counts broken rules only.
# Arguments: entries; without any, those that are new since the revision in BASE (default: all in journal/).
set -euo pipefail
cd "$(dirname "$0")/.."
entries=("$@")
if ((${#entries[@]} == 0)); then
  if [ -n "${BASE:-}" ]; then
    mapfile -t entries < <(git diff --diff-filter=A --name-only "$BASE" -- 'journal/*.json')
  else
    entries=(journal/*.json)
  fi
fi
exec python3 - "${entries[@]}" <<'PYTHON'
import json
import sys

played = failed = 0
for path in sys.argv[1:]:
    with open(path) as file:
        entry = json.load(file)
    # A hunt or a score without any day says nothing of the code.
    for day in entry.get("days") or []:
        played += 1
        if day.get("gate") is not False:
            continue
        failed += 1
        reasons = dict(day.get("rules") or {}) or day.get("short") or day.get("fault") or "no reason given"
        print(f"{path}: {entry.get('site')} {day.get('name')} worth {day.get('G')}: {reasons}")
print(f"{played} days played, {failed} failed their gate")
PYTHON
