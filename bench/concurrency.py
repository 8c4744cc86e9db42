"""How limits of a target's concurrency follow a target that becomes slow, and the rest.

The loads are those of section 9 of docs/design/evacuation-and-load.md, played in
virtual time (``concurrency_play``) with each of several ways to limit, beside the
declared slots. ``python -m bench concurrency`` prints the table. One target, or the
first of three, is five times slower from 5 s to 10 s.
"""

from collections.abc import Callable
from dataclasses import astuple, dataclass
from multiprocessing import Pool
from statistics import fmean

from bench.concurrency_alternatives import Aimd, Fixed, Gradient, Probing, Vegas
from bench.concurrency_play import (
    READ,
    SESSION,
    SLOTS,
    WRITE,
    Holder,
    Play,
    Server,
)
from bench.measure import Bound, Result
from lavenderstack.core.targets.concurrency_limit import ConcurrencyLimit

POLICIES = {
    "fixed slots": Fixed,
    "aimd": Aimd,
    "gradient": Gradient,
    "vegas": Vegas,
    "probing": Probing,
    "learned": ConcurrencyLimit,
}
SLOWNESS = 5.0
SETTLED_AT, STEP_AT, BACK_AT, END_AT = 2.0, 5.0, 10.0, 15.0
PLAYS = 5
PROCESSES = 4
MIX = {WRITE: 0.4, SESSION: 0.35, READ: 0.25}
MEAN_WORK_S = 1.18 * sum(share * spec.work_s for spec, share in MIX.items())


def mixed(load: float, targets: int = 1) -> dict:
    """Return the demand of all kinds for a load of the slots of so many targets."""
    rate = load * SLOTS * targets / MEAN_WORK_S
    return {spec: share * rate for spec, share in MIX.items()}


def slow(server: int, slowness: float) -> Callable[[Play], None]:
    """Return an event that changes the slowness of a server."""

    def change(play: Play) -> None:
        play.holders[server].server.slowness = slowness

    return change


def mix(demand: dict) -> Callable[[Play], None]:
    """Return an event that changes the demand."""
    return lambda play: play.demand.update(demand)


def play(policy, demand, shape="flat", targets=1, events=(), seed=7, end=END_AT):
    """Play a load with a limit at each target."""
    holders = [Holder(Server(shape), policy(SLOTS)) for _ in range(targets)]
    return Play(holders, seed, dict(demand), list(events)).run(end)


def mean_limit(play: Play, since: float, until: float, holder: int = 0) -> float:
    """Return the mean limit over a period."""
    steps = [*play.holders[holder].limits, (until, 0)]
    total = 0.0
    for (at, limit), (end, _) in zip(steps, steps[1:], strict=False):
        total += limit * max(0.0, min(end, until) - max(at, since))
    return total / (until - since)


def reached_s(play: Play, since: float, limit: float, lower: bool) -> float:
    """Return after how long the limit was at or beyond a value, infinite if never."""
    current = 0
    for at, value in play.holders[0].limits:
        if at <= since:
            current = value
    if (current <= limit) if lower else (current >= limit):
        return 0.0
    for at, value in play.holders[0].limits:
        if at > since and ((value <= limit) if lower else (value >= limit)):
            return at - since
    return float("inf")


STEP = ((STEP_AT, slow(0, SLOWNESS)), (BACK_AT, slow(0, 1.0)))
MOSTLY_WRITES = {WRITE: 330.0, SESSION: 1.0, READ: 1.0}
MOSTLY_READS = {WRITE: 1.0, SESSION: 1.0, READ: 70.0}
CHANGING = tuple(
    (float(at), mix(MOSTLY_WRITES if at % 4 else MOSTLY_READS))
    for at in range(0, 15, 2)
)


def two_holders(policy, seed):
    """Two holders of one server, each with half of the demand."""
    server = Server("flat")
    holders = [Holder(server, policy(SLOTS)) for _ in range(2)]
    return Play(holders, seed, mixed(0.8)).run(END_AT)


LOADS = {
    "3 targets, well": lambda p, seed: play(p, mixed(0.6, 3), targets=3, seed=seed),
    "3 targets, one slow (flat)": lambda p, seed: play(
        p, mixed(0.6, 3), targets=3, events=STEP, seed=seed
    ),
    "3 targets, one slow (cores)": lambda p, seed: play(
        p, mixed(0.6, 3), "cores", 3, STEP, seed
    ),
    "3 targets, thrash": lambda p, seed: play(p, mixed(0.3, 3), "thrash", 3, seed=seed),
    "1 target, 100/s, slow (cores)": lambda p, seed: play(
        p, {WRITE: 40.0, SESSION: 35.0, READ: 25.0}, "cores", 1, STEP, seed
    ),
    "1 target, slow (flat)": lambda p, seed: play(p, mixed(0.9), "flat", 1, STEP, seed),
    "full, well (flat)": lambda p, seed: play(p, mixed(1.3), seed=seed),
    "changing mix": lambda p, seed: play(
        p, {WRITE: 1, SESSION: 1, READ: 70}, events=CHANGING, seed=seed
    ),
    "3 statements/s": lambda p, seed: play(
        p, {WRITE: 1, SESSION: 1, READ: 1}, seed=seed, end=60
    ),
    "two holders": two_holders,
}


COLUMNS = [
    "load",
    "policy",
    "in goal",
    "while slow",
    "down s",
    "back s",
    "before",
    "slow",
    "after",
    "lowest",
    "highest",
]


# Loads at which the targets are well and have one holder before the first step.
STEADY_LOADS = (
    "3 targets, well",
    "1 target, 100/s, slow (cores)",
    "1 target, slow (flat)",
    "full, well (flat)",
    "changing mix",
)


@dataclass(frozen=True, slots=True)
class Figures:
    """What one play gave; ``down_s`` and ``back_s`` count from the two steps.

    ``before``, ``slow`` and ``after`` are mean limits once the steps have settled,
    ``lowest`` and ``highest`` the limits at steady load before the first step.
    """

    in_goal: float
    while_slow: float
    down_s: float
    back_s: float
    before: float
    slow: float
    after: float
    lowest: int
    highest: int


def figures(load: str, policy: str, seed: int) -> Figures:
    """Play a load under a policy."""
    one = LOADS[load](POLICIES[policy], seed)
    steps = one.holders[0].limits
    first = [limit for at, limit in steps if at <= SETTLED_AT][-1]
    steady = [first, *(limit for at, limit in steps if SETTLED_AT < at < STEP_AT)]
    return Figures(
        in_goal=one.in_goal(1.0),
        while_slow=one.in_goal(STEP_AT, BACK_AT),
        down_s=reached_s(one, STEP_AT, 2, lower=True),
        back_s=reached_s(one, BACK_AT, 0.9 * SLOTS, lower=False),
        before=mean_limit(one, SETTLED_AT, STEP_AT),
        slow=mean_limit(one, STEP_AT + 1, BACK_AT),
        after=mean_limit(one, BACK_AT + 3, END_AT),
        lowest=min(steady),
        highest=max(steady),
    )


def mean_figures(load: str, policy: str, seeds: list[int]) -> Figures:
    """Return the mean of several plays; of the times and limits reached, the worst."""
    plays = [astuple(figures(load, policy, seed)) for seed in seeds]
    worst = {2: max, 3: max, 7: min, 8: max}
    columns = zip(*plays, strict=True)
    return Figures(*[worst.get(i, fmean)(values) for i, values in enumerate(columns)])


def run(seed: int) -> Result:
    """Play all loads under all policies, each with several seeds."""
    seeds = list(range(seed, seed + PLAYS))
    jobs = [(load, policy, seeds) for load in LOADS for policy in POLICIES]
    with Pool(PROCESSES) as pool:
        found = pool.starmap(mean_figures, jobs, chunksize=1)
    by_job = {job[:2]: one for job, one in zip(jobs, found, strict=True)}
    rows = [[*job, *astuple(one)] for job, one in by_job.items()]
    return Result("concurrency limits", COLUMNS, rows, _bounds(by_job))


def _swing(found: Figures) -> float:
    return (found.highest - found.lowest) / found.highest


def _bounds(found: dict[tuple[str, str], Figures]) -> list[Bound]:
    well = found["3 targets, well", "learned"]
    well_fixed = found["3 targets, well", "fixed slots"]
    slow_flat = found["3 targets, one slow (flat)", "learned"]
    slow_cores = found["3 targets, one slow (cores)", "learned"]
    alone = found["1 target, 100/s, slow (cores)", "learned"]
    swings = [_swing(found[load, "learned"]) for load in STEADY_LOADS]
    flat_share = slow_flat.while_slow / well_fixed.while_slow
    cores_share = slow_cores.while_slow / well_fixed.while_slow
    return [
        Bound("in goal, one of three slow (flat), of well", flat_share, 0.97, True),
        Bound("in goal, one of three slow (cores), of well", cores_share, 0.97, True),
        Bound("limit down after, s", alone.down_s, 1.0),
        Bound("limit back after, s", alone.back_s, 3.0),
        Bound("lost on equal targets", well_fixed.in_goal - well.in_goal, 0.01),
        Bound("swing at steady load", max(swings), 0.2),
    ]
