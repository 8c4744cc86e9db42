"""When the refused operations of an organisation should come back.

An organisation that sends more than its plan allows gets one token every ``1 / rate``
seconds. If all refused operations were told the time of the next token, they would come
back together and all but one would be refused again. So each refused operation is told
the time of a token of its own, in the order of arrival. The times are spread over a
short span only: latency goals are some hundred milliseconds, so callers that are sent
away for longer are answered too late.

This answers the load of an organisation above its plan: a burst of clients of one
organisation, or a limit that was lowered.
"""

from dataclasses import dataclass

# Longest time until the next token that is told.
MAX_RETRY_AFTER_S = 1.0
# Span over which callers come back if the next token comes sooner.
MAX_SPREAD_S = 0.1
# Shortest time that is told: a caller that comes back at once finds no token.
MIN_RETRY_AFTER_S = 0.005


@dataclass(slots=True)
class ReturnSchedule:
    """The times told to the refused operations of one organisation.

    ``last_at`` is the latest of them, in seconds on the clock.
    """

    last_at: float = float("-inf")

    def next_after_s(self, now: float, first_s: float, spacing_s: float) -> float:
        """Return in how many seconds the next refused operation should come back.

        ``first_s`` is the time until the next token, ``spacing_s`` that between tokens.
        """
        first_at = now + max(first_s, MIN_RETRY_AFTER_S)
        at = max(first_at, min(self.last_at + spacing_s, now + MAX_SPREAD_S))
        self.last_at = at
        return at - now
