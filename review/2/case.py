"""Case 2: a client is given half a line of its server as if it were a whole one.

Six servers; their lines come in two pieces. One of them hangs in the middle of its work: of the line that it was
writing, the second piece does not come. Clients send a line every 2 s and read what they get, line by line."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
import marble  # noqa: E402

SERVERS, CLIENTS, HANG_S, RUN_S = 6, 30, 10.0, 14.0


class Server(marble.Server):
    """A server that answers each line of an open connection with an order, in two pieces."""

    def __init__(self, record, name, **more):
        super().__init__(record, name, **more)
        self.sent = {}  # id -> the lines that were sent whole, as the server means them

    async def converse(self, reader, writer):
        ident = None
        try:
            while True:
                line = (await reader.readuntil(b"\n")).decode().rstrip("\r\n")
                if line in ("PING", "STATS"):
                    await self.answers.wait()
                    writer.write(b"PONG\r\n" if line == "PING" else b"PONG avg_ms=5,cpu=0.2,x0=0.2\r\n")
                elif ident is None:
                    ident = line.split(" ")[1]
                    await self.answers.wait()
                    writer.write(f"UP r-{self.name}-{ident}\r\n".encode())
                    self.record(f"server {self.name}: answers UP {ident}")
                    self.sent[ident] = []
                else:
                    order = f"UNLOCK scooter-{len(self.sent[ident]) + 1:04}7 for {ident}"
                    writer.write(order[:19].encode())
                    await writer.drain()
                    await asyncio.sleep(0.05)
                    await self.answers.wait()  # a server that hangs has written half of its line
                    writer.write(order[19:].encode() + b"\r\n")
                    self.sent[ident].append(order)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.record(f"server {self.name}: connection of {ident} has ended")


class Client:
    """A client that stays: after MOVE or a close it comes again."""

    def __init__(self, record, name, address, until):
        self.record, self.name, self.address, self.until = record, name, address, until
        self.lines = []  # (time, id, line) of each whole line after UP but MOVE

    async def live(self):
        loop = asyncio.get_running_loop()
        while loop.time() < self.until:
            await self.connection(loop)
            await asyncio.sleep(0.2)

    async def connection(self, loop):
        reader, writer = await asyncio.open_connection(*marble.host_port(self.address))
        ident, key = marble.new_id(), marble.new_id()
        try:
            writer.write(f"OPEN {ident} {key} c=telemetry,d=3000,g={key}\r\n".encode())
            answer = (await asyncio.wait_for(reader.readline(), 3.5)).decode()
            self.record(f"client {self.name}: {ident} is answered {answer.strip()}")
            next_report = loop.time()
            while answer.startswith("UP") and loop.time() < self.until:
                if loop.time() >= next_report:
                    writer.write(b"REPORT battery=71\r\n")
                    next_report += 2
                try:
                    data = await asyncio.wait_for(reader.readuntil(b"\n"), max(0.001, next_report - loop.time()))
                except asyncio.TimeoutError:
                    continue
                line = data.decode().rstrip("\r\n")
                if line == "MOVE":
                    return self.record(f"client {self.name}: {ident} is moved")
                self.lines.append((self.record.now(), ident, line))
        except asyncio.IncompleteReadError as end:  # what is left without a line end is no line
            self.record(f"client {self.name}: {ident} is closed, {len(end.partial)} octets of a line are left")
        except (ConnectionError, asyncio.TimeoutError):
            self.record(f"client {self.name}: {ident} is cut off")
        finally:
            writer.close()


async def case(record, folder):
    discovery = marble.Discovery(record)
    await discovery.start()
    servers = [Server(record, f"s-{i}", group=i // 2) for i in range(SERVERS)]
    for server in servers:
        await server.start()
        discovery.add(server)
    balancer = marble.Balancer(record, "n1", folder, discovery.address,
                               marble.settings([marble.request_class("telemetry")], balancers=3),
                               discovery.snapshot())
    await balancer.start()
    await asyncio.sleep(1)

    until = asyncio.get_running_loop().time() + RUN_S
    clients = [Client(record, f"c{i}", balancer.listen, until) for i in range(CLIENTS)]
    tasks = []
    for client in clients:
        tasks.append(asyncio.create_task(client.live()))
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.5)
    if marble.TROUBLE:
        hung = max(servers, key=lambda server: len(server.sent))
        hung.hang()
        asyncio.get_running_loop().call_later(HANG_S, hung.hang, False)
    await asyncio.gather(*tasks)

    sent = {}
    for server in servers:
        for ident, lines in server.sent.items():
            sent.setdefault(ident, []).extend(lines)
    wrong = [(at, client.name, ident, line) for client in clients for at, ident, line in client.lines
             if line not in sent.get(ident, [])]
    for at, name, ident, line in wrong:
        record(f"test: client {name} got the line '{line}' on {ident} at {at:.3f}; its server sent no such line")
    record(f"test: {sum(len(client.lines) for client in clients)} lines were received")
    await balancer.stop()
    if wrong:
        return [f"{len(wrong)} lines were received that no server has sent, such as '{wrong[0][3]}'"]
    return []


if __name__ == "__main__":
    marble.main(case, pathlib.Path(__file__).resolve().parent)
