"""Log lines of the process: its life, the store, what the directory knows."""

from lavenderstack.core.log.event_types import Event, LineKind

EVENTS = (
    Event(
        "node: started",
        LineKind.LIFE,
        ("zone", "version", "build", "features"),
        "the process listens; with the commit of its build, and what it can do",
    ),
    Event(
        "node: stopping",
        LineKind.LIFE,
        ("open",),
        "asked to stop; open: operations still running",
    ),
    Event(
        "node: drained",
        LineKind.LIFE,
        ("after_s", "statements", "sessions", "undelivered", "transactions")
        + ("node_requests",),
        "a stop waits no longer; after_s: since the signal; statements of callers and "
        "requests of other nodes that run, sessions and transactions that are open, "
        "and connections whose last answer is not sent completely",
    ),
    Event(
        "node: ending",
        LineKind.LIFE,
        ("statements", "sessions", "undelivered", "transactions", "node_requests"),
        "the lease has ended and the process is about to; what it leaves open",
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
        "loader: changes not understood",
        LineKind.STATE,
        ("holder", "error"),
        "a compressed entry can't be expanded; the node is not asked for a while",
    ),
    Event(
        "loader: large changes received",
        LineKind.STATE,
        ("source", "size_b", "transfer_s"),
        "changes of more than 100 kB came from another node or the store",
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
        "loader: entry not applied",
        LineKind.STATE,
        ("key", "exc_info"),
        "an unexpected error; the entry is ignored until it changes",
    ),
    Event(
        "store: entry not readable",
        LineKind.STATE,
        ("key", "error"),
        "an entry among those of the targets, or the evacuation of a zone that can't "
        "be; ignored",
    ),
    Event(
        "documents: catalog not understood",
        LineKind.STATE,
        ("error",),
        "the previous version stays in force",
    ),
    Event(
        "loader: entries of the catalog not usable",
        LineKind.STATE,
        ("version", "count", "places"),
        "names that can't be sent to a target, for which no statement is run, and "
        "empty keys; all others are served",
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
        "logs: lines dropped",
        LineKind.LIFE,
        ("state", "failure", "retry", "success"),
        "the number of lines dropped of each kind since the last such line",
    ),
)
