"""The catalogue of log lines: their texts, fields and kinds.

A test checks every log call of the service against it, so that texts and fields stay
what operators search for. Another test checks that ``docs/OPERATIONS.md`` lists every
text. The kind decides which lines are dropped first when there are too many.
"""

from dataclasses import dataclass
from enum import StrEnum


class LineKind(StrEnum):
    """What a line is about, from the last to the first kind to be dropped.

    ``LIFE``: start, stop, settings, a dependency lost or regained. ``STATE``: what the
    process knows of its environment has changed. ``FAILURE``: a request was refused or
    its outcome is unknown. ``RETRY``: a request was retried. ``SUCCESS``: a request was
    served.
    """

    LIFE = "life"
    STATE = "state"
    FAILURE = "failure"
    RETRY = "retry"
    SUCCESS = "success"


@dataclass(frozen=True, slots=True)
class Event:
    """One log line: its text, kind and fields, and its meaning for operators."""

    text: str
    kind: LineKind
    fields: tuple[str, ...]
    meaning: str


_LIST = (
    Event("node: started", LineKind.LIFE, ("zone", "version"), "the process listens"),
    Event(
        "node: stopping",
        LineKind.LIFE,
        ("open",),
        "asked to stop; open: operations still running",
    ),
    Event("node: ended", LineKind.LIFE, ("status",), "the process ends"),
    Event("node: settings read", LineKind.LIFE, ("changed",), "new settings apply"),
    Event(
        "node: previous settings kept",
        LineKind.LIFE,
        ("mistakes",),
        "the new ones are invalid",
    ),
    Event(
        "node: a part failed too often", LineKind.LIFE, ("parts",), "the process exits"
    ),
    Event("node: ready", LineKind.LIFE, ("ready", "proof_age_s"), "readiness changed"),
    Event(
        "supervisor: part failed",
        LineKind.LIFE,
        ("part", "exc_info"),
        "a part is restarted after an error",
    ),
    Event(
        "placement: assigned targets changed",
        LineKind.STATE,
        ("taken", "given_up"),
        "this VM became, or is no longer, the first choice as holder of targets",
    ),
    Event(
        "loader: store lost",
        LineKind.LIFE,
        ("error", "proof_age_s"),
        "the store gave no answer",
    ),
    Event(
        "loader: no changes received",
        LineKind.STATE,
        ("holder", "error"),
        "the store reader of the zone is not asked for a while",
    ),
    Event(
        "loader: store reachable again",
        LineKind.LIFE,
        ("after_s",),
        "the store answers again",
    ),
    Event(
        "loader: store restored from a copy",
        LineKind.LIFE,
        ("before", "era"),
        "nothing is taken over from the store for 2.5 s, nothing claimed for 3 s; "
        "before: the last position known, ERA.REVISION",
    ),
    Event(
        "history: read",
        LineKind.STATE,
        ("changes", "known"),
        "all changes of the store from the first one on were read when this node first "
        "owned a group",
    ),
    Event(
        "history: not read",
        LineKind.STATE,
        ("as_of", "reason"),
        "who was registered before the start of this node isn't known here",
    ),
    Event(
        "history: ended",
        LineKind.STATE,
        ("reason",),
        "a registration may have been missed, so nothing follows from the history",
    ),
    Event(
        "loader: record of an older era ignored",
        LineKind.STATE,
        ("key",),
        "a registration or claim came back with the copy; its lease is gone",
    ),
    Event(
        "loader: history unavailable, listing",
        LineKind.STATE,
        ("after",),
        "all store entries are read again",
    ),
    Event(
        "loader: value can't be decoded", LineKind.STATE, ("key", "error"), "ignored"
    ),
    Event(
        "documents: catalog not understood",
        LineKind.STATE,
        ("error",),
        "the previous version stays in force",
    ),
    Event(
        "documents: report names no usable target",
        LineKind.STATE,
        ("key", "error"),
        "the store entry names no usable target",
    ),
    Event(
        "documents: target's run not understood",
        LineKind.STATE,
        ("key", "error"),
        "the history of the store ends here",
    ),
    Event(
        "documents: node not understood", LineKind.STATE, ("key", "error"), "ignored"
    ),
    Event(
        "documents: ownership not understood",
        LineKind.STATE,
        ("key", "error"),
        "ignored",
    ),
    Event(
        "documents: reserve not understood",
        LineKind.STATE,
        ("key", "error"),
        "ignored",
    ),
    Event(
        "documents: replica set not understood",
        LineKind.STATE,
        ("key", "error"),
        "counts as none recorded",
    ),
    Event(
        "admission: reserve not recorded",
        LineKind.STATE,
        ("error", "revision"),
        "the previous reserve stays in force here",
    ),
    Event(
        "admission: reserve taken over",
        LineKind.STATE,
        ("owner", "revision"),
        "this node hands out the reserve of the previous coordinator",
    ),
    Event("documents: era not understood", LineKind.STATE, ("error",), "it is ignored"),
    Event(
        "registration: claim not read",
        LineKind.STATE,
        ("duty", "error"),
        "whether a recorded claim is of an older era is asked again",
    ),
    Event("registration: lease ended", LineKind.STATE, (), "this node registers again"),
    Event("registration: not renewed", LineKind.LIFE, ("error",), "it is retried"),
    Event(
        "registration: leaving not recorded",
        LineKind.STATE,
        ("error",),
        "other nodes notice the stop from closed streams",
    ),
    Event("registration: lease not ended", LineKind.STATE, ("error",), "it expires"),
    Event(
        "registration: ownership not released",
        LineKind.STATE,
        ("duty", "error"),
        "this node stays the recorded owner",
    ),
    Event(
        "directory: catalog in force",
        LineKind.STATE,
        ("version", "before", "routes", "keys"),
        "a version of the operators' lists",
    ),
    Event(
        "directory: target changed",
        LineKind.STATE,
        ("target", "group", "leads", "leaving", "revision"),
        "a target was added, or its role or state changed",
    ),
    Event(
        "directory: target gone",
        LineKind.STATE,
        ("target", "group", "leads", "revision"),
        "its report ended; ``leads`` tells whether it reported itself as the primary",
    ),
    Event(
        "directory: node changed",
        LineKind.STATE,
        ("name", "state"),
        "a node registered",
    ),
    Event("directory: node gone", LineKind.STATE, ("name",), "its registration ended"),
    Event(
        "directory: primary observed",
        LineKind.STATE,
        ("target", "group"),
        "another node saw that the target is primary, before it reported so",
    ),
    Event(
        "directory: target is not the primary",
        LineKind.STATE,
        ("target", "revision"),
        "the target answered that it is not the primary",
    ),
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
            "took_ms",
            "version",
            "proof_age_s",
        ),
        "a caller was served (a sample)",
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
        "admission: quota coordinator",
        LineKind.STATE,
        ("holder",),
        "this node draws its tokens there",
    ),
    Event(
        "admission: quota coordinator silent",
        LineKind.STATE,
        ("holder", "error"),
        "this node's fallback quota is used",
    ),
    Event(
        "positions: no answer",
        LineKind.RETRY,
        ("holder", "error"),
        "another node is asked",
    ),
    Event(
        "replacer: check failed",
        LineKind.LIFE,
        ("group", "exc_info"),
        "an unexpected error; the group is checked again",
    ),
    Event(
        "replacer: primary full",
        LineKind.STATE,
        ("group", "target"),
        "it refused a connection since it has too many, so it runs",
    ),
    Event(
        "replacer: primary silent",
        LineKind.STATE,
        ("group", "target"),
        "no holder gets an answer from it",
    ),
    Event(
        "replacer: ownership handed over",
        LineKind.STATE,
        ("group", "zone"),
        "this node is in the same zone as the primary",
    ),
    Event(
        "replacer: ownership not claimed",
        LineKind.STATE,
        ("group", "error"),
        "retried later",
    ),
    Event(
        "replacer: no replica may take over",
        LineKind.STATE,
        (
            "group",
            "obstacle",
            "followers",
            "required",
            "missing",
            "nodes",
            "primary",
        ),
        "a commit could be lost; ``obstacle`` tells why, see OPERATIONS",
    ),
    Event(
        "replacer: primary lost",
        LineKind.STATE,
        ("group", "lost", "chosen", "followers", "primary"),
        "a replica is being promoted",
    ),
    Event(
        "replacer: evacuated primary not replaced",
        LineKind.STATE,
        ("group", "target", "obstacle"),
        "no replica outside of the evacuated zones can take over",
    ),
    Event(
        "replacer: primary leaves",
        LineKind.STATE,
        ("group", "leaving", "chosen", "followers"),
        "a replica is being promoted",
    ),
    Event(
        "replacer: no replica to take over yet",
        LineKind.STATE,
        ("group",),
        "it is retried",
    ),
    Event(
        "replacer: replacement postponed",
        LineKind.STATE,
        ("group", "obstacle"),
        "it is retried",
    ),
    Event(
        "replacer: replica set recorded",
        LineKind.STATE,
        ("group", "primary", "joined", "left"),
        "these replicas must be accounted for before a promotion from now on",
    ),
    Event(
        "replacer: replica set not recorded",
        LineKind.STATE,
        ("group", "error"),
        "retried at the next check",
    ),
    Event(
        "replacer: replica set not proved",
        LineKind.STATE,
        ("group", "end", "missing", "followers"),
        "no follower has all of the primary's log up to ``end`` yet; it is retried",
    ),
    Event(
        "replacer: node silent",
        LineKind.STATE,
        ("holder", "error"),
        "a node didn't tell which commits it acknowledged, so none is promoted yet",
    ),
    Event(
        "replacer: replicas stay paused",
        LineKind.STATE,
        ("group",),
        "an order without an answer may still be carried out",
    ),
    Event(
        "replacer: fence raised",
        LineKind.STATE,
        ("group", "epoch"),
        "no earlier order takes effect any more, so paused replicas are resumed",
    ),
    Event(
        "replacer: replicas paused",
        LineKind.STATE,
        ("group", "term", "followers"),
        "they receive no log entries; with the position that each has received",
    ),
    Event(
        "replacer: replicas resumed",
        LineKind.STATE,
        ("group", "followers"),
        "they receive log entries again; None if one didn't answer",
    ),
    Event("replacer: replica silent", LineKind.STATE, ("target", "error"), "no answer"),
    Event(
        "replacer: target refused an order",
        LineKind.STATE,
        ("target", "order", "reason", "detail"),
        "the target refused an order",
    ),
    Event(
        "replacer: lease too old to act",
        LineKind.STATE,
        ("group",),
        "another node acts",
    ),
    Event(
        "replacer: order refused",
        LineKind.STATE,
        ("group", "target", "epoch", "error"),
        "the platform refused the promotion",
    ),
    Event(
        "replacer: order unanswered",
        LineKind.STATE,
        ("group", "target", "epoch", "error"),
        "the same order is sent again",
    ),
    Event(
        "replacer: no new epoch", LineKind.STATE, ("group", "error"), "retried later"
    ),
    Event(
        "replacer: primary replaced", LineKind.STATE, ("group", "target"), "promoted"
    ),
    Event(
        "replacer: chosen target is not the primary",
        LineKind.STATE,
        ("group", "target"),
        "its state is checked again",
    ),
    Event(
        "replacer: new primary not announced",
        LineKind.STATE,
        ("holder", "error"),
        "the node will read the target's own report",
    ),
    Event(
        "evacuation: zone evacuated",
        LineKind.LIFE,
        ("zone", "revision", "targets"),
        "in force on this node; revision: position of the request; targets: how many",
    ),
    Event(
        "evacuation: zone unknown",
        LineKind.LIFE,
        ("zone", "revision"),
        "no target and no node is there; it takes effect should targets appear",
    ),
    Event(
        "evacuation: zone returned",
        LineKind.LIFE,
        ("zone", "revision"),
        "the request to evacuate it was withdrawn",
    ),
    Event(
        "evacuation: target out of use",
        LineKind.STATE,
        ("target", "zone"),
        "its zone is evacuated; this holder sends no more statements of callers",
    ),
    Event(
        "evacuation: target used again",
        LineKind.STATE,
        ("target", "zone"),
        "its zone is not evacuated any more",
    ),
    Event(
        "monitor: no target may lead",
        LineKind.STATE,
        ("group", "obstacle", "evacuated"),
        "only targets in evacuated zones have all commits, or there are no others",
    ),
    Event(
        "monitor: proposal lost",
        LineKind.STATE,
        ("group", "term"),
        "no target leads the term; another one is proposed",
    ),
    Event(
        "monitor: primary established",
        LineKind.STATE,
        ("primary", "term"),
        "the target leads the term",
    ),
    Event(
        "monitor: other monitors asked",
        LineKind.STATE,
        ("group", "healthy"),
        "the primary is silent here; healthy: whether another monitor reaches it",
    ),
    Event("streams: frame too long", LineKind.STATE, ("length",), "stream closed"),
    Event("streams: frame not understood", LineKind.STATE, ("error",), "stream closed"),
    Event("streams: no handler", LineKind.STATE, ("message",), "not answered"),
    Event(
        "logs: lines dropped",
        LineKind.LIFE,
        ("state", "failure", "retry", "success"),
        "the number of lines dropped of each kind since the last such line",
    ),
)

EVENTS = {event.text: event for event in _LIST}
