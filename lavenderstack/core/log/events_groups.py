"""Log lines about groups, their primaries, and the quotas of organisations."""

from lavenderstack.core.log.event_types import Event, LineKind

EVENTS = (
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
        "replacer: ownership given up",
        LineKind.STATE,
        ("group",),
        "too few nodes answer this one, so it can't tell whether the primary runs",
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
        ("group", "lost", "chosen", "followers", "primary", "held"),
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
        ("group", "obstacle", "nodes"),
        "it is retried; ``nodes`` gave no answer",
    ),
    Event(
        "replacer: receipts not reported",
        LineKind.STATE,
        ("exc_info",),
        "an unexpected error; commits wait until the successor has taken over",
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
        "replacer: hold not released",
        LineKind.STATE,
        ("group", "nodes"),
        "these nodes hold back acknowledgements until the hold's time limit",
    ),
    Event(
        "replacer: order of a former owner",
        LineKind.STATE,
        ("group", "paused", "held"),
        "its order may still be carried out; the primary is ordered again first",
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
        "replacer: order sent",
        LineKind.STATE,
        ("group", "target", "epoch"),
        "the platform is asked to promote the target; this line has no answer yet",
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
)
