"""Case 1: a balancer's process crashes after QUIC clients have changed their address.

Two gateways have no id configuration at first, so that their ids are unroutable. Scooters open connections through one
balancer; after a change of address the front leads them to the other one. Then the gateways get their configuration and
issue ids that name them. The scooters, which use these, change their address once more; later their connections end."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
import marble  # noqa: E402
import quic_peers  # noqa: E402

SCOOTERS, TCP_CLIENTS = 6, 6


async def case(record, folder):
    discovery = marble.Discovery(record)
    await discovery.start()
    gateways = [quic_peers.Gateway(record, f"gateway-{i}", configured=False, group=i) for i in (1, 2)]
    for gateway in gateways:
        await gateway.start()
        discovery.add(gateway)
    routers, balancers = [], []
    for me in range(2):
        (folder / f"n{me + 1}").mkdir()
        routers.append(marble.free_address(marble.socket.SOCK_DGRAM))
        extra = {"quic": quic_peers.front_file(folder / f"n{me + 1}", routers[me], "telemetry")}
        settings = marble.settings([marble.request_class("telemetry")], balancers=2, me=me)
        balancers.append(marble.Balancer(record, f"n{me + 1}", folder, discovery.address, settings,
                                         discovery.snapshot(), extra))
        await balancers[me].start()
    await asyncio.sleep(1)

    # Clients of the platform's front, beside: nobody disturbs them or their servers.
    standing = [asyncio.create_task(marble.open_connection(record, balancers[1].listen, f"tcp-{i}", marble.new_id(),
                                                           "telemetry", 3000, hold=60.0)) for i in range(TCP_CLIENTS)]
    await asyncio.sleep(0.5)

    scooters = [quic_peers.Scooter(record, f"s-{i}", routers[0]) for i in range(SCOOTERS)]
    opened = [(scooter, await scooter.open()) for scooter in scooters]
    if not all(connection.destination for _, connection in opened):
        raise marble.CannotRun("not all connections came up")

    async def all_ask(name, wait):
        return await asyncio.gather(*(scooter.request(connection, name, wait) for scooter, connection in opened))

    def ride():
        """To another cell tower: another address, which the front leads to the second balancer."""
        for scooter in scooters:
            scooter.router = marble.host_port(routers[1])
            scooter.move()

    if marble.TROUBLE:
        ride()
    # By an unroutable id the router finds the gateway by trying one after the other.
    if not all(await all_ask("report", 6.0)):
        raise marble.CannotRun("a report by an unroutable id had no answer")
    record("test: the gateways get their id configuration")
    for gateway in gateways:
        gateway.configured = True
    for name in ("renew", "report", "report"):
        if not all(await all_ask(name, 3.0)):
            raise marble.CannotRun("a report before the trip had no answer")

    broken = []
    if marble.TROUBLE:
        ride()
    for name in ("report", "unlock"):
        answered = await all_ask(name, 3.0)
        if not all(answered):
            broken.append(f"{answered.count(False)} requests after the change of address were not answered within 3 s")
    for scooter, connection in opened:
        scooter.close(connection)
    await asyncio.sleep(2)
    for balancer, router in zip(balancers, routers):
        if balancer.process.returncode is not None:
            broken.append(f"the process of balancer {balancer.name} has ended with {balancer.process.returncode}")
            continue
        another = await quic_peers.Scooter(record, f"new at {balancer.name}", router).open()
        if not another.destination:
            broken.append(f"a new connection through {balancer.name} does not come up")
    cut = [task.result() for task in standing if task.done()]
    if not all(client.answer and client.answer.startswith("UP") for client in cut):
        raise marble.CannotRun("a TCP client was not served")
    if cut:
        broken.append(f"{sum(client.end == 'closed' for client in cut)} of {TCP_CLIENTS} TCP clients were cut off "
                      "without MOVE while their servers answer")
    for task in standing:
        task.cancel()
    await asyncio.gather(*standing, return_exceptions=True)
    for balancer in balancers:
        await balancer.stop()
    return broken


if __name__ == "__main__":
    marble.main(case, pathlib.Path(__file__).resolve().parent)
