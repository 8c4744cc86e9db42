"""What a node knows of the operators' lists, the groups and the VMs.

A view is built from the entries of the platform's key-value service and carries the
revision of the newest of them. It is replaced as a whole and never modified, so a
request sees one revision from start to end.

Keys of the store, and the JSON object that each holds:

==================================  ==========================================
``lavenderstack/plans``             what each plan may use: name to ``Plan``
``lavenderstack/bought``            the plans bought: organisation to plan name
``lavenderstack/keys/DIGEST``       ``Key``: the organisation, whether withdrawn
``lavenderstack/groups/NAME``       ``Group``: targets, organisations, routes
``lavenderstack/secrets/NAME``      a secret of the service itself: ``secret``
``lavenderstack/duties/NAME``       ``Ownership``: the owner, and the epoch
``lavenderstack/evacuations/ZONE``  ``EvacuationRequest``; any value counts
``platform/vms/NAME``               ``Vm``, written by the platform
==================================  ==========================================
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

# Priority of organisations whose plan names none; 0 is the highest.
DEFAULT_PRIORITY = 2


@dataclass(frozen=True, slots=True)
class Plan:
    """What a plan may use: ``rate`` in requests/s, ``burst`` in requests.

    ``weight`` is the organisation's share under contention, ``queue`` how many of its
    requests may wait. ``priority`` is the organisation's under load control.
    ``home_regions`` are the regions that its statements may not leave, if there are
    any.
    """

    name: str
    rate: float
    burst: float
    weight: float = 1.0
    queue: int = 200
    priority: int = DEFAULT_PRIORITY
    home_regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Key:
    """A caller's key, stored only as its digest (SHA-256, hex)."""

    digest: str
    organisation: str
    withdrawn: bool = False


@dataclass(frozen=True, slots=True)
class Target:
    """One database of a group.

    ``slots`` statements may run at once, ``connections`` may be open.
    """

    name: str
    zone: str
    host: str
    port: int
    slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class Group:
    """A database group. Everyone may run the read-only ``open_statements``."""

    name: str
    targets: tuple[Target, ...]
    organisations: frozenset[str]
    open_statements: frozenset[str] = frozenset()

    @property
    def majority(self) -> int:
        """The smallest number of targets that is more than half of the group."""
        return len(self.targets) // 2 + 1

    def target(self, name: str) -> Target | None:
        """Return the target of this name, or None."""
        return next((target for target in self.targets if target.name == name), None)


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM of the platform's list, which may be outdated.

    ``kind`` is ``entry`` or ``target``, ``state`` is ``live`` or ``leaving``. ``port``
    is that of the node-to-node streams (entry) or the database (target). ``capacity``
    is how many statements a second it can pass on, 0 if it isn't known. ``features``
    and ``build`` tell what an entry VM's process can do (``core/features.py``).
    """

    name: str
    zone: str
    host: str
    port: int
    kind: str = "entry"
    state: str = "live"
    capacity: float = 0.0
    features: frozenset[str] = frozenset()
    build: str = ""


@dataclass(frozen=True, slots=True)
class Ownership:
    """The node that owns a shard or group; each change of owner raises ``epoch``."""

    node: str
    epoch: int


@dataclass(frozen=True, slots=True)
class EvacuationRequest:
    """An operator's request to evacuate a zone, in force while its entry exists.

    ``operator`` is empty if the entry doesn't name one.
    """

    zone: str
    operator: str = ""


@dataclass(frozen=True, slots=True)
class View:
    """Everything a node knows of the store; ``revision`` is its newest change."""

    revision: int = 0
    plans: Mapping[str, Plan] = field(default_factory=dict)
    bought: Mapping[str, str] = field(default_factory=dict)
    keys: Mapping[str, Key] = field(default_factory=dict)
    groups: Mapping[str, Group] = field(default_factory=dict)
    vms: Mapping[str, Vm] = field(default_factory=dict)
    secrets: Mapping[str, str] = field(default_factory=dict)
    duties: Mapping[str, Ownership] = field(default_factory=dict)
    evacuations: Mapping[str, EvacuationRequest] = field(default_factory=dict)

    def plan_of(self, organisation: str) -> Plan | None:
        """Return the plan that the organisation bought, or None."""
        return self.plans.get(self.bought.get(organisation, ""))

    def is_leaving(self, name: str) -> bool:
        """Return whether the platform's list shows a VM as leaving."""
        vm = self.vms.get(name)
        return vm is not None and vm.state == "leaving"

    def entry_vms(self) -> list[Vm]:
        """Return the live entry VMs on the platform's list."""
        vms = self.vms.values()
        return [vm for vm in vms if vm.kind == "entry" and vm.state == "live"]
