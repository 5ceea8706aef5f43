#!/usr/bin/env python3
"""Checks the shape of the sources that git tracks: how long a file may be, and that includes point down.

usage: check_sources.py [ROOT]   the repository's root; this file's own repository unless said

Prints each finding as `file: what is wrong` and exits with 1 if there is any. Files listed in large_files.txt beside
this script (`path | reason`, one a line) may be longer than the bound; a listed file that is not is a finding too.
"""

import pathlib
import re
import subprocess
import sys

MOST_LINES = 400
SUFFIXES = (".cpp", ".h")

# The parts of src/, each with those it may include besides itself. A part stands above all that it includes.
PARTS = {
    "policy": {"marblehub"},
    "config": {"marblehub"},
    "log": {"config"},
    "check": set(),
    "core": {"marblehub", "config", "log"},
    "metrics": {"core"},
    "net": {"config", "log", "core", "metrics"},
    "remote_write": {"config", "log", "core", "metrics", "net"},
    "quic": {"marblehub", "config", "log", "core", "metrics", "net"},
    "rebalance": {"marblehub", "policy", "config", "log", "core", "metrics"},
    "model": {"marblehub", "policy", "config", "core", "metrics", "rebalance"},
    "fleet": {"marblehub"},  # its time
    "fleet/wire": {"config", "fleet"},
    "fleet/settings": {"config", "fleet", "fleet/wire"},
    "fleet/view": {"check", "fleet", "fleet/settings"},
    "fleet/record": {"check", "fleet", "fleet/settings"},
    "fleet/routes": {"check", "config", "fleet", "fleet/record"},
    "fleet/wallet": {"check", "config", "fleet", "fleet/record"},
    "fleet/node": {"check", "fleet", "fleet/routes", "fleet/view", "fleet/wallet"},
    "fleet/net": {"config", "log", "metrics", "net", "fleet", "fleet/node", "fleet/settings", "fleet/wire"},
    "fleet/service": {
        "check", "config", "log", "core",
        "fleet", "fleet/net", "fleet/record", "fleet/routes", "fleet/settings", "fleet/view", "fleet/wallet",
    },
}  # fmt: skip

INCLUDE = re.compile(r'^\s*#\s*include\s*[<"](?P<path>[^>"]+)[>"]')


def tracked_sources(root):
    listed = subprocess.run(
        ["git", "-C", str(root), "ls-files"], check=True, capture_output=True, text=True
    ).stdout.splitlines()
    return [path for path in listed if path.endswith(SUFFIXES) and (root / path).is_file()]


def part_of(path):
    """The part that a path relative to src/ (or an include) belongs to; None: it belongs to none."""
    folders = path.split("/")[:-1]
    if folders == ["marblehub"]:
        return "marblehub"
    for depth in (2, 1):
        if len(folders) >= depth and "/".join(folders[:depth]) in PARTS:
            return "/".join(folders[:depth])
    return None


def large_files(root):
    """Path and reason of each file that may be longer than the bound."""
    listed = {}
    file = root / "tools/ci/large_files.txt"
    for line in file.read_text().splitlines() if file.exists() else []:
        if line.strip() and not line.startswith("#"):
            path, _, reason = (word.strip() for word in line.partition("|"))
            listed[path] = reason
    return listed


def length_findings(root, sources):
    exceptions = large_files(root)
    for path in sources:
        lines = len((root / path).read_text().splitlines())
        if path in exceptions:
            if lines <= MOST_LINES:
                yield f"{path}: {lines} lines, take it off large_files.txt"
        elif lines > MOST_LINES:
            yield f"{path}: {lines} lines, {MOST_LINES} at most"
    for path, reason in exceptions.items():
        if path not in sources:
            yield f"{path}: is in large_files.txt and does not exist"
        if not reason:
            yield f"{path}: is in large_files.txt without a reason"


def include_findings(root, sources):
    for path in sources:
        if not path.startswith("src/"):
            continue
        part = part_of(path.removeprefix("src/"))
        if part is None:  # src/main.cpp puts all parts together
            continue
        for number, line in enumerate((root / path).read_text().splitlines(), 1):
            found = INCLUDE.match(line)
            included = part_of(found["path"]) if found else None
            if included and included != part and included not in PARTS[part]:
                yield f"{path}:{number}: {part} may not include {found['path']}"


def main(arguments):
    root = pathlib.Path(arguments[0]) if arguments else pathlib.Path(__file__).resolve().parents[2]
    sources = tracked_sources(root)
    findings = [*length_findings(root, sources), *include_findings(root, sources)]
    for finding in findings:
        print(finding)
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
