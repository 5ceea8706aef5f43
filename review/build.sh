#!/bin/sh
# The stand-ins are Python of the standard library alone: nothing is compiled. Exits with 0 if they load.
cd "$(dirname "$0")" || exit 1
command -v python3 > /dev/null || { echo "review/build.sh: python3 is missing"; exit 1; }
exec python3 -B -c 'import sys; sys.path.insert(0, "standins"); import marble, initials, quic_peers; print("stand-ins: ready")'
