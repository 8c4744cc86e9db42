"""Compares the groups and routes of a configuration with the version in force.

A part of ``core/config/config_diff.py``.
"""

from collections.abc import Iterator
from itertools import chain

from lavenderstack.core.catalog import Consistency
from lavenderstack.core.config.declared_config import (
    DeclaredConfig,
    DeclaredGroup,
    DeclaredLimits,
    DeclaredRoute,
    DeclaredTarget,
    Finding,
    by_name,
    fmt,
    info,
    shown_name,
    shown_names,
    warning,
)

# From the weakest guarantee to the strongest.
_STRENGTH = (Consistency.BOUNDED, Consistency.SESSION, Consistency.PRIMARY)
# More targets than this at once may leave none that both majorities share.
MAX_TARGETS_AT_ONCE = 1


def compare(old: DeclaredConfig, new: DeclaredConfig) -> Iterator[Finding]:
    """Yield the differences of the groups, routes and the idle time."""
    if old.groups is not None and new.groups is not None:
        yield from _compare_groups(old, new)
    if old.routes is not None and new.routes is not None:
        yield from _compare_routes(old, new)
    if None not in (old.tx_idle_s, new.tx_idle_s) and old.tx_idle_s != new.tx_idle_s:
        text = (
            f"Transactions may be idle for {fmt(new.tx_idle_s)} s instead of "
            f"{fmt(old.tx_idle_s)} s. Affected: all callers."
        )
        make = warning if new.tx_idle_s < old.tx_idle_s else info
        yield make("idle-changed", new.tx_idle_place, text)


def _callers(group: DeclaredGroup) -> str:
    if group.organisations is None:
        return "all organisations"
    everyone = ["everyone"] if group.open_statements else []
    return shown_names([*group.organisations, *everyone])


def _compare_groups(old: DeclaredConfig, new: DeclaredConfig) -> Iterator[Finding]:
    before, after = by_name(old.groups), by_name(new.groups)
    for name in sorted(before.keys() - after.keys()):
        text = (
            f"The group {shown_name(name)} is removed. Affected: "
            f"{_callers(before[name])}."
        )
        yield warning("group-removed", new.root.field("groups"), text)
    for name in sorted(after.keys() - before.keys()):
        text = f"New group {shown_name(name)}, for {_callers(after[name])}."
        yield info("group-added", after[name].place, text)
    for name in sorted(before.keys() & after.keys()):
        yield from _compare_group(before[name], after[name])


def _compare_group(old: DeclaredGroup, new: DeclaredGroup) -> Iterator[Finding]:
    name, place = shown_name(new.name), new.place
    yield from _compare_callers(old, new)
    if old.targets is not None and new.targets is not None:
        yield from _compare_targets(old, new)
    elif old.connections != new.connections:
        text = (
            f"A target of the group {name} holds {fmt(new.connections)} connections "
            f"instead of {fmt(old.connections)}. Affected: {_callers(new)}."
        )
        place = place.field("connections")
        if new.connections < old.connections:
            yield warning("connections-lowered", place, text)
        else:
            yield info("connections-raised", place, text)
    yield from _compare_cold_limits(old, new)
    if old.replicated and not new.replicated:
        text = f"Commits of the group {name} no longer wait for a replica."
        yield warning("commits-not-replicated", new.place.field("replicated"), text)
    elif new.replicated and not old.replicated:
        text = f"Commits of the group {name} now wait for a replica."
        yield info("commits-replicated", new.place.field("replicated"), text)


def _compare_cold_limits(old: DeclaredGroup, new: DeclaredGroup) -> Iterator[Finding]:
    name = shown_name(new.name)
    before, after = max(0.0, old.cold_rate), max(0.0, new.cold_rate)
    if before != after:
        text = (
            f"Cold targets of the group {name}: {_cold_rate(after)} instead of "
            f"{_cold_rate(before)}. Affected: {_callers(new)}."
        )
        is_less = after > 0 and (before == 0 or after < before)
        make = warning if is_less else info
        yield make("cold-limit-changed", new.place.field("cold_rate"), text)
    if old.cold_s != new.cold_s:
        text = (
            f"Targets of the group {name} are cold for {fmt(new.cold_s)} s after their "
            f"start instead of {fmt(old.cold_s)} s."
        )
        yield info("cold-time-changed", new.place.field("cold_s"), text)


def _cold_rate(rate: float) -> str:
    return f"{fmt(rate)} statements/s" if rate else "no limit"


def compare_home_regions(
    subject: str,
    old: DeclaredRoute | DeclaredLimits,
    new: DeclaredRoute | DeclaredLimits,
) -> Iterator[Finding]:
    """Yield a change of home regions; statements are refused, or may leave regions."""
    before, after = set(old.home_regions), set(new.home_regions)
    if before != after:
        text = (
            f"{subject}: home regions {_regions(after)} instead of {_regions(before)}."
        )
        place = new.place.field("home_regions")
        yield warning("home-regions-changed", place, text)


def _regions(regions: set[str]) -> str:
    return shown_names(regions) if regions else "everywhere"


def _compare_callers(old: DeclaredGroup, new: DeclaredGroup) -> Iterator[Finding]:
    name, place = shown_name(new.name), new.place.field("organisations")
    before, after = old.organisations or frozenset(), new.organisations or frozenset()
    if before - after:
        text = f"May no longer use the group {name}: {shown_names(before - after)}."
        yield warning("group-denied", place, text)
    if after - before:
        text = f"May now use the group {name}: {shown_names(after - before)}."
        yield info("group-allowed", place, text)
    place = new.place.field("open_statements")
    closed = old.open_statements - new.open_statements
    opened = new.open_statements - old.open_statements
    if closed:
        text = f"Callers without a key lose at the group {name}: {shown_names(closed)}."
        yield warning("statement-closed", place, text)
    if opened:
        text = f"Everyone, without a key, may run at {name}: {shown_names(opened)}."
        yield warning("statement-opened", place, text)


def _compare_targets(old: DeclaredGroup, new: DeclaredGroup) -> Iterator[Finding]:
    before, after = by_name(old.targets), by_name(new.targets)
    removed, added = before.keys() - after.keys(), after.keys() - before.keys()
    name, place = shown_name(new.name), new.place.field("targets")
    if removed or added:
        text = (
            f"Targets of the group {name}: added {shown_names(added)}, removed "
            f"{shown_names(removed)}."
        )
        yield info("targets-changed", place, text)
    if max(len(removed), len(added)) > MAX_TARGETS_AT_ONCE:
        text = (
            f"The group {name} changes several targets at once; change one at a time, "
            "or no target may hold what callers were told is kept."
        )
        yield warning("targets-changed-together", place, text)
    for target in sorted(before.keys() & after.keys()):
        yield from _compare_target(before[target], after[target])


def _compare_target(old: DeclaredTarget, new: DeclaredTarget) -> Iterator[Finding]:
    name = shown_name(new.name)
    for what in ("zone", "address"):
        before, after = getattr(old, what), getattr(new, what)
        if before != after:
            text = (
                f"The {what} of the target {name} changes from {shown_name(before)} to "
                f"{shown_name(after)}."
            )
            yield info("target-moved", new.place, text)
    for what in ("slots", "connections"):
        before, after = getattr(old, what), getattr(new, what)
        text = f"The target {name} has {fmt(after)} {what} instead of {fmt(before)}."
        if after < before:
            yield warning("target-lowered", new.place.field(what), text)
        elif after > before:
            yield info("target-raised", new.place.field(what), text)


def _compare_routes(old: DeclaredConfig, new: DeclaredConfig) -> Iterator[Finding]:
    before, after = by_name(old.routes), by_name(new.routes)
    for name in sorted(before.keys() - after.keys()):
        text = (
            f"The route {shown_name(name)} is removed: callers that use this database "
            "name are refused."
        )
        yield warning("route-removed", new.root.field("routes"), text)
    for name in sorted(after.keys() - before.keys()):
        group = shown_name(after[name].group)
        text = f"New route {shown_name(name)} to the group {group}."
        yield info("route-added", after[name].place, text)
    for name in sorted(before.keys() & after.keys()):
        yield from _compare_route(before[name], after[name])


def _compare_route(old: DeclaredRoute, new: DeclaredRoute) -> Iterator[Finding]:
    name = shown_name(new.name)
    if old.group != new.group:
        text = (
            f"The route {name} leads to the group {shown_name(new.group)} instead of "
            f"{shown_name(old.group)}: its callers see other data."
        )
        yield warning("route-moved", new.place.field("group"), text)
    if old.consistency is not new.consistency:
        text = (
            f"Reads on the route {name} are {new.consistency.value} instead of "
            f"{old.consistency.value}."
        )
        is_weaker = _STRENGTH.index(new.consistency) < _STRENGTH.index(old.consistency)
        make = warning if is_weaker else info
        yield make("consistency-changed", new.place.field("consistency"), text)
    if old.public != new.public:
        who = "now also serves" if new.public else "no longer serves"
        text = f"The route {name} {who} callers without a key."
        yield warning("public-changed", new.place.field("public"), text)
    yield from compare_home_regions(f"The route {name}", old, new)
    yield from chain(
        _number("timeout", "s", old.timeout_s, new.timeout_s, new),
        _number("latency_goal", "s", old.latency_goal_s, new.latency_goal_s, new),
        _number("max_age", "s", old.max_age_s, new.max_age_s, new),
        _number("priority", "", old.priority, new.priority, new),
    )


# Of these, callers get less if they rise; of a time-out, if it falls.
_BETTER_LOW = frozenset({"latency_goal", "max_age", "priority"})


def _number(
    what: str, unit: str, before: float, after: float, route: DeclaredRoute
) -> Iterator[Finding]:
    if before == after:
        return
    text = (
        f"The route {shown_name(route.name)}: {what.replace('_', ' ')} from "
        f"{fmt(before)} "
        f"to {fmt(after)} {unit}".rstrip()
    )
    is_less = (after > before) is (what in _BETTER_LOW)
    make = warning if is_less else info
    yield make("route-changed", route.place.field(what), f"{text}.")
