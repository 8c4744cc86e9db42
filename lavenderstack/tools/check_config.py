"""Checks a configuration before it is rolled out.

Usage:
  lavenderstack check-config FILE [--against OTHER] [--key-file FILE] [--json]
  lavenderstack check-config --help

FILE is YAML or JSON; "-" is standard input. It has the operators' lists as the "admin"
command shows them, as the entries plans, bought, groups and keys (some may be missing),
or it is the platform's configuration document. docs/CHECK-CONFIG.md lists the codes.

Options:
  --against OTHER  Also show the differences from the version in force: a file, or the
                   URL of any node's operators' API.
  --key-file FILE  File with the operator's key, instead of $LAVENDERSTACK_KEY; for a
                   URL.
  --json           Print one JSON object.
  --help           Show this text.

Exit status: 0 nothing found (differences that take nothing away from callers may be
shown); 1 errors or warnings; 2 FILE or OTHER can't be read.
"""

import json
import os
import sys
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from http.client import HTTPException
from pathlib import Path
from typing import Any, Protocol

from lavenderstack.core.config import config_check, config_diff
from lavenderstack.core.config.declared_config import DeclaredConfig, Finding, Severity
from lavenderstack.tools import config_file
from lavenderstack.tools.admin import KEY_VARIABLE
from lavenderstack.tools.admin_client import Client
from lavenderstack.tools.config_file import ConfigFile, Unreadable

EXIT_FINDINGS = 1
EXIT_UNREADABLE = 2
# Of one code, without --json; the rest is counted.
MAX_LINES_PER_CODE = 20
_LISTS = ("plans", "bought", "groups", "keys")
_PLURAL = {
    Severity.ERROR: "error(s)",
    Severity.WARNING: "warning(s)",
    Severity.INFO: "other difference(s)",
}
_RANK = {Severity.ERROR: 0, Severity.WARNING: 1, Severity.INFO: 2}


class Format(Protocol):
    """A format of the configuration, such as ``border/declared.py``."""

    def recognises(self, document: Any) -> bool:
        """Return whether a document is in this format."""

    def translate(
        self, document: dict, raw: bytes
    ) -> tuple[DeclaredConfig, list[Finding]]:
        """Return the configuration, and what nodes refuse or ignore in it."""


@dataclass(frozen=True, slots=True)
class _Located:
    """A finding with its line, None if it is about the whole document."""

    finding: Finding
    line: int | None


def run(argv: list[str], formats: Sequence[Format]) -> int:
    """Run the command; return the exit status.

    Of several ``formats`` that recognise a document, the first counts.
    """
    from docopt import DocoptExit, docopt

    try:
        args = docopt(__doc__, argv=["check-config", *argv])
    except DocoptExit as exc:
        print(exc, file=sys.stderr)
        return EXIT_UNREADABLE
    try:
        found = _check(args, formats)
    except Unreadable as exc:
        _print_unreadable(args, str(exc))
        return EXIT_UNREADABLE
    _print_json(args, found) if args["--json"] else _print_text(args, found)
    is_clean = all(one.finding.severity is Severity.INFO for one in found)
    return 0 if is_clean else EXIT_FINDINGS


def _check(args: dict, formats: Sequence[Format]) -> list[_Located]:
    name, other = args["FILE"], args["--against"]
    file = _read(name)
    used = _format_of(name, file.document, formats)
    cfg, findings = used.translate(file.document, file.raw)
    findings += config_check.check(cfg)
    if other is not None:
        findings += config_diff.compare(_in_force(args, used, formats), cfg)
    found = [_Located(one, file.line_of(one.place.path)) for one in findings]
    found += [_Located(one, line) for line, one in file.duplicates()]
    return sorted(found, key=lambda one: (_RANK[one.finding.severity], one.line or 0))


def _read(name: str) -> ConfigFile:
    try:
        return config_file.read(name)
    except Unreadable as exc:
        raise Unreadable(f"{name}: {exc}") from exc


def _format_of(name: str, document: Any, formats: Sequence[Format]) -> Format:
    for candidate in formats:
        if candidate.recognises(document):
            return candidate
    raise Unreadable(
        f"{name}: none of the entries {', '.join(_LISTS)}, and not the platform's "
        "configuration document"
    )


def _in_force(args: dict, used: Format, formats: Sequence[Format]) -> DeclaredConfig:
    """Return the version in force; raises ``Unreadable`` if it isn't a valid one."""
    other = args["--against"]
    if other.startswith(("http://", "https://")):
        document: Any = _fetch(other, args["--key-file"])
        raw = b""
    else:
        file = _read(other)
        document, raw = file.document, file.raw
    if _format_of(other, document, formats) is not used:
        raise Unreadable(f"{other}: has another format than {args['FILE']}")
    cfg, findings = used.translate(document, raw)
    errors = [one for one in findings if one.severity is Severity.ERROR]
    if errors:
        raise Unreadable(
            f"{other}: not a valid version: {errors[0].place.text}: {errors[0].message}"
        )
    return cfg


def _fetch(url: str, key_file: str | None) -> dict[str, Any]:
    """Return the operators' lists that a node has; raises ``Unreadable``."""
    client = Client(url, _operator_key(key_file))
    document = {}
    for name in _LISTS:
        try:
            response = client.get(f"/v1/{name}")
        except (HTTPException, ValueError, OSError) as exc:
            raise Unreadable(f"{url}: {type(exc).__name__}") from exc
        if response.status == 401:
            raise Unreadable(f"{url}: not an operator's key")
        if response.status != 200:
            raise Unreadable(f"{url}: no answer about {name}, {response.status}")
        document[name] = response.body
    return document


def _operator_key(key_file: str | None) -> str:
    try:
        text = Path(key_file).read_text("utf-8") if key_file else ""
    except (OSError, ValueError) as exc:
        raise Unreadable(f"{key_file}: can't be read") from exc
    key = text.strip() or os.environ.get(KEY_VARIABLE, "").strip()
    if not key:
        raise Unreadable(f"for a URL give --key-file, or set {KEY_VARIABLE}")
    return key


def _print_unreadable(args: dict, reason: str) -> None:
    if args["--json"]:
        print(json.dumps({"file": args["FILE"], "error": reason}))
    else:
        print(reason.encode(errors="backslashreplace").decode(), file=sys.stderr)


def _print_json(args: dict, found: list[_Located]) -> None:
    rows = [
        {
            "code": one.finding.code,
            "severity": one.finding.severity.value,
            "line": one.line,
            "where": one.finding.place.text,
            "message": one.finding.message,
        }
        for one in found
    ]
    print(json.dumps({"file": args["FILE"], "findings": rows}))


def _print_text(args: dict, found: list[_Located]) -> None:
    for line in _text_lines(args["FILE"], found):
        print(line.encode(errors="backslashreplace").decode())


def _text_lines(name: str, found: list[_Located]) -> Iterator[str]:
    shown: Counter[str] = Counter()
    for one in found:
        finding = one.finding
        shown[finding.code] += 1
        if shown[finding.code] <= MAX_LINES_PER_CODE:
            where = f"{name}:{one.line}" if one.line else name
            entry = f" {finding.place.text}:" if finding.place.text else ""
            text = f"{finding.message} [{finding.code}]"
            yield f"{where}: {finding.severity}:{entry} {text}"
    for code, count in shown.items():
        if count > MAX_LINES_PER_CODE:
            yield f"{name}: and {count - MAX_LINES_PER_CODE} more [{code}]"
    counts = Counter(one.finding.severity for one in found)
    total = ", ".join(f"{counts[s]} {_PLURAL[s]}" for s in Severity if counts[s])
    yield f"{name}: {total or 'nothing found'}"
