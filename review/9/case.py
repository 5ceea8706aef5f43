"""A file whose deadline is not a positive number is taken at SIGHUP; clients are sent to the servers it leads to."""
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import stage  # noqa: E402


def case(record, folder, trouble, balancers):
    served = []

    def on_open(server, connection, line):
        served.append(server.name)
        server.up(connection, line)

    own = [stage.Server(record, "s-%d" % i, on_open) for i in range(3)]
    foreign = [stage.Server(record, "x-%d" % i, on_open) for i in range(2)]
    discovery, other = stage.Discovery(record, own), stage.Discovery(record, foreign)
    balancers.append(stage.Balancer(record, folder, "n1", discovery, stage.settings()))
    balancer = balancers[0]

    def client(number):
        identity, key = stage.identity(number)
        connection = stage.connect(balancer)
        connection.send("OPEN %s %s c=telemetry,d=3000,g=%016x" % (identity, key, 0x5c0f6e1a00000000 + number))
        record.add("client %d heard %r" % (number, connection.read(4)))
        return connection

    open_ones = [client(number) for number in range(4)]
    time.sleep(5)
    if trouble:  # the file of another place, still without its deadline
        balancer.config["discovery"] = other.address
        balancer.config["settings"]["request_classes"][0]["give_up_us"] = 0
    balancer.write()
    record.add("the file names discovery %s and a deadline of %d us" % (
        balancer.config["discovery"], balancer.config["settings"]["request_classes"][0]["give_up_us"]))
    balancer.signal(signal.SIGHUP)
    time.sleep(4)
    del served[:]
    later = [client(number) for number in range(10, 18)]
    for number, connection in enumerate(open_ones):
        connection.send("position 1")
        answer = connection.read(2)
        record.add("standing client %d heard %r" % (number, answer))
    for connection in open_ones + later:
        connection.close()
    if not served:
        raise RuntimeError("no server was asked")
    return ["%s, of the list of a broken file, got a client's request" % name for name in served if name[0] == "x"]


stage.play(case, HERE)
