"""The configuration as operators declare it, and what a check of it finds.

The formats of a configuration are translated into ``DeclaredConfig``, which
``core/config/config_check.py`` checks and ``core/config/config_diff.py`` compares.
Unlike ``Catalog`` and ``View`` it keeps entries that a node would override, such as a
second route of the same name, and where each entry stands in the file.

A list that is None was not given, or has errors; nothing is concluded from it.
"""

import dataclasses
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeVar

from lavenderstack.core.catalog import Consistency
from lavenderstack.core.printable import printable

# Enough to tell keys apart, too little to look one up; logs show as many.
SHOWN_DIGEST_CHARS = 12
MAX_SHOWN_CHARS = 80
MAX_SHOWN_NAMES = 5
MAX_SHOWN_NUMBER = 10**15

PathPart = str | int


class Severity(StrEnum):
    """How serious a finding is.

    ``ERROR``: a node refuses it, or it can't work. ``WARNING``: allowed, but probably
    wrong, or it takes something away from callers. ``INFO``: a difference that takes
    nothing away.
    """

    ERROR = "error"
    WARNING = "warning"
    INFO = "info"


@dataclass(frozen=True, slots=True)
class Place:
    """Where an entry stands: its path in the document, and that path as shown.

    The path itself is not shown, since it may contain a key's whole digest. ``aliases``
    are the names of fields where the document's differ from those of this module.
    """

    path: tuple[PathPart, ...] = ()
    text: str = ""
    aliases: Mapping[str, str] = dataclasses.field(default_factory=dict)

    def child(self, part: PathPart, shown: str | None = None) -> "Place":
        """Return the place of a part of this entry; ``shown`` is its name in text.

        >>> Place().child("routes").child(0).child("name").text
        'routes[0].name'
        """
        if shown is None:
            shown = f"[{part}]" if isinstance(part, int) else shown_name(part)
        dot = "." if self.text and not shown.startswith("[") else ""
        return Place((*self.path, part), f"{self.text}{dot}{shown}", self.aliases)

    def field(self, name: str) -> "Place":
        """Return the place of a field of this entry, by its name in this module."""
        return self.child(self.aliases.get(name, name))


@dataclass(frozen=True, slots=True)
class Finding:
    """One finding. ``code`` is stable, ``message`` a sentence for operators."""

    code: str
    severity: Severity
    place: Place
    message: str


def error(code: str, place: Place, message: str) -> Finding:
    """Return a finding that must be corrected."""
    return Finding(code, Severity.ERROR, place, message)


def warning(code: str, place: Place, message: str) -> Finding:
    """Return a finding that should be looked at."""
    return Finding(code, Severity.WARNING, place, message)


def info(code: str, place: Place, message: str) -> Finding:
    """Return a difference that takes nothing away from callers."""
    return Finding(code, Severity.INFO, place, message)


@dataclass(frozen=True, slots=True)
class DeclaredLimits:
    """What a plan, or an organisation's own plan, may use; as in ``Plan``."""

    name: str
    place: Place
    rate: float
    burst: float
    weight: float | None = None
    queue: int | None = None
    priority: int | None = None
    home_regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class DeclaredOrganisation:
    """An organisation and the name of its plan."""

    name: str
    place: Place
    plan: str


@dataclass(frozen=True, slots=True)
class DeclaredKey:
    """A caller's key, as its digest."""

    digest: str
    organisation: str
    place: Place
    withdrawn: bool = False


@dataclass(frozen=True, slots=True)
class DeclaredTarget:
    """One database of a group; ``address`` is ``HOST:PORT``."""

    name: str
    place: Place
    zone: str
    address: str
    slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class DeclaredGroup:
    """A database group.

    ``connections`` is the smallest limit of a target. ``targets`` is None where the
    configuration doesn't name them, ``organisations`` where all may use the group.
    ``replicated`` is None where nothing is declared about replicas of commits.
    ``cold_rate`` and ``cold_s`` are as in ``GroupLimits``.
    """

    name: str
    place: Place
    connections: int
    targets: tuple[DeclaredTarget, ...] | None = None
    organisations: frozenset[str] | None = None
    open_statements: frozenset[str] = frozenset()
    replicated: bool | None = None
    cold_rate: float = 0.0
    cold_s: float = 0.0


@dataclass(frozen=True, slots=True)
class DeclaredRoute:
    """How statements for one database name are served; as in ``Route``."""

    name: str
    place: Place
    group: str
    consistency: Consistency
    timeout_s: float
    latency_goal_s: float
    max_age_s: float
    priority: int
    public: bool = False
    home_regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class DeclaredConfig:
    """One version of the configuration; ``root`` is the place of the whole document.

    ``version`` is the document's own, None where it has none. ``revisions`` are those
    that single lists were read with. ``routes`` is None where groups are addressed by
    their names. ``withdrawal_is_final`` tells that a withdrawn key can't be granted
    again, ``own_plans`` that each organisation has its own plan, under its own name.
    ``unusable_names`` are the places of names for which nodes run nothing, and
    ``empty_keys`` those of empty keys.
    """

    root: Place = Place()
    version: int | None = None
    revisions: Mapping[str, int] = dataclasses.field(default_factory=dict)
    limits: tuple[DeclaredLimits, ...] | None = None
    organisations: tuple[DeclaredOrganisation, ...] | None = None
    keys: tuple[DeclaredKey, ...] | None = None
    groups: tuple[DeclaredGroup, ...] | None = None
    routes: tuple[DeclaredRoute, ...] | None = None
    tx_idle_s: float | None = None
    tx_idle_place: Place = Place()
    withdrawal_is_final: bool = False
    own_plans: bool = False
    unusable_names: tuple[Place, ...] = ()
    empty_keys: tuple[Place, ...] = ()

    def customers_of(self, plan: str) -> list[str]:
        """Return the organisations that have a plan."""
        return [o.name for o in self.organisations or () if o.plan == plan]


Entry = TypeVar("Entry")


def by_name(entries: Iterable[Entry] | None) -> dict[str, Entry]:
    """Return entries by name; of those with one name, the last takes effect."""
    return {entry.name: entry for entry in entries or ()}


def shown_digest(digest: str) -> str:
    """Return the part of a key's digest that is shown."""
    return digest[:SHOWN_DIGEST_CHARS]


def fmt(number: float) -> str:
    """Return a number in short; one of hundreds of digits can't be formatted.

    >>> fmt(2.50), fmt(1_000_000), fmt(10**400)
    ('2.5', '1000000', 'a huge number')
    """
    if isinstance(number, int) and abs(number) > MAX_SHOWN_NUMBER:
        return "a huge number"
    return f"{number:.15g}"


def shown_name(name: str) -> str:
    r"""Return a name without characters that could confuse a terminal, shortened.

    >>> shown_name("a\x1b[0m")
    'a\\x1b[0m'
    """
    if len(name) > MAX_SHOWN_CHARS:
        name = name[:MAX_SHOWN_CHARS] + "..."
    return printable(name)


def shown_names(names: Iterable[str]) -> str:
    """Return some names in order, with the number of those that are left out.

    >>> shown_names(["b", "a"])
    'a, b'
    """
    ordered = sorted(set(names))
    text = ", ".join(shown_name(name) for name in ordered[:MAX_SHOWN_NAMES])
    left_out = len(ordered) - MAX_SHOWN_NAMES
    return f"{text} and {left_out} more" if left_out > 0 else text or "none"
