"""What a build can do that an earlier one can't, as a node tells in its registration.

Builds run side by side during an upgrade. A way of working that other nodes must take
part in is used only with nodes that have its feature; where all must agree, only once
all registered nodes have it. A feature keeps its name and meaning for ever.
"""

from collections.abc import Iterable, Mapping
from enum import StrEnum

from lavenderstack.core.view import Vm


class Feature(StrEnum):
    """The features of this build.

    ``HOLDS``: it holds back acknowledgements
    (``core/failover/acknowledgement_hold.py``). ``UNSUPPORTED``: it answers a message
    that it doesn't know with ``Unsupported``. ``READERS_BY_CAPACITY``: it looks for
    changes of the store at larger nodes first (``core/readers.py``).
    """

    HOLDS = "acknowledgement_holds"
    UNSUPPORTED = "unsupported_reply"
    READERS_BY_CAPACITY = "readers_by_capacity"


OWN_FEATURES = frozenset(Feature)


def all_have(vms: Iterable[Vm], feature: Feature) -> bool:
    """Return whether all these nodes have a feature.

    >>> all_have([Vm("n1", "z1", "10.0.0.1", 1, features=frozenset({"x"}))],
    ...          Feature.HOLDS)
    False
    """
    return all(feature in vm.features for vm in vms)


def nodes_by_build(vms: Mapping[str, Vm]) -> dict[str, int]:
    """Return how many nodes are registered of each build; an unnamed one is ``""``."""
    counts: dict[str, int] = {}
    for vm in vms.values():
        counts[vm.build] = counts.get(vm.build, 0) + 1
    return counts
