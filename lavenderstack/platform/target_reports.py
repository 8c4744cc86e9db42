"""Decodes what targets report about themselves in the platform's store.

The platform calls a group a service and a target a server. Others may write there too:
an entry with a field missing, of another type or out of its range names no target to
use. Names go into the greeting of a connection, so one that holds a blank or a line end
isn't accepted either. Fields that aren't known here are passed over.
"""

from typing import Annotated, Literal

import msgspec
import structlog
from msgspec import Meta

from lavenderstack.border.address import parse_address
from lavenderstack.core.failover.replica_set import TargetRun
from lavenderstack.core.names import NAME_PATTERN, is_usable_name
from lavenderstack.core.view import Target
from lavenderstack.platform.decoding import DECODE_ERRORS, MS_PER_S, TARGETS_PREFIX

log = structlog.get_logger()

MAX_SLOTS = 100_000
# Longer than any target is cold, so that the sum with the clock stays a time.
MAX_COLD_MS = 86_400_000.0
# The largest whole number that every reader of JSON keeps exactly.
MAX_EXACT = 2**53 - 1

_Name = Annotated[str, Meta(pattern=NAME_PATTERN)]


class _Server(msgspec.Struct):
    service: _Name
    addr: str
    zone: _Name
    version: str
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    # For how much longer it is slow after its start.
    cold_left_ms: Annotated[float, Meta(le=MAX_COLD_MS)]
    db_role: Literal["primary", "replica"]
    seq: int
    # When its present run began, in Unix milliseconds.
    born: Annotated[int, Meta(ge=0, le=MAX_EXACT)] = 0


class TargetReport(msgspec.Struct, frozen=True):
    """A target's report about itself.

    ``leads`` tells whether it is the primary, ``leaving`` whether it is draining.
    ``started_ms`` is when its present run began, in Unix milliseconds, 0 if it doesn't
    say so. ``cold_s`` is how many more seconds it is cold, from the report's arrival.
    """

    target: Target
    group: str
    leaving: bool
    leads: bool
    started_ms: int = 0
    cold_s: float = 0.0


def decode_report(key: str, value: bytes) -> TargetReport | None:
    """Return a target's report, or None if it names no usable target.

    The target's number of connections is left at 0: the catalog defines it.
    """
    try:
        server = msgspec.json.decode(value, type=_Server)
        name = key.removeprefix(TARGETS_PREFIX)
        if not is_usable_name(name):
            raise ValueError("a name that can't be sent")
        host, port = parse_address(server.addr)
    except DECODE_ERRORS as exc:
        log.info(
            "documents: report names no usable target", key=key, error=str(exc)[:200]
        )
        return None
    return TargetReport(
        target=Target(name, server.zone, host, port, server.slots, 0),
        group=server.service,
        leaving=server.state == "draining",
        leads=server.db_role == "primary",
        started_ms=server.born,
        cold_s=max(0.0, server.cold_left_ms / MS_PER_S),
    )


class _TargetRun(msgspec.Struct):
    service: str
    born: int = 0


def decode_target_run(key: str, value: bytes) -> tuple[str, TargetRun] | None:
    """Return the group and the run of a target, whatever else it reports.

    Returns None if the entry doesn't tell. Unlike ``decode_report`` this takes more
    entries for those of targets: one that may have held a commit must not be missed.
    """
    try:
        report = msgspec.json.decode(value, type=_TargetRun)
    except DECODE_ERRORS as exc:
        error = str(exc)[:200]
        log.info("documents: target's run not understood", key=key, error=error)
        return None
    return report.service, TargetRun(key.removeprefix(TARGETS_PREFIX), report.born)
