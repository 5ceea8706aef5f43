"""A keyed request whose connection to its server is reset shortly before its time is up is answered BUSY."""
import os
import socket
import struct
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import stage  # noqa: E402

DEADLINE_MS, REQUESTS = 700, 24
LEAD_MS = 5  # the reset comes so long before the time that the balancer told the server


def case(record, folder, trouble, balancers):
    runs, lock = {}, threading.Lock()

    def on_open(server, connection, line):
        began = time.monotonic()
        key = line.split()[2]
        with lock:
            runs.setdefault(key, []).append(server)
        record.add("%s of cell %d runs command %s" % (server.name, server.cell, key))
        if not trouble or len(runs[key]) > 1:
            return server.up(connection, line)
        told = int(line.split("d=")[1].split(",")[0])
        time.sleep(max(0, began + (told - LEAD_MS) / 1000 - time.monotonic()))
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
        return record.add("%s resets the connection under command %s" % (server.name, key))

    servers = [stage.Server(record, "s-%d" % i, on_open, cell=1 + i // 4) for i in range(8)]
    discovery = stage.Discovery(record, servers)
    values = stage.settings(effect="keyed", scope="cell", deadline_ms=DEADLINE_MS, aim_ms=500)
    balancers.append(stage.Balancer(record, folder, "n1", discovery, values))
    time.sleep(2)
    broken, answers = [], []

    def ask(number, identity):
        line = "OPEN %s %s c=telemetry,d=%d,g=%016x" % (identity, stage.identity(number)[1], DEADLINE_MS,
                                                        0x5c0f6e1a00000000 + number)
        connection = stage.connect(balancers[0])
        connection.send(line)
        sent = time.monotonic()
        record.add("client sent  %s" % line)
        answer = connection.read(3)
        record.add("client heard %r after %.4f s" % (answer, time.monotonic() - sent))
        answers.append(answer)
        connection.close()
        return answer

    for number in range(REQUESTS):
        identity, key = stage.identity(number)
        before = len(runs.get(key, []))
        answer = ask(number, identity)
        first = runs.get(key, [])
        if answer and answer.split()[0] == "BUSY" and len(first) > before:
            broken.append("request %s, of a class keyed by cell, heard %r (trying again is harmless), but %s of cell %d had "
                          "run it" % (identity, answer, first[0].name, first[0].cell))
            time.sleep(0.2)
            ask(number, "a" + identity[1:])  # it comes again, as it was told
            if len({server.cell for server in runs[key]}) > 1:
                record.add("command %s ran in two cells" % key)
        time.sleep(1)
    if not any(answers):
        raise RuntimeError("no client was answered")
    return broken


stage.play(case, HERE)
