"""Attaches a report of the target's load to the answers of its connection holder."""

from dataclasses import dataclass, field

import msgspec

from lavenderstack.core import clock
from lavenderstack.core.messages import Failed, Message
from lavenderstack.core.outcome import Reason
from lavenderstack.core.queue.slot_times import SlotTimes
from lavenderstack.core.targets.target_load import TargetLoad
from lavenderstack.core.work_messages import Work, WorkDone
from lavenderstack.node.directory import Directory
from lavenderstack.node.load_control import TargetLoadControl
from lavenderstack.node.targets.slots import Slots

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


@dataclass(slots=True)
class LoadReports:
    """Reports the load of one target; ``times`` are those of its slots."""

    directory: Directory
    slots: Slots
    load_control: TargetLoadControl
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
        return msgspec.structs.replace(answer, load=self._report(work, arrived_at))

    def _report(self, work: Work, arrived_at: float) -> TargetLoad:
        now, slots = clock.now(), self.slots
        return TargetLoad(
            waiting=slots.waiting,
            running=slots.slots - slots.free,
            limit=slots.slots,
            mean_s=self.times.mean_s(work.priority, now),
            wait_s=self.load_control.expected_wait_s(work),
            full_s=self.load_control.full_s(work),
            held_s=now - arrived_at,
        )
