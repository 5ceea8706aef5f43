"""Connections that were open at a draining server before the run are answered ERR and never reach that server."""
import os
import random
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import stage  # noqa: E402

CLIENTS, AT_THE_LAST = 18, 6  # of the clients, so many had their connection at the last of the nine servers


def case(record, folder, trouble, balancers):
    zones = stage.settings()["zones"]
    servers = [stage.Server(record, "s-%d" % i, zone=zones[i % 3]) for i in range(9)]
    servers[8].status = "draining" if trouble else "ready"
    record.add("s-8 is %s, in discovery's list and in the one that the balancers start with" % servers[8].status)
    discovery = stage.Discovery(record, servers)
    for name in ("n1", "n2", "n3"):
        balancers.append(stage.Balancer(record, folder, name, discovery, stage.settings(balancers=3)))
    time.sleep(1.5)  # clients come once all balancers are ready
    began, up, lock = time.monotonic(), set(), threading.Lock()

    def client(number, balancer, server):
        attempt = 0
        while time.monotonic() < began + 40:  # "one that is not up after 40 s is lost": it tries again until then
            identity, key = stage.identity(number + 100 * attempt)
            attempt += 1
            connection = stage.connect(balancer)
            connection.send("OPEN %s %s c=telemetry,d=3000,g=%016x,at=%s" % (identity, key, 0x5c0f6e1a00000000 + number,
                                                                            server.name))
            record.add("client %d asks %s for its connection at %s" % (number, balancer.name, server.name))
            answer = connection.read(max(0.1, began + 40 - time.monotonic()))
            record.add("client %d heard %r" % (number, answer))
            if answer and answer.startswith("UP"):
                with lock:
                    up.add(number)
                while time.monotonic() < began + 6:
                    connection.send("position 1")
                    if connection.read(1) in ("", "MOVE"):
                        break
                    time.sleep(0.5)
                return connection.close()
            connection.close()
            time.sleep(random.uniform(0.5, 1.5))
        return record.add("client %d is not up after 40 s" % number)

    homes = [servers[8] if number < AT_THE_LAST else servers[number % 8] for number in range(CLIENTS)]
    threads = [stage.thread(client, number, balancers[number % 3], homes[number]) for number in range(CLIENTS)]
    for t in threads:
        t.join(50)
    if not up:
        raise RuntimeError("no connection is up")
    return ["client %d's connection, open at %s before the run, is not up after 40 s" % (number, homes[number].name)
            for number in range(CLIENTS) if number not in up]


stage.play(case, HERE)
