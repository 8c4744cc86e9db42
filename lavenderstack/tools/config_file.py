"""Reads a configuration file in YAML or JSON, and knows the line of each entry.

Errors never quote the file, since a key could stand in it.
"""

import json
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml

from lavenderstack.core.config.declared_config import (
    Finding,
    PathPart,
    Place,
    error,
    shown_name,
)

MAX_FILE_B = 64 * 1024 * 1024
# Of values after the expansion of aliases; a few lines could stand for billions.
MAX_VALUES = 5_000_000
# The parser of libyaml is some seven times faster where it is installed.
_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_JSON_TAGS = frozenset(
    f"tag:yaml.org,2002:{name}"
    for name in ("null", "bool", "int", "float", "str", "seq", "map")
)


class Unreadable(Exception):
    """The file can't be read; the message says why, and where if that is known."""


@dataclass(frozen=True, slots=True)
class ConfigFile:
    """A file's content: as bytes, as plain values, and as nodes that know their lines.

    ``root`` is None for JSON that isn't YAML as well; then no line is known.
    """

    raw: bytes
    document: Any
    root: yaml.Node | None

    def line_of(self, path: tuple[PathPart, ...]) -> int | None:
        """Return the line of an entry, or of the innermost one around it that exists.

        Returns None for the whole document.
        """
        node, line = self.root, None
        for part in path:
            mark, node = _find_child(node, part)
            if node is None:
                break
            line = mark.line + 1
        return line

    def duplicates(self) -> Iterator[tuple[int, Finding]]:
        """Yield the entries that a later one of the same name replaces, by line."""
        if self.root is not None:
            yield from _find_duplicates(self.root)


def read(name: str) -> ConfigFile:
    """Read a file, or standard input for ``-``; raises ``Unreadable``."""
    try:
        if name == "-":
            raw = sys.stdin.buffer.read(MAX_FILE_B + 1)
        else:
            with Path(name).open("rb") as file:
                raw = file.read(MAX_FILE_B + 1)
    except (OSError, ValueError) as exc:
        raise Unreadable(getattr(exc, "strerror", None) or "not a file name") from exc
    if len(raw) > MAX_FILE_B:
        raise Unreadable(f"longer than {MAX_FILE_B} bytes")
    return parse(raw)


def parse(raw: bytes) -> ConfigFile:
    """Parse the content of a file; raises ``Unreadable``."""
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError as exc:
        raise Unreadable("not UTF-8 text") from exc
    try:
        document, is_json = json.loads(text), True
    except (ValueError, RecursionError):
        document, is_json = None, False
    try:
        # JSON allows tabs between values, YAML doesn't.
        root = _compose(text.replace("\t", " ") if is_json else text)
    except Unreadable:
        if is_json:
            return ConfigFile(raw, document, None)
        raise
    if not is_json:
        document = _construct(text, root)
    return ConfigFile(raw, document, root)


def _compose(text: str) -> yaml.Node | None:
    try:
        return yaml.compose(text, _Loader)
    except yaml.MarkedYAMLError as exc:
        raise Unreadable(f"{_where(exc)}neither YAML nor JSON") from exc
    except (yaml.YAMLError, ValueError, RecursionError) as exc:
        raise Unreadable("neither YAML nor JSON") from exc


def _construct(text: str, root: yaml.Node | None) -> Any:
    """Return the plain values of a YAML text, as JSON would hold them."""
    if root is None:
        return None
    for node in _walk(root):
        if node.tag not in _JSON_TAGS:
            what = node.tag.rpartition(":")[2]
            raise Unreadable(
                f"line {node.start_mark.line + 1}: {shown_name(what)} has no form in "
                "JSON; put text in quotes, and write merged fields out"
            )
    try:
        _count_values(root, {})
        return json.loads(json.dumps(yaml.load(text, _Loader)))  # noqa: S506
    except yaml.MarkedYAMLError as exc:
        raise Unreadable(f"{_where(exc)}a value that can't be used") from exc
    except (ValueError, TypeError, RecursionError) as exc:
        raise Unreadable("a value has no form in JSON, or is nested too deep") from exc


def _where(exc: yaml.MarkedYAMLError) -> str:
    mark = exc.problem_mark
    return f"line {mark.line + 1}, column {mark.column + 1}: " if mark else ""


def _children(node: yaml.Node) -> list[yaml.Node]:
    if isinstance(node, yaml.MappingNode):
        return [child for pair in node.value for child in pair]
    return node.value if isinstance(node, yaml.SequenceNode) else []


def _walk(root: yaml.Node) -> Iterator[yaml.Node]:
    """Yield each node once, also one that several aliases stand for."""
    seen, pending = set(), [root]
    while pending:
        node = pending.pop()
        if id(node) not in seen:
            seen.add(id(node))
            yield node
            pending += _children(node)


def _count_values(node: yaml.Node, counts: dict[int, int]) -> int:
    """Return the number of values that a node stands for with aliases expanded.

    Raises ``Unreadable`` if there are too many, or a node contains itself.
    """
    known = counts.get(id(node))
    if known is not None:
        return known
    counts[id(node)] = MAX_VALUES + 1
    total = 1 + sum(_count_values(child, counts) for child in _children(node))
    if total > MAX_VALUES:
        raise Unreadable("too many values, or an alias that contains itself")
    counts[id(node)] = total
    return total


def _find_child(
    node: yaml.Node | None, part: PathPart
) -> tuple[yaml.Mark | None, yaml.Node | None]:
    """Return where a part of a node begins, and its node; None if there is none."""
    if isinstance(node, yaml.MappingNode):
        # The last of several entries of the same name is the one that counts.
        for key, value in reversed(node.value):
            if key.value == part:
                return key.start_mark, value
    if isinstance(node, yaml.SequenceNode) and part in range(len(node.value)):
        return node.value[part].start_mark, node.value[part]
    return None, None


def _find_duplicates(root: yaml.Node) -> Iterator[tuple[int, Finding]]:
    for node in _walk(root):
        if not isinstance(node, yaml.MappingNode):
            continue
        lines: dict[str, list[int]] = {}
        for key, _ in node.value:
            if isinstance(key, yaml.ScalarNode):
                lines.setdefault(key.value, []).append(key.start_mark.line + 1)
        for all_lines in lines.values():
            if len(all_lines) > 1:
                # The name isn't shown: it may be a key by mistake.
                text = (
                    f"The name in line {all_lines[0]} occurs again in line "
                    f"{all_lines[-1]}; only the last entry takes effect."
                )
                yield all_lines[0], error("duplicate-name", Place(), text)
