#!/usr/bin/env python3
"""Checks the sources tracked by git: the length of files, that includes follow the layering of src/, and that
each type of a header is documented.

usage: check_sources.py [ROOT]   the repository's root; by default the repository of this file

Prints each finding as `file: description` and exits with 1 if there is any. Files listed in large_files.txt next to
this script (`path | reason`, one per line) may exceed the limit; listed files that do not exceed it are findings too.
Every class, struct, enum and union that a header defines needs a comment on the line above its definition; lines of
`template <...>` and of attributes may stand between. Forward declarations and anonymous types need none.
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
    "core": {"marblehub", "check", "config", "log"},
    "metrics": {"core"},
    "net": {"check", "config", "log", "core", "metrics"},
    "remote_write": {"config", "log", "core", "metrics", "net"},
    "quic": {"marblehub", "check", "config", "log", "core", "metrics", "net"},
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

# Comments, raw strings, strings and characters; the digits are matched for their separators (1'000).
TEXT = re.compile(
    r'//[^\n]*|/\*.*?\*/|R"(?P<mark>[^()\s\\]*)\(.*?\)(?P=mark)"|"(?:\\.|[^"\\\n])*"'
    r"|\b\d[\w.']*|'(?:\\.|[^'\\\n])+'",
    re.DOTALL,
)
# The head of a declaration up to the `{` of the definition of a type; an upper-case macro may precede the name.
ATTRIBUTE = r"(?:\[\[.*?\]\]|alignas\s*\([^;{}]*?\)|__attribute__\s*\(\(.*?\)\))\s*"
TYPE = re.compile(
    r"(?<![\w<,])(?:\b(?:typedef|static|inline|constexpr|const)\s+)*"
    rf"\b(?:enum\s+class|enum\s+struct|enum|class|struct|union)\b\s*(?:{ATTRIBUTE})*"
    r"(?:[A-Z][A-Z0-9_]*\s+)?(?P<name>[A-Za-z_]\w*(?:\s*<[^;{}]*?>)?(?:\s*::\s*[A-Za-z_]\w*)*)"
    r"(?:\s*<[^;{}()]*>)?(?:\s+final)?\s*(?::(?!:)[^;{}]*)?\{",
    re.DOTALL,
)
# What may stand between the comment and the type: attributes and the heads of templates.
BETWEEN = re.compile(rf"(?:\btemplate\s*<[^;{{}}]*>\s*(?:requires[^;{{}}]*)?|{ATTRIBUTE})+\Z", re.DOTALL)


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


def blanked(found):
    """Spaces for the text of a match, with its line ends; a number stays."""
    return found[0] if found[0][0].isdigit() else re.sub(r"[^\n]", " ", found[0])


def type_findings(root, sources):
    for path in sources:
        if not path.endswith(".h"):
            continue
        text = (root / path).read_text()
        code = TEXT.sub(blanked, text)  # of the same length as the text
        lines = text.splitlines()
        for found in TYPE.finditer(code):
            start = found.start()
            between = BETWEEN.search(code, max(code.rfind(end, 0, start) for end in ";{}") + 1, start)
            first = code.count("\n", 0, between.start() if between else start)
            above = lines[first - 1].strip() if first else ""
            if not above.startswith("//") and not above.endswith("*/"):
                name = re.sub(r"\s*<.*", "", found["name"], flags=re.DOTALL)
                yield f"{path}:{code.count(chr(10), 0, start) + 1}: {name} has no doc comment"


def main(arguments):
    root = pathlib.Path(arguments[0]) if arguments else pathlib.Path(__file__).resolve().parents[2]
    sources = tracked_sources(root)
    findings = [*length_findings(root, sources), *include_findings(root, sources), *type_findings(root, sources)]
    for finding in findings:
        print(finding)
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
