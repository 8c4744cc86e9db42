"""Attaches a report of the target's load to the answers of its connection holder."""

from dataclasses import dataclass, field

import msgspec

from lavenderstack.core import clock
from lavenderstack.core.load_report import SlotTimes, build_report
from lavenderstack.core.messages import Failed, Message
from lavenderstack.core.outcome import Reason
from lavenderstack.core.work_messages import Work, WorkDone
from lavenderstack.node.directory import Directory
from lavenderstack.node.slots import Slots

# Failures after which the queue tells how long the next statement waits. After others,
# this node may be unable to use the target: its queue is empty, yet nothing is idle.
_REPORTED_FAILURES = frozenset(
    {
        Reason.CROWDED,
        Reason.DEADLINE,
        Reason.BEHIND,
        Reason.STATEMENT_FAILED,
        Reason.TIMED_OUT,
    }
)
# Not a name that an organisation can have, so none of its statements wait.
_NO_ORGANISATION = "\0"


@dataclass(slots=True)
class LoadReports:
    """Reports the load of one target; ``times`` are those of its slots."""

    directory: Directory
    slots: Slots
    times: SlotTimes = field(default_factory=SlotTimes)

    def attach(self, work: Work, answer: Message, arrived_at: float) -> Message:
        """Return the answer with the report if its group is under load control.

        ``arrived_at`` is when the work arrived here, in seconds on the clock.
        """
        if not self.directory.is_load_controlled(work.group):
            return answer
        if isinstance(answer, Failed):
            if answer.reason not in _REPORTED_FAILURES:
                return answer
        elif not isinstance(answer, WorkDone):
            return answer
        now = clock.now()
        report = build_report(
            self.slots.queue_load(_NO_ORGANISATION),
            self.times,
            work.priority,
            work.latency_goal_s,
            now - arrived_at,
            now,
        )
        return msgspec.structs.replace(answer, load=report)
