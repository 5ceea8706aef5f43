#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || exit 2
rm -f record.txt
timeout -k 5 110 python3 -B case.py &
pid=$!
trap 'kill "$pid" 2> /dev/null' TERM INT HUP
wait "$pid"
code=$?
# A run that was cut short, or a test that did not load, is no result.
[ "$code" -eq 0 ] && exit 0
[ "$code" -eq 1 ] && grep -q 'result: the rule was broken' record.txt 2> /dev/null && exit 1
exit 2
