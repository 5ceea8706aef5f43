#!/bin/bash
# Tests tools/ci/check_sources.py on a small temporary repository: which findings it reports and which files it accepts.
set -euo pipefail

check=$(cd "$(dirname "$0")/../../tools/ci" && pwd)/check_sources.py
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
failures=0

# expect WHAT VERDICT [LINE...]: checks the repository; VERDICT is `passes` or `fails`, the output must equal LINE...
expect() {
  local what=$1 verdict=$2 output status=passes
  shift 2
  git -C "$folder" add -A
  output=$(python3 "$check" "$folder") || status=fails
  if [ "$status" != "$verdict" ] || [ "$output" != "$(printf '%s\n' "$@")" ]; then
    echo "$what: $status instead of $verdict, with: $output"
    failures=$((failures + 1))
  fi
}

git init -q "$folder"
mkdir -p "$folder/src/core" "$folder/src/metrics" "$folder/src/fleet/view" "$folder/tools/ci"
echo '#include "core/counters.h"' >"$folder/src/metrics/registry.h"
expect "an include of a lower module" passes

echo '#include "metrics/registry.h"' >"$folder/src/core/dispatcher.cpp"
expect "core includes metrics" fails "src/core/dispatcher.cpp:1: core may not include metrics/registry.h"
rm "$folder/src/core/dispatcher.cpp"

echo '#include "fleet/net/driver.h"' >"$folder/src/fleet/view/view.cpp"
expect "a fleet module includes a higher one" fails "src/fleet/view/view.cpp:1: fleet/view may not include fleet/net/driver.h"
rm "$folder/src/fleet/view/view.cpp"

yes '// a line' | head -n 400 >"$folder/src/core/long.cpp" || true
expect "400 lines" passes
echo '// one more' >>"$folder/src/core/long.cpp"
expect "401 lines" fails "src/core/long.cpp: 401 lines, 400 at most"
echo 'src/core/long.cpp | split next' >"$folder/tools/ci/large_files.txt"
expect "401 lines, listed" passes
echo 'src/core/long.cpp' >"$folder/tools/ci/large_files.txt"
expect "401 lines, listed without a reason" fails "src/core/long.cpp: is in large_files.txt without a reason"
echo 'src/core/gone.cpp | split next' >"$folder/tools/ci/large_files.txt"
rm "$folder/src/core/long.cpp"
expect "a listed file that does not exist" fails "src/core/gone.cpp: is in large_files.txt and does not exist"

echo 'src/metrics/registry.h | split next' >"$folder/tools/ci/large_files.txt"
expect "a listed file that is short" fails "src/metrics/registry.h: 1 lines, take it off large_files.txt"

[ "$failures" -eq 0 ]
