"""The table of a soak's checks.

Every check takes the record of what callers, targets and the operator saw, and yields
a line for each thing that may not happen.
"""

from collections.abc import Callable, Iterator

from bench.soak_log_checks import (
    doubled_writes,
    false_refusals,
    lost_writes,
    replaced_primaries,
    stale_reads,
    unasked_commits,
)
from bench.soak_record import Record
from bench.soak_time_checks import (
    deadlines,
    evacuated_zones,
    lost_answers,
    own_ends,
    planned_stops,
    rates,
    reverted_configurations,
    withdrawn_keys,
)

Check = Callable[[Record], Iterator[str]]

CHECKS: tuple[Check, ...] = (
    lost_writes,
    doubled_writes,
    false_refusals,
    unasked_commits,
    stale_reads,
    replaced_primaries,
    rates,
    withdrawn_keys,
    reverted_configurations,
    evacuated_zones,
    planned_stops,
    lost_answers,
    deadlines,
    own_ends,
)


def violations(record: Record) -> list[str]:
    """Return a line for each violation, with the name of its check."""
    return [f"{check.__name__}: {line}" for check in CHECKS for line in check(record)]
