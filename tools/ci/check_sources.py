#!/usr/bin/env python3
"""Checks the sources tracked by git: the length of files, and that includes follow the layering of src/.

usage: check_sources.py [ROOT]   the repository's root; by default the repository of this file

Prints each finding as `file: description` and exits with 1 if there is any. Files listed in large_files.txt next to
this script (`path | reason`, one per line) may exceed the limit; listed files that do not exceed it are findings too.
"""

import pathlib
import re
import subprocess
import sys

MAX_LINES = 400
SUFFIXES = (".cpp", ".h")

# The modules of src/, each with the modules that it may include besides itself.
MODULES = {
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
    "fleet": {"marblehub"},
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
    output = subprocess.run(
        ["git", "-C", str(root), "ls-files"], check=True, capture_output=True, text=True
    ).stdout.splitlines()
    return [path for path in output if path.endswith(SUFFIXES) and (root / path).is_file()]


def module_of(path):
    """The module of a path relative to src/ or of an include; None: no module."""
    folders = path.split("/")[:-1]
    if folders == ["marblehub"]:
        return "marblehub"
    for depth in (2, 1):
        if len(folders) >= depth and "/".join(folders[:depth]) in MODULES:
            return "/".join(folders[:depth])
    return None


def large_files(root):
    """Path and reason of each file that may exceed the limit."""
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
            if lines <= MAX_LINES:
                yield f"{path}: {lines} lines, take it off large_files.txt"
        elif lines > MAX_LINES:
            yield f"{path}: {lines} lines, {MAX_LINES} at most"
    for path, reason in exceptions.items():
        if path not in sources:
            yield f"{path}: is in large_files.txt and does not exist"
        if not reason:
            yield f"{path}: is in large_files.txt without a reason"


def include_findings(root, sources):
    for path in sources:
        if not path.startswith("src/"):
            continue
        module = module_of(path.removeprefix("src/"))
        if module is None:  # src/main.cpp may include every module
            continue
        for number, line in enumerate((root / path).read_text().splitlines(), 1):
            found = INCLUDE.match(line)
            included = module_of(found["path"]) if found else None
            if included and included != module and included not in MODULES[module]:
                yield f"{path}:{number}: {module} may not include {found['path']}"


def main(arguments):
    root = pathlib.Path(arguments[0]) if arguments else pathlib.Path(__file__).resolve().parents[2]
    sources = tracked_sources(root)
    findings = [*length_findings(root, sources), *include_findings(root, sources)]
    for finding in findings:
        print(finding)
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
