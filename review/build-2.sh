#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. Uses its packages alone.
set -e
cd "$(dirname "$0")/.."
to=review/standins-2
flags="-O2 -std=c++20 -Wall -Wextra"
${CXX:-g++} $flags -pthread $to/keyed_servers.cpp -o $to/keyed_servers
${CXX:-g++} $flags -Isrc -Iinclude $to/quic_peers.cpp src/quic/initial.cpp src/quic/crypto.cpp src/quic/packet.cpp \
  src/quic/connection_id.cpp -lcrypto -lfmt -o $to/quic_peers
python3 -m py_compile $to/stage.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py \
  review/10/case.py
