"""Stand-ins for the QUIC front: gateways on UDP beside their TCP lines, and clients that change their address.

The router opens no packet but a gateway's Initials, so packets of an open connection (short headers, RFC 9000,
17.3) stand here for themselves: header octet, destination id, then octets that nobody reads."""

import asyncio
import hashlib
import json
import os
import socket

import marble

ROTATION, SERVER_ID_LENGTH, NONCE_LENGTH = 0, 4, 6


def unroutable_id():
    """An id of a gateway that has no id configuration: codepoint 0b111 (QUIC-LB, 3.1)."""
    return bytes([0b111 << 5 | 7]) + os.urandom(7)


def routable_id(gateway):
    """An id that names its gateway (QUIC-LB, 3, in the clear), as docs/quic.md says."""
    name = hashlib.sha256(gateway.encode()).digest()[:SERVER_ID_LENGTH]
    return bytes([ROTATION << 5 | SERVER_ID_LENGTH + NONCE_LENGTH]) + name + os.urandom(NONCE_LENGTH)


def short_packet(destination):
    return bytes([0x43]) + destination + os.urandom(60)


def front_file(folder, listen, klass, **changes):
    """deploy/quic.json as shipped, turned on."""
    file = json.loads((marble.ROOT / "deploy/quic.json").read_text(encoding="utf-8"))
    file.update({"enabled": True, "listen": listen, "class": klass}, **changes)
    path = folder / "quic.json"
    path.write_text(json.dumps(file), encoding="utf-8")
    return str(path)


class Gateway(marble.Server, asyncio.DatagramProtocol):
    """A server whose address takes TCP lines and QUIC datagrams. It answers each packet of an open connection
    with one of its own, to the address that it came from."""

    client_id = b"client-1"

    async def start(self):
        self.packets = 0
        while True:  # until a port is free on TCP and on UDP
            await super().start()
            try:
                self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                    lambda: self, local_addr=marble.host_port(self.address))
                return
            except OSError:
                self.server.close()

    def datagram_received(self, data, address):
        if data[0] == 0x04:
            return self.record(f"gateway {self.name}: control message {data[1:]!r}")
        if data[0] & 0x80:
            return self.record(f"gateway {self.name}: a long header")
        self.packets += 1
        self.record(f"gateway {self.name}: packet to id {data[1:12].hex()} through {address}")
        self.transport.sendto(short_packet(self.client_id)[:60], address)


class Client:
    """A client with an open QUIC connection; `move` gives it another address."""

    def __init__(self, record, router):
        self.record, self.router = record, marble.host_port(router)
        self.answers = 0
        self.move()

    def move(self):
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.setblocking(False)
        self.record(f"client: has address {self.socket.getsockname()}")

    async def packet(self, destination, within=1.0):
        """Sends one packet; returns whether the gateway's answer came."""
        self.socket.sendto(short_packet(destination), self.router)
        self.record(f"client: packet to id {destination.hex()}")
        try:
            await asyncio.wait_for(asyncio.get_running_loop().sock_recv(self.socket, 2000), within)
        except (asyncio.TimeoutError, OSError):
            self.record("client: no answer")
            return False
        self.record("client: is answered")
        self.answers += 1
        return True
