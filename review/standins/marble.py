"""Stand-ins for the platform, servers and clients, by the users' protocol page. One asyncio process; the
balancers are started beside it as separate processes with the `run` command of the deploy file."""

import asyncio
import ctypes
import json
import os
import pathlib
import re
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played; exit code 2."""


class Record:
    """record.txt of a case: what was sent, answered and run, with times in seconds from the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        line = f"{self.now():8.3f}  {text}"
        self.file.write(line + "\n")
        self.file.flush()


async def quietly(conversation, writer):
    """Runs a stand-in's side of one connection, and closes it; ends without a word with the test."""
    try:
        await conversation
    except asyncio.CancelledError:
        pass
    finally:
        writer.close()


def free_address(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % s.getsockname()[1]


def host_port(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


def run_command():
    """The `run` line of the deploy file."""
    text = (ROOT / "deploy/balancer.toml").read_text(encoding="utf-8")
    match = re.search(r'^run = "([^"]*)"', text, re.M)
    if not match:
        raise CannotRun("the deploy file has no run line")
    return match.group(1)


def request_class(name, repeat="safe", scope="all", aim_ms=500, give_up_ms=3000, window_ms=5000):
    return {"name": name, "slo_us": aim_ms * 1000, "give_up_us": give_up_ms * 1000, "repeat": repeat,
            "dedup_scope": scope, "window_us": window_ms * 1000, "stream": True, "gain": 1.0, "late_value": 0.0}


def settings(classes, balancers=3, me=0, mode="ask", max_attempts=4, zones=("bratislava", "zilina", "kosice")):
    """The settings of a small deployment: the names and units of the wire page, the figures of the site."""
    return {
        "balancers": balancers, "me": me, "family": "conn", "tier": 0, "stages": ["scooter-gateways"],
        "zone": zones[0], "zones": list(zones), "kinds": ["fast", "medium", "slow"], "registry_mode": mode,
        "weight_kind": "nominal", "value_by": "request", "tick_us": 5000, "over_share_worth": 0.1,
        "clients": {"marks_retry": False}, "projects": [],
        "limits": {"conn_idle_us": 5000000, "connect_timeout_us": 250000, "cpu_us_per_request": 10.0,
                   "cpu_us_per_s": 8000, "max_attempts": max_attempts, "max_retry_after_us": 1500000,
                   "may_cancel": True, "open_cap": 1000000, "peers": False, "probes": True,
                   "retry_after": False, "second_copies": False, "streams_per_conn": 1048576},
        "invariants": {"answer_slack_us": 20000, "cold_share": 0.13, "fall_us": 2000000,
                       "must_ask_in_us": 10000000, "overload_factor": 2.5, "stop_sending_within_us": 250000,
                       "warm_within_us": 24000000},
        "objective_mix": {"whole": 0.55, "worst_class": 0.0, "worst_tenant": 0.0, "worst_window": 0.45},
        "prices": {"connection": 0.0, "cross_zone": 0.03, "handshake": 0.0, "late_fail": 0.12, "moves": 0.03,
                   "origin": 0.0, "peer": 0.0, "probe": 0.0018, "registry_mode": 0.0, "waste": 0.04},
        "report": {"fields": ["avg_ms", "cpu", "x0"], "how": "pull"},
        "specifics": {"groups": False, "message_aim_us": [150000.0] * len(classes), "mode": "proxy",
                      "park_us": 0, "tells_delay": True, "tells_load": False},
        "request_classes": classes,
    }


class Discovery:
    """Discovery by the protocol page: the whole list, and watches that are answered at the next change."""

    def __init__(self, record, name="discovery"):
        self.record, self.name = record, name
        self.address = None
        self.index = 41
        self.entries = {}   # name -> entry
        self.history = []   # (index, entry)
        self.changed = asyncio.Condition()
        self.calls = 0
        self.told = {}      # server name -> time at which a change to a status was first written out

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        self.server = server

    def add(self, server, status="ready"):
        self.entries[server.name] = {"name": server.name, "address": server.address, "zone": server.zone,
                                     "type": "medium", "group": server.group, "status": status, "weight": 1.0,
                                     "since_ms": 0}

    def snapshot(self):
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    async def change(self, name, status):
        self.index += 1
        entry = dict(self.entries[name], status=status)
        if status == "gone":
            del self.entries[name]
        else:
            self.entries[name] = entry
        self.history.append((self.index, entry))
        self.record(f"{self.name}: {name} is {status}, version {self.index}")
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        await quietly(self.converse(reader, writer), writer)

    async def converse(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ", 2)[1].decode()
                self.calls += 1
                self.record(f"{self.name}: asked {path}")
                query = dict(p.split("=") for p in path.partition("?")[2].split("&") if p)
                if "from" in query:
                    since, hold = int(query["from"]), min(int(query.get("hold_ms", 0)), 60000) / 1000
                    until = time.monotonic() + hold
                    while self.index <= since and time.monotonic() < until:
                        try:
                            async with self.changed:
                                await asyncio.wait_for(self.changed.wait(), max(0.001, until - time.monotonic()))
                        except asyncio.TimeoutError:
                            pass
                    answer = {"index": self.index, "snapshot": False,
                              "endpoints": [e for i, e in self.history if i > since]}
                else:
                    answer = self.snapshot()
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % len(body) + body)
                await writer.drain()
                for entry in answer["endpoints"]:
                    if entry["status"] != "ready":
                        self.told.setdefault(entry["name"], self.record.now())
        except (asyncio.IncompleteReadError, ConnectionError):
            pass


class Server:
    """A server: PING and STATS are probes, OPEN is answered UP, then each line is returned at once.

    `setup` is the time in seconds that it takes to bring a connection up, by class."""

    def __init__(self, record, name, zone="bratislava", group=0, setup=None):
        self.record, self.name, self.zone, self.group = record, name, zone, group
        self.setup = setup or {}
        self.address = None
        self.runs = []       # (time, id, key, class) of each OPEN line whose last byte has come
        self.up = set()      # ids that were answered UP
        self.standing = {}   # the open connections of those, by id
        self.answers = asyncio.Event()  # cleared while the server hangs: it takes lines and answers none
        self.answers.set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        await quietly(self.converse(reader, writer), writer)

    async def converse(self, reader, writer):
        ident = None
        try:
            while True:
                line = (await reader.readuntil(b"\n")).decode().rstrip("\r\n")
                if ident is not None:
                    await self.answers.wait()
                    writer.write(f"OK {line}\r\n".encode())
                elif line == "PING":
                    await self.answers.wait()
                    writer.write(b"PONG\r\n")
                elif line == "STATS":
                    await self.answers.wait()
                    writer.write(b"PONG avg_ms=5,cpu=0.2,x0=0.2\r\n")
                else:
                    verb, ident, key, fields = line.split(" ")
                    fields = dict(f.split("=") for f in fields.split(","))
                    assert verb == "OPEN"
                    self.runs.append((self.record.now(), ident, key, fields["c"]))
                    self.record(f"server {self.name}: has run {line}")
                    await asyncio.sleep(self.setup.get(fields["c"], 0.005))
                    await self.answers.wait()
                    writer.write(f"UP r-{self.name}-{ident}\r\n".encode())
                    self.up.add(ident)
                    self.standing[ident] = writer
                    self.record(f"server {self.name}: answers UP {ident}")
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            if ident:
                self.standing.pop(ident, None)
                self.record(f"server {self.name}: connection of {ident} has ended")

    def hang(self, on=True):
        """Takes lines and answers none, or answers again."""
        self.record(f"server {self.name}: {'hangs' if on else 'answers again'}")
        self.answers.clear() if on else self.answers.set()

    def leave(self):
        """Ends as a process does: no new connections, and the open ones are reset."""
        self.server.close()
        for writer in list(self.standing.values()):
            writer.transport.abort()


STARTED = []  # all processes of this test
LIBC = ctypes.CDLL(None)


def die_with_parent():
    """In a process just started: it gets SIGKILL should this one end without having ended it."""
    LIBC.prctl(1, signal.SIGKILL)


def end_all(*_):
    for process in STARTED:
        if process.returncode is None:
            process.kill()
    os._exit(2)


class Balancer:
    """A balancer, started as the platform starts it."""

    def __init__(self, record, name, folder, discovery, config_settings, known, extra=None, sockets=512):
        self.record, self.name, self.folder = record, name, pathlib.Path(folder)
        self.listen = free_address()
        self.process = None
        self.config = {"name": name, "listen": self.listen, "discovery": discovery, "seed": os.urandom(8).hex(),
                       "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "known": known,
                       "settings": config_settings}
        self.config.update(extra or {})
        self.config_path = self.folder / f"{name}.json"

    def write_config(self):
        self.config_path.write_text(json.dumps(self.config), encoding="utf-8")

    async def start(self):
        if not (ROOT / "build/marblehub").exists():
            raise CannotRun("build/marblehub is missing: run the build of the deploy file first")
        self.write_config()
        temporary = self.folder / f"tmp-{self.name}"
        temporary.mkdir(exist_ok=True)
        env = {**os.environ, "BALANCER_NAME": self.name, "BALANCER_LISTEN": self.listen, "TMPDIR": str(temporary),
               "BALANCER_DISCOVERY": self.config["discovery"], "BALANCER_CONFIG": str(self.config_path)}
        self.log = open(self.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run_command(), cwd=ROOT, env=env, stdout=self.log, stderr=self.log,
            preexec_fn=die_with_parent)
        STARTED.append(self.process)
        self.record(f"balancer {self.name}: started")
        await self.ready()

    async def ready(self):
        for _ in range(300):
            if self.process.returncode is not None:
                raise CannotRun(f"balancer {self.name} has ended with {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection(*host_port(self.listen))
                writer.write(b"PING\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if line == b"PONG\r\n":
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"balancer {self.name} is not ready after 30 s")

    def send(self, number):
        self.record(f"balancer {self.name}: gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ended(self, within):
        try:
            return await asyncio.wait_for(self.process.wait(), within)
        except asyncio.TimeoutError:
            return None

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Attempt:
    """One connection of a client: its OPEN line, the first answer, and the lines after it."""

    def __init__(self, record, client, ident):
        self.record, self.client, self.ident = record, client, ident
        self.answer, self.answered_at, self.sent_at = None, None, None
        self.end = None


def new_id():
    return os.urandom(8).hex()


async def open_connection(record, address, client, key, klass, wait_ms, extra="", hold=0.0, give_up=None):
    """A client's connection: sends OPEN, waits for the answer as long as it said, then holds the connection for
    `hold` seconds, sending a line every 2 s. Returns the Attempt; `answer` is None without one."""
    attempt = Attempt(record, client, new_id())
    try:
        reader, writer = await asyncio.open_connection(*host_port(address))
    except OSError:
        attempt.answer = "no connection"
        record(f"client {client}: cannot connect to {address}")
        return attempt
    try:
        line = f"OPEN {attempt.ident} {key} c={klass},d={wait_ms},g={key}{extra}"
        writer.write((line + "\r\n").encode())
        await writer.drain()
        attempt.sent_at = record.now()
        record(f"client {client}: sends {line}")
        try:
            data = await asyncio.wait_for(reader.readline(), give_up or wait_ms / 1000 + 0.5)
        except asyncio.TimeoutError:
            data = None
        except ConnectionError:
            data = b""
        attempt.answered_at = record.now()
        if data is None:
            attempt.answer = None
            record(f"client {client}: no answer to {attempt.ident}")
            return attempt
        attempt.answer = data.decode().rstrip("\r\n") if data else "closed"
        record(f"client {client}: {attempt.ident} is answered {attempt.answer}")
        if attempt.answer.startswith("UP"):
            attempt.end = await stay(record, client, reader, writer, hold)
        return attempt
    finally:
        writer.close()


async def stay(record, client, reader, writer, hold):
    """An open connection: a line every 2 s. Returns how it ended: MOVE, closed, or held to the end."""
    until = time.monotonic() + hold
    next_line = time.monotonic() + 2
    while time.monotonic() < until:
        wait = min(until, next_line) - time.monotonic()
        try:
            data = await asyncio.wait_for(reader.readline(), max(0.001, wait))
        except asyncio.TimeoutError:
            if time.monotonic() >= next_line and time.monotonic() < until:
                writer.write(b"REPORT battery=71\r\n")
                next_line += 2
            continue
        except ConnectionError:
            data = b""
        if not data:
            record(f"client {client}: its connection is closed")
            return "closed"
        if data.strip() == b"MOVE":
            record(f"client {client}: is moved")
            return "MOVE"
    return "held"


def main(case, folder):
    """Runs case(record, temporary folder); it returns the list of broken rules. Exits as run.sh has to."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, end_all)
    record = Record(pathlib.Path(folder) / "record.txt")
    record(f"TROUBLE={1 if TROUBLE else 0}")
    code = 2
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            broken = asyncio.run(case(record, pathlib.Path(temporary)))
        for line in broken:
            record(f"BROKEN {line}")
            print(f"BROKEN {line}")
        code = 1 if broken else 0
        record("result: the rule was broken" if broken else "result: the rule held")
        print("the rule was broken" if broken else "the rule held")
    except CannotRun as error:
        record(f"result: could not run: {error}")
        print(f"could not run: {error}")
    except Exception as error:  # a fault of the test is no result
        record(f"result: could not run: {error!r}")
        print(f"could not run: {error!r}")
    sys.exit(code)
