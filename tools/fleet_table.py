#!/usr/bin/env python3
"""Summarizes the activity of a fleet of balancers over time from their logs.

usage: tools/fleet_table.py [--step SECONDS] [--workers] LOG...

Each LOG is the log of one balancer at level debug (deploy/log.json), each line prefixed with its time in seconds, as
log collectors do: "12.345 debug probe to w7". For a folder, all .log files in it are read.
The first table has a row for each counted event and a column for each step. With --workers, a table for each worker
follows: calls sent to it, connections established at the end of the step, mean reported load, and probes.
"""
import argparse
import collections
import glob
import os
import re

RULES = [  # pattern of a log line, name of the counter, group that holds the worker's name
    (r"\S+ listens on ", "starts", None),
    (r"registry call from", "registry calls", None),
    (r"registry call failed", "registry failures", None),
    (r"registry answer with (\d+) lines", "registry answers", None),
    (r"registry: \S+ drains", "drains reported", None),
    (r"probe to (\S+)", "probes", 1),
    (r"probe of (\S+): (\w+) after", "probe: {2}", None),
    (r"call \d+ sent to (\S+)", "sent", 1),
    (r"call \d+ up at (\S+) after", "up", 1),
    (r"call \d+ at (\S+): (\w+) after", "end: {2}", None),
    (r"call \d+ moves off (\S+)", "moves", None),
    (r"call \d+ answered (\w+)", "answer: {1}", None),
]
RULES = [(re.compile(pattern), name, worker) for pattern, name, worker in RULES]
LINE = re.compile(r"([\d.]+) \w+ (.*)")
LOAD = re.compile(r"probe of (\S+): served after \d+ ms, load (-?[\d.]+)")
ESTABLISHED = re.compile(r"call (\d+) up at (\S+)")
ENDED = re.compile(r"call (\d+) (?:at (\S+):|moves off (\S+))")
LINES = re.compile(r"registry answer with (\d+) lines")


def log_files(paths):
    for path in paths:
        yield from sorted(glob.glob(os.path.join(path, "*.log"))) if os.path.isdir(path) else [path]


class Table:
    """Counts events per step of `step` seconds."""

    def __init__(self, step):
        self.step = step
        self.steps = 0
        self.counts = collections.defaultdict(collections.Counter)  # by counter and step
        self.by_worker = collections.defaultdict(lambda: collections.defaultdict(collections.Counter))
        self.loads = collections.defaultdict(lambda: collections.defaultdict(list))
        self.changes = collections.defaultdict(collections.Counter)  # of established connections, by worker and step

    def read(self, path):
        established = {}
        with open(path, errors="replace") as log:
            for line in log:
                if found := LINE.match(line):
                    self.count_line(int(float(found[1]) / self.step), found[2], established)

    def count_line(self, at, text, established):
        self.steps = max(self.steps, at + 1)
        if " listens on " in text:  # restarted: its connections are gone
            for worker in established.values():
                self.changes[worker][at] -= 1
            established.clear()
        for pattern, name, worker in RULES:
            if not (found := pattern.match(text)):
                continue
            groups = [found[0], *found.groups()]
            self.counts[name.format(*groups)][at] += 1
            if worker:
                self.by_worker[groups[worker]][name][at] += 1
        if found := LINES.match(text):
            self.counts["registry lines"][at] += int(found[1])
        if (found := LOAD.match(text)) and float(found[2]) >= 0:
            self.loads[found[1]][at].append(float(found[2]))
        if found := ESTABLISHED.match(text):
            established[found[1]] = found[2]
            self.changes[found[2]][at] += 1
        elif (found := ENDED.match(text)) and found[1] in established:
            self.changes[established.pop(found[1])][at] -= 1

    def print_row(self, name, cells):
        print(f"{name:24}" + "".join(f"{cell:>7}" for cell in cells))

    def print_tables(self, workers):
        steps = range(self.steps)
        self.print_row("from s", [f"{at * self.step:g}" for at in steps])
        for name in sorted(self.counts):
            self.print_row(name, [self.counts[name][at] for at in steps])
        if not workers:
            return
        for worker in sorted(set(self.by_worker) | set(self.changes)):
            total = 0
            connections = [total := total + self.changes[worker][at] for at in steps]
            loads = self.loads[worker]
            self.print_row(worker + " sent", [self.by_worker[worker]["sent"][at] for at in steps])
            self.print_row("  connections", connections)
            self.print_row("  load", [f"{sum(loads[at]) / len(loads[at]):.2f}" if loads[at] else "-" for at in steps])
            self.print_row("  probes", [self.by_worker[worker]["probes"][at] for at in steps])


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--step", type=float, default=2)
    parser.add_argument("--workers", action="store_true")
    parser.add_argument("logs", nargs="+")
    args = parser.parse_args()
    table = Table(args.step)
    for path in log_files(args.logs):
        table.read(path)
    table.print_tables(args.workers)


if __name__ == "__main__":
    main()
