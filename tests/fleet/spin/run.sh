#!/bin/sh
# Checks a model: `run.sh model.pml holds` or `run.sh model.pml fails M_NAME`. The search is exhaustive and deterministic,
# so the verdict is reproducible; it is limited to 2 GB of memory and 120 s.
set -eu
model=$(cd "$(dirname "$1")" && pwd)/$(basename "$1")
wanted=$2
mutation=${3:-}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cd "$scratch"
spin ${mutation:+-D$mutation} -a "$model" >spin.out 2>&1 || { cat spin.out; exit 2; }
gcc -w -O2 -DSAFETY -DMEMLIM=2000 -o pan pan.c
# SHORTEST=1 searches for the shortest counterexample, which takes longer.
timeout 120 ./pan -m10000 -n ${SHORTEST:+-i} >pan.out 2>&1 || { cat pan.out; exit 2; }
grep -E 'errors:|states, stored|elapsed|assertion viol' pan.out || true
if grep -q 'errors: 0' pan.out; then verdict=holds; else verdict=fails; fi
# A search that found a failure is not completed either; without a failure it ran out of depth or memory.
if grep -qE 'max search depth|out of memory|truncated' pan.out ||
  { [ $verdict = holds ] && grep -q 'Search not completed' pan.out; }; then echo "the search is incomplete"; exit 2; fi
if [ -n "${TRACE:-}" ] && [ $verdict = fails ]; then spin ${mutation:+-D$mutation} -t -p -g "$model"; fi
if [ $verdict != "$wanted" ]; then
  echo "$(basename "$model") ${mutation:-as designed}: $verdict, wanted: $wanted"
  [ $verdict = holds ] || spin ${mutation:+-D$mutation} -t -p -g "$model" | tail -80
  exit 1
fi
