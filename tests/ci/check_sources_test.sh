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
rm "$folder/tools/ci/large_files.txt"

# header LINE...: writes the header whose types the next expectation is about.
header() { printf '%s\n' "$@" >"$folder/src/core/types.h"; }

header '/// A call.' 'struct Call {};' '' '/// A list.' 'template <class T>' 'class [[nodiscard]] List {};'
expect "documented types" passes
header '/// A list.' 'template <class T,' '          class U>' '[[nodiscard]]' 'class List' '    : public Base<T> {};'
expect "a documented type with a head of several lines" passes
header 'struct Call;' 'template <class T>' 'class List;' 'enum class Kind : int;' 'union Value;' 'void use(struct Call* call) {}'
expect "forward declarations" passes
header 'enum { first, second };' 'struct { int x; } point;' 'union { int i; char c; };'
expect "anonymous types" passes
header '// struct Old {' '/* class Older { */' 'const char* text = "struct Quoted {";'
expect "types in comments and strings" passes
header '' 'struct Call {};'
expect "an undocumented struct" fails "src/core/types.h:2: Call has no doc comment"
header 'struct Call {};'
expect "an undocumented struct in the first line" fails "src/core/types.h:1: Call has no doc comment"
header 'int size;  // of a call' 'struct Call {};'
expect "a trailing comment of the line above" fails "src/core/types.h:2: Call has no doc comment"
header '/// A call.' '' 'struct Call {};'
expect "a comment before an empty line" fails "src/core/types.h:3: Call has no doc comment"
header '' 'enum class Kind : int { one, two };' 'enum Plain { three };'
expect "undocumented enums" fails "src/core/types.h:2: Kind has no doc comment" \
  "src/core/types.h:3: Plain has no doc comment"
header '' 'union Value { int i; };'
expect "an undocumented union" fails "src/core/types.h:2: Value has no doc comment"
header '' 'template <class T>' 'class List final : public Base<T> {};'
expect "an undocumented class template" fails "src/core/types.h:3: List has no doc comment"
header '/// A list.' 'template <class T>' 'class List {' '  struct Node {' '  };' '};'
expect "an undocumented nested type" fails "src/core/types.h:4: Node has no doc comment"
header '' 'struct View::State {' '};'
expect "an undocumented out-of-class definition" fails "src/core/types.h:2: View::State has no doc comment"
header '' 'template <>' 'struct Arbitrary<int> {};'
expect "an undocumented specialization" fails "src/core/types.h:3: Arbitrary has no doc comment"
mv "$folder/src/core/types.h" "$folder/src/core/types.cpp"
expect "an undocumented type of a source file" passes

[ "$failures" -eq 0 ]
