"""The limits of all targets that a node has been asked for, by the target's name.

A limit outlives the executor of its target, since a target that flaps gets a new one.
"""

from collections.abc import Callable

from lavenderstack.core.catalog import TargetState
from lavenderstack.node.directory import Directory
from lavenderstack.node.targets.cold_target import Choice, ColdTarget


class ColdTargets:
    """Creates the limit of a target and drops it when nothing counts any more.

    ``refused`` is called with the cause of each refusal.
    """

    def __init__(self, directory: Directory, choice: Choice) -> None:
        self.refused: Callable[[str], None] = lambda cause: None
        self._directory = directory
        self._choice = choice
        self._by_name: dict[str, ColdTarget] = {}

    def of(self, state: TargetState) -> ColdTarget:
        """Return the limit of a target."""
        name = state.target.name
        found = self._by_name.get(name)
        if found is None:
            found = self._by_name[name] = ColdTarget(
                state, self._directory, self._choice, lambda cause: self.refused(cause)
            )
        return found

    def forget_unused(self, held: set[str], now: float) -> None:
        """Drop the limits of targets that are gone, once nothing counts any more.

        ``held`` are the targets with an executor.
        """
        for name in self._by_name.keys() - held:
            if self._by_name[name].is_unused(now):
                del self._by_name[name]
