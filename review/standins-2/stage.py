"""Stand-ins for the cases of the second review: platform, discovery, servers and clients on loopback.

They follow PROTOCOL and DEPLOY. Every address is a loopback address; ports are free ones; files that the program
reads are in a temporary folder. Only the standard library is used.
"""
import ctypes
import json
import os
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
START = time.monotonic()


def now():
    """Seconds since the case started."""
    return time.monotonic() - START


class Record:
    """record.txt: what was sent, answered and run, with the time in seconds."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def add(self, text):
        with self.lock:
            self.file.write("%9.4f %s\n" % (now(), text))
            self.file.flush()


def start(command, **more):
    """Starts a process that ends with this one, whatever ends it."""
    library = ctypes.CDLL(None)
    return subprocess.Popen(command, preexec_fn=lambda: library.prctl(1, signal.SIGKILL), **more)


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def settings(effect="safe", deadline_ms=3000, aim_ms=500, window_ms=5000, scope="all", attempts=4, balancers=1,
             extra_classes=()):
    """Settings in the form of WIRE's sample, with the figures of the site kolobeh-sk-main where not given."""
    classes = [dict(name="telemetry", repeat=effect, give_up_us=deadline_ms * 1000, slo_us=aim_ms * 1000,
                    window_us=window_ms * 1000, dedup_scope=scope, late_value=0.0, gain=1.0, stream=True)]
    classes += extra_classes
    return {
        "balancers": balancers, "me": 0, "family": "conn", "clients": {"marks_retry": False},
        "invariants": {"answer_slack_us": 20000, "cold_share": 0.13, "fall_us": 2000000, "must_ask_in_us": 10000000,
                       "overload_factor": 2.5, "stop_sending_within_us": 250000, "warm_within_us": 24000000},
        "kinds": ["fast", "medium", "slow"],
        "limits": {"conn_idle_us": 5000000, "connect_timeout_us": 250000, "cpu_us_per_request": 10.0,
                   "cpu_us_per_s": 8000, "max_attempts": attempts, "max_retry_after_us": 1500000, "may_cancel": True,
                   "open_cap": 1000000, "peers": False, "probes": True, "retry_after": False, "second_copies": False,
                   "streams_per_conn": 1048576},
        "objective_mix": {"whole": 0.55, "worst_class": 0.0, "worst_tenant": 0.0, "worst_window": 0.45},
        "over_share_worth": 0.1,
        "prices": {"connection": 0.0, "cross_zone": 0.03, "handshake": 0.0, "late_fail": 0.12, "moves": 0.03,
                   "origin": 0.0, "peer": 0.0, "probe": 0.0018, "registry_mode": 0.0, "waste": 0.04},
        "projects": [], "registry_mode": "ask", "report": {"fields": ["latency_ms", "util", "x0"], "how": "probe"},
        "request_classes": classes,
        "specifics": {"groups": True, "message_aim_us": [150000.0] * len(classes), "mode": "proxy", "park_us": 0,
                      "tells_delay": True, "tells_load": False},
        "tick_us": 5000, "tier": 0, "value_by": "request", "weight_kind": "nominal", "zone": "bratislava",
        "zones": ["bratislava", "zilina", "kosice"],
    }


class Lines:
    """A connection that is read by lines."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def read(self, timeout=None):
        """The next line without its end; '' at the end of the connection, None at the time-out."""
        self.sock.settimeout(timeout)
        until = None if timeout is None else time.monotonic() + timeout
        while b"\n" not in self.buffer:
            try:
                data = self.sock.recv(65536)
            except (TimeoutError, BlockingIOError):
                return None
            except OSError:
                return ""
            if not data:
                return ""
            self.buffer += data
            if until is not None:
                self.sock.settimeout(max(0.0001, until - time.monotonic()))
        line, self.buffer = self.buffer.split(b"\n", 1)
        return line.decode("latin-1").rstrip("\r")

    def send(self, line):
        try:
            self.sock.settimeout(5)
            self.sock.sendall(line.encode("latin-1") + b"\r\n")
            return True
        except OSError:
            return False

    def close(self):
        try:
            self.sock.close()
        except OSError:
            pass


def listener(port=0, backlog=128):
    s = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind(("127.0.0.1", port))
    s.listen(backlog)
    return s


def thread(function, *arguments):
    t = threading.Thread(target=function, args=arguments, daemon=True)
    t.start()
    return t


class Server:
    """A server as PROTOCOL has it. `on_open(server, connection, line)` decides about a request; by default it is
    served: UP, and then each line of the client is answered with a line. While `hung`, requests are taken and run
    and nothing is answered, probes neither."""

    def __init__(self, record, name, on_open=None, cell=1, zone="bratislava", port=0):
        self.record, self.name, self.cell, self.zone = record, name, cell, zone
        self.on_open = on_open
        self.hung = threading.Event()
        self.status, self.since_ms = "ready", 0
        self.socket = listener(port)
        self.port = self.socket.getsockname()[1]
        thread(self.accept)

    def entry(self):
        return {"name": self.name, "address": "127.0.0.1:%d" % self.port, "zone": self.zone, "type": "medium",
                "group": self.cell, "status": self.status, "weight": 1.0, "since_ms": self.since_ms}

    def accept(self):
        while True:
            try:
                sock, _ = self.socket.accept()
            except OSError:
                return
            thread(self.serve, Lines(sock))

    def serve(self, connection):
        while True:
            line = connection.read()
            if not line:
                return connection.close()
            if line.startswith("OPEN "):
                self.record.add("%s got  %s" % (self.name, line))
                if self.on_open:
                    self.on_open(self, connection, line)
                else:
                    self.up(connection, line)
                return None
            if self.hung.is_set():
                continue
            connection.send("PONG latency_ms=5,util=0.2,x0=0.2" if line == "STATS" else "PONG")

    def up(self, connection, line):
        """Serves the connection until its end."""
        self.record.add("%s answers UP to %s" % (self.name, line.split()[1]))
        connection.send("UP %s-%s" % (self.name, line.split()[1]))
        while True:
            text = connection.read()
            if not text:
                return connection.close()
            if not self.hung.is_set():
                connection.send("OK " + text)


class Discovery:
    """Service discovery: the whole list, and watches."""

    def __init__(self, record, servers):
        self.record, self.servers = record, servers
        self.version, self.changed = 41, threading.Condition()
        self.changes = []
        self.socket = listener()
        self.address = "127.0.0.1:%d" % self.socket.getsockname()[1]
        thread(self.accept)

    def known(self):
        return {"index": self.version, "snapshot": True, "endpoints": [s.entry() for s in self.servers]}

    def tell(self, server, status):
        with self.changed:
            server.status = status
            self.version += 1
            self.changes.append((self.version, server.entry()))
            self.changed.notify_all()

    def accept(self):
        while True:
            try:
                sock, _ = self.socket.accept()
            except OSError:
                return
            thread(self.serve, Lines(sock))

    def serve(self, connection):
        while True:
            request = connection.read()
            if not request:
                return connection.close()
            while connection.read():
                pass
            target = request.split()[1]
            query = dict(p.split("=") for p in target.split("?")[1].split("&")) if "?" in target else {}
            with self.changed:
                if "from" in query:
                    since = int(query["from"])
                    self.changed.wait_for(lambda: self.version > since, int(query["hold_ms"]) / 1000)
                    body = {"index": self.version, "snapshot": False,
                            "endpoints": [entry for version, entry in self.changes if version > since]}
                else:
                    body = self.known()
            text = json.dumps(body)
            if not connection.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                                   % (len(text) + 2, text)):
                return connection.close()


class Balancer:
    """One process of the program, started with the `run` line of the deploy file."""

    def __init__(self, record, folder, name, discovery, values, **more):
        self.record, self.name = record, name
        self.port = free_port()
        self.address = "127.0.0.1:%d" % self.port
        self.path = os.path.join(folder, name + ".json")
        self.config = {"name": name, "listen": self.address, "discovery": discovery.address,
                       "seed": os.urandom(8).hex(), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
                       "known": discovery.known(), "settings": values}
        self.config.update(more)
        self.write()
        scratch = os.path.join(folder, name + ".tmp")
        os.makedirs(scratch)
        environment = dict(os.environ, BALANCER_NAME=name, BALANCER_LISTEN=self.address,
                           BALANCER_DISCOVERY=discovery.address, BALANCER_CONFIG=self.path, TMPDIR=scratch)
        self.log = open(os.path.join(folder, name + ".log"), "wb")
        self.process = start(["/bin/sh", "-c", run_line()], cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)
        until = time.monotonic() + 20
        while not self.ready():
            if time.monotonic() > until or self.process.poll() is not None:
                raise RuntimeError("%s does not start" % name)
            time.sleep(0.05)
        record.add("%s is ready on %s" % (name, self.address))

    def write(self):
        with open(self.path + ".new", "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        os.replace(self.path + ".new", self.path)

    def ready(self):
        try:
            with socket.create_connection(("127.0.0.1", self.port), 1) as s:
                connection = Lines(s)
                connection.send("PING")
                return connection.read(1) == "PONG"
        except OSError:
            return False

    def signal(self, number):
        self.record.add("%s to %s" % (signal.Signals(number).name, self.name))
        self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def run_line():
    with open(os.path.join(ROOT, "deploy/balancer.toml"), encoding="utf-8") as file:
        for line in file:
            if line.startswith("run"):
                return line.split('"')[1]
    raise RuntimeError("deploy/balancer.toml has no run line")


def connect(balancer):
    return Lines(socket.create_connection(("127.0.0.1", balancer.port), 2))


def identity(number):
    return "%016x" % (0x9b1f03aa5c7e0000 + number), "%016x" % (0x7f3a9c21e0b40000 + number)


def play(case, folder_of_case):
    """Runs `case(record, folder, trouble, balancers)`, which returns a list of what broke the rule.

    Exits with 0 if there is nothing, 11 if there is something, and 2 if the case could not run.
    """
    record = Record(os.path.join(folder_of_case, "record.txt"))
    code, balancers = 2, []

    def cut_short(*_):
        raise RuntimeError("cut short")

    signal.signal(signal.SIGTERM, cut_short)
    with tempfile.TemporaryDirectory() as folder:
        try:
            broken = case(record, folder, os.environ.get("TROUBLE") != "0", balancers)
            for line in broken:
                record.add("BROKEN: " + line)
                print("BROKEN: " + line)
            code = 11 if broken else 0
        except Exception as error:  # pylint: disable=broad-except
            record.add("could not run: %r" % error)
            print("could not run: %r" % error)
        finally:
            for balancer in balancers:
                balancer.end()
            if os.environ.get("KEEP_LOGS"):
                for name in os.listdir(folder):
                    if name.endswith(".log"):
                        with open(os.path.join(folder, name), "rb") as source:
                            with open(os.path.join(os.environ["KEEP_LOGS"], name), "wb") as to:
                                to.write(source.read())
    record.add({0: "the rule held", 11: "the rule was broken"}.get(code, "the case could not run"))
    os._exit(code)
