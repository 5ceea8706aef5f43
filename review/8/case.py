"""A QUIC worker crashes after it has run a keyed command; the command is sent to a worker of another cell."""
import json
import os
import subprocess
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import stage  # noqa: E402

PEERS = os.path.join(HERE, "..", "standins-2", "quic_peers")
WORK_MS, CALLS = 120, 8


class Worker:
    """A worker in a process of its own, as discovery lists it."""

    def __init__(self, record, name, cell, ran):
        self.record, self.name, self.cell, self.ran = record, name, cell, ran
        self.port, self.status = stage.free_port(), "ready"
        self.start()

    def start(self):
        self.process = stage.start([PEERS, "worker", str(self.port), str(WORK_MS)], stdout=subprocess.PIPE, text=True)
        if self.process.stdout.readline().strip() != "READY":
            raise RuntimeError("%s does not start" % self.name)
        threading.Thread(target=self.follow, args=(self.process,), daemon=True).start()

    def follow(self, process):
        for line in process.stdout:
            self.record.add("%s %s" % (self.name, line.strip()))
            if line.startswith("RUN "):
                self.ran(self, line.split()[1])

    def entry(self):
        return {"name": self.name, "address": "127.0.0.1:%d" % self.port, "zone": "bratislava", "type": "medium",
                "group": self.cell, "status": self.status, "weight": 1.0, "since_ms": 0}

    def kill(self):
        self.record.add("SIGKILL to %s" % self.name)
        self.process.kill()
        self.process.wait()


def case(record, folder, trouble, balancers):
    runs, workers, lock = {}, [], threading.Lock()

    def ran(worker, command):
        with lock:
            runs.setdefault(command, []).append(worker)
            first = len(runs[command]) == 1
        if trouble and first:
            worker.kill()  # it crashes in the middle of its work

    try:
        workers += [Worker(record, "s-%d" % i, 1 + i // 2, ran) for i in range(6)]
        discovery = stage.Discovery(record, workers)
        port = stage.free_port(stage.socket.SOCK_DGRAM)
        quic = os.path.join(folder, "quic.json")
        with open(os.path.join(stage.ROOT, "deploy/quic.json"), encoding="utf-8") as file:
            values = json.load(file)
        values.update(enabled=True, listen="127.0.0.1:%d" % port)
        with open(quic, "w", encoding="utf-8") as file:
            json.dump(values, file)
        balancers.append(stage.Balancer(record, folder, "n1", discovery, 
                                       stage.settings(effect="keyed", scope="cell"), quic=quic))
        time.sleep(1)
        heard = 0
        for number in range(CALLS):
            client = subprocess.run([PEERS, "client", str(port), "lock-%d" % number, "3500"], capture_output=True,
                                    text=True, timeout=10, check=True)
            for line in client.stdout.splitlines():
                record.add("client lock-%d %s" % (number, line))
                heard += line.startswith("HEARD") and "nothing" not in line
            for worker in workers:  # a worker that crashed is started again
                if worker.process.poll() is not None:
                    worker.start()
            time.sleep(2.5)
        if not heard:
            raise RuntimeError("no client was answered")
        return ["command %s ran at %s of cell %d and again at %s of cell %d, which does not know its key"
                % (command, at[0].name, at[0].cell, other.name, other.cell)
                for command, at in sorted(runs.items()) for other in at[1:] if other.cell != at[0].cell]
    finally:
        for worker in workers:
            worker.process.kill()
            worker.process.wait()


stage.play(case, HERE)
