"""A QUIC client changes its address; do the balancer and everybody else's connections live on?"""

import asyncio
import pathlib
import socket
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import marble  # noqa: E402
import quic  # noqa: E402

STANDING = 6    # clients on TCP with open connections, which have nothing to do with QUIC
IDLE_S = 30     # deploy/quic.json: idle_ms


async def case(record, temporary):
    discovery = marble.Discovery(record)
    await discovery.start()
    gateways = [quic.Gateway(record, f"g-{i}", zone, i) for i, zone in enumerate(("bratislava", "zilina", "kosice"))]
    for gateway in gateways:
        await gateway.start()
        discovery.add(gateway)
    router = marble.free_address(socket.SOCK_DGRAM)
    front = quic.front_file(temporary, router, "telemetry")
    balancer = marble.Balancer(record, "n0", temporary, discovery.address,
                               marble.settings([marble.request_class("telemetry")], balancers=1),
                               discovery.snapshot(), {"quic": front})
    broken = []
    try:
        await balancer.start()
        standing = [asyncio.create_task(marble.open_connection(
            record, balancer.listen, f"scooter-{i}", f"{i:016x}", "telemetry", 3000, hold=IDLE_S + 12))
            for i in range(STANDING)]
        await asyncio.sleep(1)

        client = quic.Client(record, router)
        first = quic.unroutable_id()
        for _ in range(3):
            await client.packet(first)
        served_by = [g for g in gateways if g.packets]
        if len(served_by) != 1 or client.answers != 3:
            raise marble.CannotRun("the client's connection does not stand")
        # The gateway has got its id configuration and has issued an id that names it; the client uses it.
        issued = quic.routable_id(served_by[0].name)
        for _ in range(2):
            await client.packet(issued)
        if client.answers != 5:
            raise marble.CannotRun("the issued id is not routed")
        if marble.TROUBLE:
            client.move()
        for _ in range(3):
            await client.packet(issued)
        record("client: is silent from here on")  # its connection is over after idle_ms

        ended = await balancer.ended(IDLE_S + 6)
        if ended is not None:
            broken.append(f"the balancer's process has ended by itself with {ended}")
            record(broken[-1])
        for attempt in await asyncio.gather(*standing):
            if attempt.end not in ("held", "MOVE"):
                broken.append(f"{attempt.client}: its connection was {attempt.end or attempt.answer}, without MOVE, "
                              "while its server answers")
        for gateway in gateways:
            alive = await asyncio.open_connection(*marble.host_port(gateway.address))
            alive[1].write(b"PING\r\n")
            if await asyncio.wait_for(alive[0].readline(), 1) != b"PONG\r\n":
                raise marble.CannotRun("a gateway has ended")
            alive[1].close()
    finally:
        await balancer.stop()
    return broken


marble.main(case, FOLDER)
