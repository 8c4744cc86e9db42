"""Translates the operators' lists in one document into a ``DeclaredConfig``.

The document has the entries ``plans``, ``bought``, ``groups`` and ``keys``, each as the
``admin`` command shows it, with or without its revision; some may be missing. Keys are
given by digest, or as ``admin keys list`` prints them. The models are those by which
nodes accept the lists (``border/documents.py``).
"""

import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from pydantic import BaseModel, TypeAdapter, ValidationError

from lavenderstack.border import documents
from lavenderstack.border.settings import DIGEST_PATTERN
from lavenderstack.core.config.declared_config import (
    DeclaredConfig,
    DeclaredGroup,
    DeclaredKey,
    DeclaredLimits,
    DeclaredOrganisation,
    DeclaredTarget,
    Finding,
    Place,
    error,
    shown_digest,
    warning,
)

LISTS = ("plans", "bought", "groups", "keys")
# In stored entries, next to the fields of the models.
_STORED_FIELDS = frozenset({"change_id", "operator", "name", "digest"})
_ALIASES = {"limits": "plans", "customers": "bought"}
_NAME = TypeAdapter(documents.Name)
_NAME_RULE = "A name has 1 to 200 characters, without spaces and slashes."


@dataclass(slots=True)
class _Reader:
    """Collects what is found; ``bad`` are the lists that have errors."""

    findings: list[Finding] = field(default_factory=list)
    revisions: dict[str, int] = field(default_factory=dict)
    bad: set[str] = field(default_factory=set)

    def add_error(self, place: Place, message: str) -> None:
        """Record that a node refuses a value."""
        self.bad.add(place.path[0])
        self.findings.append(error("invalid-value", place, message))

    def add_errors(self, exc: ValidationError, place: Place) -> None:
        """Record the errors of a model; the values are left out."""
        for found in exc.errors(include_input=False, include_url=False):
            at = place
            for part in found["loc"]:
                at = at.child(part) if part != "[key]" else at
            self.add_error(at, _reason(found))

    def warn_of_unknown(self, raw: dict, model: type[BaseModel], place: Place) -> None:
        """Record the fields that nodes ignore, such as misspelt ones."""
        unknown = raw.keys() - model.model_fields.keys() - _STORED_FIELDS
        for name in sorted(unknown):
            text = "This is not a known field; nodes ignore it."
            self.findings.append(warning("unknown-field", place.child(name), text))


def _reason(found: dict) -> str:
    if found["type"] in ("string_pattern_mismatch", "string_too_short"):
        return _NAME_RULE
    if found["type"] == "too_short":
        return "This must not be empty."
    return f"{found['msg']}."


def recognises(document: Any) -> bool:
    """Return whether a document has one of the operators' lists."""
    return isinstance(document, dict) and any(name in document for name in LISTS)


def translate(document: dict, _: bytes) -> tuple[DeclaredConfig, list[Finding]]:
    """Return the configuration, and what a node would refuse or ignore in it."""
    reader, root = _Reader(), Place(aliases=_ALIASES)
    for name in sorted(document.keys() - set(LISTS)):
        text = f"This is not one of {', '.join(LISTS)}; nothing reads it."
        reader.findings.append(warning("unknown-field", root.child(name), text))
    readers = {
        "plans": _read_plans,
        "bought": _read_bought,
        "groups": _read_groups,
        "keys": _read_keys,
    }
    lists: dict[str, tuple | None] = {}
    for name, read in readers.items():
        entries = tuple(_read_list(reader, document, name, read, root))
        is_usable = name in document and name not in reader.bad
        lists[name] = entries if is_usable else None
    cfg = DeclaredConfig(
        root=root,
        revisions=reader.revisions,
        limits=lists["plans"],
        organisations=lists["bought"],
        groups=lists["groups"],
        keys=lists["keys"],
        withdrawal_is_final=True,
    )
    return cfg, reader.findings


def _read_list(
    reader: _Reader, document: dict, name: str, read: Any, root: Place
) -> Iterator[Any]:
    if name not in document:
        return
    entries, place = document[name], root.child(name)
    if is_wrapped(entries):
        if name in ("plans", "bought"):
            # That of the groups is the revision of a node's whole view.
            reader.revisions[name] = entries["revision"]
        entries, place = entries["entries"], place.child("entries")
    if name == "keys" and _is_key_listing(entries):
        entries, place = entries["keys"], place.child("keys")
    if isinstance(entries, dict) or (name == "keys" and isinstance(entries, list)):
        yield from read(reader, entries, place)
    else:
        reader.add_error(place, "Expected entries by name.")


def _is_key_listing(entries: Any) -> bool:
    """Return whether keys are as ``admin keys list`` prints them, not by digest."""
    if not isinstance(entries, dict) or not isinstance(entries.get("keys"), list):
        return False
    return entries.keys() <= {"keys", "revision"}


def is_wrapped(entries: Any) -> bool:
    """Return whether a list is shown with the revision that it was read at."""
    if not isinstance(entries, dict) or not isinstance(entries.get("entries"), dict):
        return False
    revision = entries.get("revision")
    return isinstance(revision, int) and not isinstance(revision, bool)


def _read_plans(
    reader: _Reader, entries: dict, place: Place
) -> Iterator[DeclaredLimits]:
    for name, raw in entries.items():
        if isinstance(raw, dict):
            reader.warn_of_unknown(raw, documents.PlanModel, place.child(name))
    try:
        plans = documents.PLANS.validate_python(entries)
    except ValidationError as exc:
        reader.add_errors(exc, place)
        return
    for name, model in plans.items():
        yield DeclaredLimits(name, place.child(name), **dict(model))


def _read_bought(
    reader: _Reader, entries: dict, place: Place
) -> Iterator[DeclaredOrganisation]:
    try:
        bought = documents.BOUGHT.validate_python(entries)
    except ValidationError as exc:
        reader.add_errors(exc, place)
        return
    for name, plan in bought.items():
        yield DeclaredOrganisation(name, place.child(name), plan)


def _read_groups(
    reader: _Reader, entries: dict, place: Place
) -> Iterator[DeclaredGroup]:
    for name, raw in entries.items():
        group_place = place.child(name)
        try:
            _NAME.validate_python(name)
        except ValidationError:
            reader.add_error(group_place, _NAME_RULE)
        if is_wrapped(raw):
            raw, group_place = raw["entries"], group_place.child("entries")
        yield from _read_group(reader, name, raw, group_place)


def _read_group(
    reader: _Reader, name: str, raw: Any, place: Place
) -> Iterator[DeclaredGroup]:
    try:
        model = documents.GroupModel.model_validate(raw)
    except ValidationError as exc:
        reader.add_errors(exc, place)
        return
    reader.warn_of_unknown(raw, documents.GroupModel, place)
    targets = []
    for index, target in enumerate(model.targets):
        target_place = place.child("targets").child(index)
        reader.warn_of_unknown(
            raw["targets"][index], documents.TargetModel, target_place
        )
        targets.append(_declare_target(target, target_place))
    yield DeclaredGroup(
        name,
        place,
        min(target.connections for target in targets),
        tuple(targets),
        model.organisations,
        model.open_statements,
    )


def _declare_target(model: documents.TargetModel, place: Place) -> DeclaredTarget:
    address = f"{model.host}:{model.port}"
    return DeclaredTarget(
        model.name, place, model.zone, address, model.slots, model.connections
    )


def _read_keys(
    reader: _Reader, entries: dict | list, place: Place
) -> Iterator[DeclaredKey]:
    rows = entries.items() if isinstance(entries, dict) else enumerate(entries)
    for number, (part, raw) in enumerate(rows):
        digest = part if isinstance(part, str) else _digest_in(raw)
        if isinstance(digest, str) and re.fullmatch(DIGEST_PATTERN, digest):
            shown = shown_digest(digest) if isinstance(part, str) else None
            yield from _read_key(reader, digest, raw, place.child(part, shown))
        else:
            # The text may be a key itself, so only its position is shown.
            at = place.child(part, f"[{number}]")
            reader.add_error(at, "Expected the digest of a key, 64 hex digits.")


def _digest_in(raw: Any) -> Any:
    return raw.get("digest") if isinstance(raw, dict) else None


def _read_key(
    reader: _Reader, digest: str, raw: Any, place: Place
) -> Iterator[DeclaredKey]:
    try:
        model = documents.KeyModel.model_validate(raw)
    except ValidationError as exc:
        reader.add_errors(exc, place)
        return
    reader.warn_of_unknown(raw, documents.KeyModel, place)
    yield DeclaredKey(digest, model.organisation, place, model.withdrawn)
