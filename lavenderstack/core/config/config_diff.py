"""Compares a configuration with the version in force, and names who is affected.

What takes something away from callers is a warning, such as a key that stops working or
a rate that is lowered; every other difference is for information. What nodes would
ignore or refuse after the version in force is an error.
``core/config/config_diff_groups.py`` has the groups and routes. Only lists that both
versions have are compared.
"""

from collections import defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from lavenderstack.core.config import config_diff_groups
from lavenderstack.core.config.declared_config import (
    DeclaredConfig,
    DeclaredKey,
    DeclaredLimits,
    Finding,
    by_name,
    error,
    fmt,
    info,
    shown_digest,
    shown_name,
    shown_names,
    warning,
)


class _Limit(NamedTuple):
    """A field of ``DeclaredLimits``; ``more`` tells that callers want it high."""

    name: str
    unit: str
    more: bool = True


_LIMITS = (
    _Limit("rate", " requests/s"),
    _Limit("burst", " requests"),
    _Limit("weight", ""),
    _Limit("queue", " requests"),
    _Limit("priority", "", more=False),
)


def compare(old: DeclaredConfig, new: DeclaredConfig) -> list[Finding]:
    """Return the differences of ``new`` from ``old``, the version in force."""
    differences = [
        *_compare_organisations(old, new),
        *_compare_limits(old, new),
        *_compare_keys(old, new),
        *config_diff_groups.compare(old, new),
    ]
    return [*_compare_versions(old, new, bool(differences)), *differences]


def _compare_versions(
    old: DeclaredConfig, new: DeclaredConfig, is_changed: bool
) -> Iterator[Finding]:
    place = new.root.field("version")
    if old.version is not None and new.version is not None:
        if new.version < old.version:
            text = (
                f"The version goes back from {fmt(old.version)} to "
                f"{fmt(new.version)}: nodes ignore it."
            )
            yield error("version-goes-back", place, text)
        elif new.version == old.version and is_changed:
            text = f"The version is still {fmt(old.version)}: nodes ignore the changes."
            yield error("version-not-raised", place, text)
    for name, revision in new.revisions.items():
        in_force = old.revisions.get(name, revision)
        if revision < in_force:
            text = (
                f"The list {name} was read at revision {fmt(revision)} and changed "
                f"since, at {fmt(in_force)}: it would be refused as a conflict."
            )
            yield error("revision-goes-back", new.root.child(name), text)


def _compare_organisations(
    old: DeclaredConfig, new: DeclaredConfig
) -> Iterator[Finding]:
    if old.organisations is None or new.organisations is None:
        return
    before, after = by_name(old.organisations), by_name(new.organisations)
    for name in sorted(before.keys() - after.keys()):
        text = f"{shown_name(name)} is removed: all of its requests are refused."
        yield warning("organisation-removed", new.root.field("customers"), text)
    for name in sorted(after.keys() - before.keys()):
        text = f"{shown_name(name)} is added."
        yield info("organisation-added", after[name].place, text)
    old_plans = by_name(old.limits)
    new_plans = old_plans if new.limits is None else by_name(new.limits)
    yield from _unknown_plans(old, new)
    for name in sorted(before.keys() & after.keys()):
        first, second = before[name].plan, after[name].plan
        if first != second:
            changes = _limit_changes(old_plans.get(first), new_plans.get(second))
            text = (
                f"{shown_name(name)} changes from the plan {shown_name(first)} to "
                f"{shown_name(second)}{_describe(changes)}."
            )
            make = warning if any(change.is_less for change in changes) else info
            yield make("organisation-changes-plan", after[name].place, text)


def _unknown_plans(old: DeclaredConfig, new: DeclaredConfig) -> Iterator[Finding]:
    """Yield the organisations with a plan that is neither given nor in force."""
    if new.limits is not None or old.limits is None:
        return
    plans = by_name(old.limits)
    for organisation in new.organisations:
        if organisation.plan not in plans:
            text = (
                f"{shown_name(organisation.name)} has the plan "
                f"{shown_name(organisation.plan)}, which isn't in force."
            )
            yield error("plan-not-in-force", organisation.place, text)


class _LimitChange(NamedTuple):
    """A limit that differs, in words, and whether callers get less."""

    limit: _Limit
    text: str
    is_less: bool


def _limit_changes(
    old: DeclaredLimits | None, new: DeclaredLimits | None
) -> list[_LimitChange]:
    if old is None or new is None:
        return []
    changes = []
    for limit in _LIMITS:
        before, after = getattr(old, limit.name), getattr(new, limit.name)
        if before == after or before is None or after is None:
            continue
        text = f"{limit.name} from {fmt(before)} to {fmt(after)}{limit.unit}"
        changes.append(_LimitChange(limit, text, (after < before) is limit.more))
    return changes


def _describe(changes: list[_LimitChange]) -> str:
    return "".join(f", {change.text}" for change in changes)


def _compare_limits(old: DeclaredConfig, new: DeclaredConfig) -> Iterator[Finding]:
    if old.limits is None or new.limits is None:
        return
    before, after = by_name(old.limits), by_name(new.limits)
    if not new.own_plans:
        yield from _added_and_removed_plans(old, new)
    customers = _customers_by_plan(old if new.organisations is None else new)
    for name in sorted(before.keys() & after.keys()):
        subject = (
            f"{shown_name(name)}: " if new.own_plans else f"Plan {shown_name(name)}: "
        )
        if new.own_plans:
            yield from config_diff_groups.compare_home_regions(
                shown_name(name), before[name], after[name]
            )
        for change in _limit_changes(before[name], after[name]):
            text = f"{subject}{change.text}."
            if not new.own_plans:
                text += f" Affected: {shown_names(customers[name])}."
            place = after[name].place.field(change.limit.name)
            if change.is_less:
                yield warning("limit-lowered", place, text)
            else:
                yield info("limit-raised", place, text)


def _customers_by_plan(cfg: DeclaredConfig) -> dict[str, list[str]]:
    customers = defaultdict(list)
    for organisation in cfg.organisations or ():
        customers[organisation.plan].append(organisation.name)
    return customers


def _added_and_removed_plans(
    old: DeclaredConfig, new: DeclaredConfig
) -> Iterator[Finding]:
    before, after = by_name(old.limits), by_name(new.limits)
    customers = _customers_by_plan(old)
    place, is_still_bought = new.root.field("limits"), new.organisations is None
    for name in sorted(before.keys() - after.keys()):
        text = (
            f"The plan {shown_name(name)} is removed. Organisations that have it: "
            f"{shown_names(customers[name])}."
        )
        if customers[name] and is_still_bought:
            yield error("plan-still-bought", place, text)
        else:
            yield (warning if customers[name] else info)("plan-removed", place, text)
    for name in sorted(after.keys() - before.keys()):
        yield info("plan-added", after[name].place, f"New plan {shown_name(name)}.")


def _compare_keys(old: DeclaredConfig, new: DeclaredConfig) -> Iterator[Finding]:
    if old.keys is None or new.keys is None:
        return
    before = {key.digest: key for key in old.keys}
    after = {key.digest: key for key in new.keys}
    for digest in sorted(before.keys() | after.keys()):
        yield from _compare_key(before.get(digest), after.get(digest), new)


def _compare_key(
    old: DeclaredKey | None, new: DeclaredKey | None, cfg: DeclaredConfig
) -> Iterator[Finding]:
    did_work = old is not None and not old.withdrawn
    works = new is not None and not new.withdrawn
    if did_work and not works:
        how = "withdrawn" if new is not None else "removed"
        text = (
            f"The key {shown_digest(old.digest)} of {shown_name(old.organisation)} is "
            f"{how}: it stops working."
        )
        place = cfg.root.field("keys") if new is None else new.place
        yield warning("key-stops", place, text)
    elif works and old is not None and old.withdrawn and cfg.withdrawal_is_final:
        text = f"The key {shown_digest(new.digest)} was withdrawn, which is final."
        yield error("key-granted-again", new.place, text)
    elif works and not did_work:
        text = (
            f"A new key {shown_digest(new.digest)} of {shown_name(new.organisation)}."
        )
        yield info("key-added", new.place, text)
    elif works and old.organisation != new.organisation:
        text = (
            f"The key {shown_digest(new.digest)} moves from "
            f"{shown_name(old.organisation)} to {shown_name(new.organisation)}."
        )
        yield warning("key-moves", new.place, text)
