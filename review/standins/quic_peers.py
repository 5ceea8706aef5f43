"""Stand-ins for both sides of the QUIC front: gateways that accept connections, and scooters with one UDP socket
each that carry one or more connections and may change their address.

Handshakes consist of the two Initials, which are real ones. Packets of an open connection (RFC 9000, 17.3) stand
for themselves: header octet, destination id, and where the protected octets would be a request or its answer."""

import asyncio
import hashlib
import json
import os
import socket

import initials
import marble

ROTATION, SERVER_ID_LENGTH, NONCE_LENGTH = 0, 4, 6
ID_LENGTH = 1 + SERVER_ID_LENGTH + NONCE_LENGTH


def routable_id(gateway):
    """An id that names its gateway (QUIC-LB, 3, in the clear), as docs/quic.md says."""
    name = hashlib.sha256(gateway.encode()).digest()[:SERVER_ID_LENGTH]
    return bytes([ROTATION << 5 | ID_LENGTH - 1]) + name + os.urandom(NONCE_LENGTH)


def unroutable_id():
    """An id of a gateway that has no id configuration: codepoint 0b111 (QUIC-LB, 3.1)."""
    return bytes([0b111 << 5 | ID_LENGTH - 1]) + os.urandom(ID_LENGTH - 1)


def front_file(folder, listen, klass, **changes):
    """deploy/quic.json as shipped, turned on."""
    file = json.loads((marble.ROOT / "deploy/quic.json").read_text(encoding="utf-8"))
    file.update({"enabled": True, "listen": listen, "class": klass}, **changes)
    path = folder / "quic.json"
    path.write_text(json.dumps(file), encoding="utf-8")
    return str(path)


class Gateway(marble.Server, asyncio.DatagramProtocol):
    """A server whose address takes probes over TCP and QUIC over UDP. `runs` has each connection that was begun here
    and each request that was run: (time, what, connection, number)."""

    def __init__(self, record, name, configured=True, **more):
        super().__init__(record, name, **more)
        self.configured = configured  # has an id configuration; until then its ids are unroutable
        self.connections = {}  # own id -> (client's id, first destination id)
        self.begun = {}        # (first destination id, client's id) -> own id
        self.renewed = {}      # an unroutable id -> the one that it was replaced with
        self.strays = 0        # packets for connections that are not this gateway's

    async def start(self):
        while True:  # until a port is free on TCP and on UDP
            await super().start()
            try:
                self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                    lambda: self, local_addr=marble.host_port(self.address))
                return
            except OSError:
                self.server.close()

    def connection_made(self, transport):
        pass

    def datagram_received(self, data, address):
        if data[0] == 0x04:
            return self.record(f"gateway {self.name}: control message {data[1:]!r}")
        if data[0] & 0x80:
            return self.initial(data, address)
        own = data[1:1 + ID_LENGTH]
        known = self.connections.get(own)
        if not known:
            self.strays += 1
            return self.record(f"gateway {self.name}: packet to {own.hex()}, which is no connection of this gateway")
        what = data[1 + ID_LENGTH:].rstrip(b"\0")
        if what == b"CLOSE":
            self.transport.sendto(b"\x04MARBLE1 END " + own.hex().encode(), address)
            del self.connections[own]
            return self.record(f"gateway {self.name}: connection {own.hex()} has ended")
        self.runs.append((self.record.now(), "request", own.hex(), what))
        self.record(f"gateway {self.name}: runs {what.decode()} of {own.hex()}")
        answer = b"ANSWER " + what
        if self.configured and own[0] >> 5 == 0b111:  # as NEW_CONNECTION_ID does, with the older one retired
            issued = self.renewed.setdefault(own, self.own_id())
            self.connections[issued] = known
            answer = b"ID " + issued.hex().encode() + b" " + answer
        self.transport.sendto(bytes([0x43]) + known[0] + answer.ljust(48, b"\0"), address)

    def initial(self, data, address):
        destination, source, _ = initials.long_header(data)
        own = self.begun.get((destination, source))
        if not own:
            if initials.open_initial(initials.Keys(destination, False), data) is None:
                return self.record(f"gateway {self.name}: an Initial that does not open")
            own = self.begun[destination, source] = self.own_id()
            self.connections[own] = (source, destination)
            self.runs.append((self.record.now(), "connection", source.hex(), destination))
            self.record(f"gateway {self.name}: begins connection {own.hex()} of client id {source.hex()}")
        self.transport.sendto(initials.server_initial(destination, source, own), address)

    def own_id(self):
        return routable_id(self.name) if self.configured else unroutable_id()

    def leave(self):
        super().leave()
        self.transport.close()


class Connection:
    """A client's end of a connection."""

    def __init__(self):
        self.source, self.first_destination = os.urandom(8), os.urandom(8)
        self.destination = None       # the gateway's id
        self.refused = False
        self.changed = asyncio.Event()
        self.answers = {}             # number of a request -> how often it was answered
        self.requests = 0


class Scooter:
    """A client with one UDP socket."""

    def __init__(self, record, name, router):
        self.record, self.name, self.router = record, name, marble.host_port(router)
        self.connections = {}
        self.socket = None
        self.move()

    def move(self):
        """Another cell tower: from now on the address is another one."""
        old, self.socket = self.socket, socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.setblocking(False)
        loop = asyncio.get_running_loop()
        if old:
            loop.remove_reader(old.fileno())
            old.close()
        loop.add_reader(self.socket.fileno(), self.receive)
        self.record(f"scooter {self.name}: has port {self.socket.getsockname()[1]}")

    def leave(self):
        asyncio.get_running_loop().remove_reader(self.socket.fileno())
        self.socket.close()

    def receive(self):
        while True:
            try:
                data = self.socket.recv(2000)
            except (BlockingIOError, ConnectionError):
                return
            if data[0] & 0x80:
                if data[0] & 0x30:
                    continue  # no Initial
                destination, source, _ = initials.long_header(data)
                connection = self.connections.get(destination)
                if not connection or connection.destination:
                    continue
                frames = initials.open_initial(initials.Keys(connection.first_destination, True), data)
                if frames is None:
                    self.record(f"scooter {self.name}: an Initial that does not open")
                elif frames[0] == 0x1C:
                    connection.refused = True
                else:
                    connection.destination = source
                connection.changed.set()
            elif connection := self.connections.get(data[1:9]):
                words = data[9:].rstrip(b"\0").decode().split()
                number = words[-1]
                if words[0] == "ID" and connection.destination.hex() != words[1]:
                    connection.destination = bytes.fromhex(words[1])
                    self.record(f"scooter {self.name}: uses id {words[1]} from now on")
                connection.answers[number] = connection.answers.get(number, 0) + 1
                connection.changed.set()

    def send(self, data):
        try:
            self.socket.sendto(data, self.router)
        except OSError:
            pass  # the router's port is closed

    async def repeat(self, connection, data, done, wait, every):
        """Sends until done() is true, as a client does that gets no acknowledgement; returns whether it is."""
        until = asyncio.get_running_loop().time() + wait
        while not done():
            left = until - asyncio.get_running_loop().time()
            if left <= 0:
                return False
            connection.changed.clear()
            self.send(data)
            again = min(left, every)
            while not done() and again > 0:
                begin = asyncio.get_running_loop().time()
                try:
                    await asyncio.wait_for(connection.changed.wait(), again)
                except asyncio.TimeoutError:
                    break
                connection.changed.clear()
                again -= asyncio.get_running_loop().time() - begin
        return True

    async def open(self, wait=3.0):
        """Opens a connection; returns it, up, refused or without an answer."""
        connection = Connection()
        self.connections[connection.source] = connection
        packet = initials.client_initial(connection.first_destination, connection.source)
        self.record(f"scooter {self.name}: Initial of client id {connection.source.hex()}")
        await self.repeat(connection, packet, lambda: connection.destination or connection.refused, wait, 1.0)
        ending = "is refused" if connection.refused else \
            f"is up, {connection.destination.hex()}" if connection.destination else "has no answer"
        self.record(f"scooter {self.name}: connection {connection.source.hex()} {ending}")
        return connection

    async def request(self, connection, name, wait=3.0, every=0.5):
        """Sends a request on an open connection, again each `every` seconds; returns whether it was answered."""
        connection.requests += 1
        number = f"{name}-{self.name}-{connection.requests}"
        packet = bytes([0x43]) + connection.destination + number.encode().ljust(40, b"\0")
        answered = await self.repeat(connection, packet, lambda: number in connection.answers, wait, every)
        self.record(f"scooter {self.name}: {number} {'is answered' if answered else 'HAS NO ANSWER'}")
        return answered

    def close(self, connection):
        self.send(bytes([0x43]) + connection.destination + b"CLOSE".ljust(40, b"\0"))
        self.record(f"scooter {self.name}: closes connection {connection.source.hex()}")
