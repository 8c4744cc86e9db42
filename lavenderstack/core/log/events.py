"""The catalogue of log lines: their texts, fields and kinds.

A test checks every log call of the service against it, so that texts and fields stay
what operators search for. Another test checks that ``docs/OPERATIONS.md`` lists every
text. The kind decides which lines are dropped first when there are too many.
"""

from lavenderstack.core.log import events_groups, events_process, events_statements
from lavenderstack.core.log.event_types import Event, LineKind

__all__ = ["EVENTS", "Event", "LineKind"]

_LIST = (
    *events_process.EVENTS,
    *events_groups.EVENTS,
    *events_statements.EVENTS,
)

EVENTS = {event.text: event for event in _LIST}
