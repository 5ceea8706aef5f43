"""A planned restart answers BUSY to requests of an unsafe class that a server has taken and run."""
import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import stage  # noqa: E402

DEADLINE_MS = 700
# When a client connects after SIGTERM, and how long its line's second piece comes after the first; 0: it comes whole.
ARRIVALS = [(0.365 + 0.0025 * i, 0) for i in range(10)] + [(0.30 + 0.01 * i, 0.13) for i in range(8)]


def case(record, folder, trouble, balancers):
    taken, runs = {}, {}  # the server that took a request, by its id; where a command was run, by its key
    lock = threading.Lock()

    def on_open(server, connection, line):
        _, identity, key, _ = line.split()
        with lock:
            runs.setdefault(key, []).append(server.name)
            taken[identity] = server.name
        record.add("%s runs command %s" % (server.name, key))
        if not server.hung.is_set():
            return server.up(connection, line)
        while connection.read():  # it hangs: nothing is answered
            pass
        return connection.close()

    servers = [stage.Server(record, "s-%d" % i, on_open) for i in range(4)]
    discovery = stage.Discovery(record, servers)
    values = stage.settings(effect="unsafe", deadline_ms=DEADLINE_MS, aim_ms=500, balancers=2)
    for name in ("n1", "n2"):
        balancers.append(stage.Balancer(record, folder, name, discovery, values))
    answers, broken = [], []

    def ask(number, identity, balancer, pieces):
        """Sends one request; returns its connection and its answer."""
        line = "OPEN %s %s c=telemetry,d=%d,g=%016x" % (identity, stage.identity(number)[1], DEADLINE_MS,
                                                        0x5c0f6e1a00000000 + number)
        try:
            connection = stage.connect(balancer)
        except OSError:
            record.add("client %d: %s does not accept" % (number, balancer.name))
            return None, None
        if pieces:
            connection.sock.sendall(line[:20].encode())
            time.sleep(pieces)
            connection.send(line[20:])
        else:
            connection.send(line)
        record.add("client %d sent  %s to %s" % (number, line, balancer.name))
        answer = connection.read(4)
        record.add("client %d heard %r from %s" % (number, answer, balancer.name))
        answers.append(answer)
        return connection, answer

    def client(number, balancer, at, pieces):
        identity = stage.identity(number)[0]
        time.sleep(max(0, at - time.monotonic()))
        connection, answer = ask(number, identity, balancer, pieces)
        if answer and answer.split()[0] == "BUSY":
            if identity in taken:
                broken.append("client %d heard %r (trying again is harmless), but %s had taken and run its request of an "
                              "unsafe class" % (number, answer, taken[identity]))
            connection.close()
            time.sleep(0.2)  # it comes again, with a new id and through the front, which has taken n1 out
            connection, answer = ask(number, "a" + identity[1:], balancers[1], 0)
        until = time.monotonic() + 1.5
        while answer and answer.startswith("UP") and time.monotonic() < until:
            connection.send("position 1")
            if connection.read(0.5) in ("", "MOVE"):
                break
            time.sleep(0.1)
        if connection:
            connection.close()

    for number in range(8):  # usual traffic, all served
        stage.thread(client, 100 + number, balancers[number % 2], time.monotonic() + 0.1 * number, 0)
    time.sleep(2.5)
    began = time.monotonic()
    if trouble:
        for server in servers[:2]:  # half of the servers hang just then
            server.hung.set()
            record.add("%s hangs" % server.name)
        balancers[0].signal(signal.SIGTERM)
    threads = [stage.thread(client, number, balancers[0], began + at, pieces)
               for number, (at, pieces) in enumerate(ARRIVALS)]
    for t in threads:
        t.join(15)
    for key, at in sorted(runs.items()):
        if len(at) > 1:
            record.add("command %s ran %d times: %s" % (key, len(at), ", ".join(at)))
    if len(answers) < 8 + len(ARRIVALS):
        raise RuntimeError("not all clients were accepted")
    return broken


stage.play(case, HERE)
