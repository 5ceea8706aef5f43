"""A planned restart while commands of an unsafe class are being set up: what do their clients hear?"""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import marble  # noqa: E402

AIM_MS, GIVE_UP_MS = 4000, 10000  # of class `unlock`
SETUP_S = 3.6                     # a server takes so long to bring a connection of that class up: within its aim
CLIENTS = 8


async def command(record, balancers, number, operations):
    """A client with one command. By the wire page it sends an unsafe one again only after BUSY."""
    key = f"{0xc0de0000 + number:016x}"
    operations[key] = []
    for address in balancers:
        attempt = await marble.open_connection(record, address, f"unlock-{number}", key, "unlock", GIVE_UP_MS,
                                               hold=1.0)
        operations[key].append(attempt)
        if not (attempt.answer or "").startswith("BUSY"):
            return


async def case(record, temporary):
    discovery = marble.Discovery(record)
    await discovery.start()
    servers = [marble.Server(record, f"s-{i}", zone, i, {"unlock": SETUP_S})
               for i, zone in enumerate(("bratislava", "zilina", "kosice"))]
    for server in servers:
        await server.start()
        discovery.add(server)
    classes = [marble.request_class("telemetry"),
               marble.request_class("unlock", "unsafe", aim_ms=AIM_MS, give_up_ms=GIVE_UP_MS)]
    balancers = [marble.Balancer(record, f"n{i}", temporary, discovery.address,
                                 marble.settings(classes, balancers=2, me=i), discovery.snapshot())
                 for i in range(2)]
    operations = {}
    try:
        for balancer in balancers:
            await balancer.start()
        await asyncio.sleep(1)
        # The first balancer's clients come during 0.4 s, the first just before SIGTERM.
        addresses = [b.listen for b in balancers]
        tasks = []
        for number in range(CLIENTS):
            tasks.append(asyncio.create_task(command(record, addresses, number, operations)))
            if number == 0 and marble.TROUBLE:
                await asyncio.sleep(0.02)
                balancers[0].send(signal.SIGTERM)
            await asyncio.sleep(0.36 / CLIENTS)
        if marble.TROUBLE:
            if await balancers[0].ended(3.7) is None:  # 3 s, since the longest deadline is longer, and 0.7 s
                balancers[0].send(signal.SIGKILL)
            else:
                record("balancer n0: has ended")
        await asyncio.gather(*tasks)
    finally:
        for balancer in balancers:
            await balancer.stop()

    if not any(server.runs for server in servers):
        raise marble.CannotRun("no server got a command")
    broken = []
    for key, attempts in operations.items():
        runs = [(at, server.name, ident) for server in servers for at, ident, k, _ in server.runs if k == key]
        for attempt in attempts:
            ran = [run for run in runs if run[2] == attempt.ident]
            if ran and (attempt.answer or "").startswith("BUSY"):
                broken.append(f"command {key}: {attempt.ident} was run by {ran[0][1]} at {ran[0][0]:.3f} and "
                              f"answered {attempt.answer} at {attempt.answered_at:.3f}; "
                              f"run {len(runs)} times in all")
    return broken


marble.main(case, FOLDER)
