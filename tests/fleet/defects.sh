#!/bin/bash
# Mutation testing of the fleet. Each patch in tests/fleet/defects/ introduces a defect into a copy of a source file, which
# is compiled with the flags of the build folder and linked into the tests. Prints which test found each defect, and
# whether by an invariant check in the code or by an assertion of the test.
#   tests/fleet/defects.sh BUILD [patch...]
# BUILD contains the fleet_*_tests. Environment: JOBS runs in parallel (4), LONGEST: seconds per test program (120).
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
build=$(cd "$1" && pwd)
shift
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
check_defect() {
  patch=$1 name=$(basename "$1" .patch)
  file=$(sed -n 's#^+++ b/##p' "$patch" | head -1)
  component=$(echo "$file" | cut -d/ -f3)
  work=$scratch/$name
  mkdir -p "$work/$(dirname "$file")"
  cp -r "$root/$(dirname "$file")/." "$work/$(dirname "$file")"
  (cd "$work" && patch -s -p1 <"$patch") || { echo "$name: does not apply"; return; }
  flags=$build/src/fleet/$component/CMakeFiles/marblehub_fleet_$component.dir/flags.make
  flag() { sed -n "s/^$1 = //p" "$flags"; }
  eval "g++ $(flag CXX_DEFINES) -I$work/src $(flag CXX_INCLUDES) $(flag CXX_FLAGS) -O0 -w -c $work/$file -o $work/mutant.o" ||
    { echo "$name: does not compile"; return; }
  found= timed_out=
  run_test() {  # target, folder
    link=$build/tests/fleet/$2/CMakeFiles/$1.dir/link.txt
    [ -f "$build/tests/fleet/$2/$1" ] || return 0
    (cd "$build/tests/fleet/$2" && eval "$(sed "s# -o [^ ]* # $work/mutant.o -o $work/$1 #" "$link")") 2>"$work/link" ||
      { found="$found $1:does-not-link"; return 0; }
    timeout "${LONGEST:-120}" "$work/$1" >"$work/$1.out" 2>&1 && return 0
    [ $? != 124 ] || { timed_out="$timed_out, $1 timed out"; return 0; }
    message=$(grep -m1 -A1 'Exception thrown with message' "$work/$1.out" | tail -1)
    [ -n "$message" ] || message=$(grep -m1 -E '^(view|record|routes|wallet|node): ' "$work/$1.out")
    case "$message" in
      view:* | record:* | routes:* | wallet:* | node:*) detector=invariant ;;
      *) detector=assertion ;;
    esac
    found="$found; $1, $detector: ${message:-$(grep -m1 FAILED "$work/$1.out" | xargs basename)}"
  }
  run_test fleet_random_tests random
  [ -n "$found" ] || run_test fleet_${component}_tests "$component"
  [ -n "$found" ] || run_test fleet_mutation_tests random
  echo "$name: ${found:-NOT FOUND$timed_out}" | sed 's/: ; /: /'
}
export -f check_defect
export root build scratch
[ $# -gt 0 ] || set -- "$root"/tests/fleet/defects/*.patch
printf '%s\n' "$@" | xargs -P "${JOBS:-4}" -I{} bash -c 'check_defect "$1"' - {}
