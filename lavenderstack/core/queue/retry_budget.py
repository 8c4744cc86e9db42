"""Limits what an entry node sends to a group beyond first attempts.

Rounds over the targets, hedged reads and other holders share one budget. A tenth of a
first attempt is added with each, and unused parts are kept up to a small reserve, which
covers the statements under way when a primary is replaced. So an overloaded or failing
group gets at most a tenth more than what callers ask for, whatever fails.

``core/queue/retry.py`` has a budget for all groups together, for callers over HTTP.
"""

from dataclasses import dataclass

RETRIES_PER_STATEMENT = 0.1
RESERVE_RETRIES = 10.0
# Makes up for the rounding of ten additions of a tenth.
ROUNDING = 1e-9


@dataclass(slots=True)
class GroupRetryBudget:
    """The budget of one entry node for one group.

    >>> budget = GroupRetryBudget(level=0.95)
    >>> budget.take()
    False
    >>> budget.count_statement()
    >>> budget.take()
    True
    """

    level: float = RESERVE_RETRIES

    def count_statement(self) -> None:
        """Count the first attempt of a statement."""
        self.level = min(RESERVE_RETRIES, self.level + RETRIES_PER_STATEMENT)

    def take(self) -> bool:
        """Take one further attempt; return False if there is none left."""
        if self.level < 1.0 - ROUNDING:
            return False
        self.level -= 1.0
        return True
