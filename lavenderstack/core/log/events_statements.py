"""Log lines of callers, statements, targets and streams."""

from lavenderstack.core.log.event_types import Event, LineKind

EVENTS = (
    Event(
        "executor: transactions ended, zone evacuated",
        LineKind.STATE,
        ("target", "ended"),
        "they were open after the grace period; rolled back here",
    ),
    Event(
        "executor: cold target limited",
        LineKind.STATE,
        ("target", "group", "limit", "left_s"),
        "it has just started or may have; limit: what this node may send in a second",
    ),
    Event(
        "executor: target no longer limited",
        LineKind.STATE,
        ("target", "group", "limit", "left_s"),
        "it is not cold any more",
    ),
    Event(
        "executor: slots return step by step",
        LineKind.STATE,
        ("target", "slots"),
        "its zone was returned, or it is not cold any more; all slots after 2 s",
    ),
    Event(
        "executor: connection discarded",
        LineKind.STATE,
        ("target", "error"),
        "no answer, or lost, before a caller's statement was sent on it",
    ),
    Event(
        "executor: target lost",
        LineKind.LIFE,
        ("target", "error"),
        "statements for it are refused here until it answers",
    ),
    Event(
        "executor: target reachable again",
        LineKind.LIFE,
        ("target",),
        "the target answers again",
    ),
    Event(
        "executor: idle transaction ended", LineKind.STATE, ("tx",), "rolled back here"
    ),
    Event(
        "executor: connection given back twice",
        LineKind.STATE,
        ("target",),
        "a defect; it has no effect",
    ),
    Event(
        "executor: connection not prepared",
        LineKind.STATE,
        ("target", "reason", "detail"),
        "the target refused to set a session's values or prepared statement; the "
        "connection is closed",
    ),
    Event(
        "executor: statement prepared",
        LineKind.SUCCESS,
        ("request", "target", "connection", "name", "shape", "shape_chars"),
        "name and start of the shape that the target was sent for a session; "
        "connection: its number among those of this node to the target",
    ),
    Event(
        "executor: share of connections changed",
        LineKind.STATE,
        ("target", "max_open", "open"),
        "load control: this node may now have max_open connections to the target",
    ),
    Event(
        "executor: work failed",
        LineKind.FAILURE,
        (
            "request",
            "organisation",
            "target",
            "run",
            "reason",
            "detail",
            "queue",
            "min_position",
        ),
        "this holder refused it or had no answer; run: whether it may have run",
    ),
    Event(
        "executor: statements shed",
        LineKind.STATE,
        ("target", "organisation", "priority", "wait_s", "waiting", "refused"),
        "this holder refuses statements that it can't serve in time; at most one line "
        "a second a target, with the last refused one; refused: all since the start",
    ),
    Event(
        "executor: concurrency limit changed",
        LineKind.STATE,
        ("target", "limit", "before", "slots", "service_ms"),
        "this holder runs more or fewer statements at once there, by more than a "
        "quarter; at most one line for a target in 5 s",
    ),
    Event(
        "dispatch: group full",
        LineKind.STATE,
        ("group", "priority", "retry_after_s", "refused"),
        "statements are refused here since all targets reported full; at most one line "
        "a second a group; refused: all since the start",
    ),
    Event(
        "dispatch: target attempt failed",
        LineKind.RETRY,
        ("request", "target", "holder", "reason", "detail"),
        "an attempt failed and may be retried",
    ),
    Event(
        "dispatch: loaded target passed over",
        LineKind.STATE,
        ("group", "target", "selected", "expected_ms", "selected_ms"),
        "reads of this node leave their zone, since its target would take longer; at "
        "most one line for a target in 5 s",
    ),
    Event(
        "dispatch: attempt raised an exception",
        LineKind.STATE,
        ("exc_info",),
        "a defect",
    ),
    Event(
        "session: rollback not delivered",
        LineKind.STATE,
        ("holder", "error"),
        "the holder ends the transaction after its idle limit",
    ),
    Event(
        "session: idle transaction ended",
        LineKind.STATE,
        ("organisation", "tx"),
        "it was idle longer than allowed",
    ),
    Event(
        "callers: request failed",
        LineKind.FAILURE,
        (
            "request",
            "organisation",
            "database",
            "statement",
            "reason",
            "detail",
            "target",
            "holder",
            "freshness",
            "access",
            "role",
            "took_ms",
            "version",
            "proof_age_s",
        ),
        "the answer to a caller was an error",
    ),
    Event(
        "callers: request done",
        LineKind.SUCCESS,
        (
            "request",
            "organisation",
            "database",
            "statement",
            "target",
            "holder",
            "freshness",
            "access",
            "role",
            "took_ms",
            "version",
            "proof_age_s",
        ),
        "a caller was served (a sample)",
    ),
    Event(
        "callers: request served on an unproved view",
        LineKind.FAILURE,
        ("request", "organisation", "database", "version", "proof_age_s"),
        "its route may have been changed or removed since; counted by "
        "``served_unproved``, which stays 0",
    ),
    Event(
        "callers: request unanswered",
        LineKind.FAILURE,
        ("request", "organisation", "reason", "took_ms"),
        "the caller had disconnected before the answer",
    ),
    Event(
        "callers: connection refused",
        LineKind.FAILURE,
        ("reason", "detail"),
        "no session was opened",
    ),
    Event(
        "callers: message not understood",
        LineKind.FAILURE,
        ("error",),
        "the connection is closed",
    ),
    Event("callers: session failed", LineKind.LIFE, ("exc_info",), "a defect"),
    Event(
        "targets: message not understood",
        LineKind.STATE,
        ("error",),
        "the connection is closed",
    ),
    Event("targets: status not understood", LineKind.STATE, ("error",), "ignored"),
    Event(
        "positions: no answer",
        LineKind.RETRY,
        ("holder", "error"),
        "another node is asked",
    ),
    Event("streams: frame too long", LineKind.STATE, ("length",), "stream closed"),
    Event("streams: frame not understood", LineKind.STATE, ("error",), "stream closed"),
    Event(
        "streams: no handler",
        LineKind.STATE,
        ("message",),
        "answered as not supported",
    ),
    Event(
        "streams: reply not sendable",
        LineKind.FAILURE,
        ("message", "error"),
        "too long or no text; answered as failed",
    ),
    Event(
        "streams: message not supported",
        LineKind.STATE,
        ("message", "reply"),
        "another build sent it; a request is answered as not supported",
    ),
)
