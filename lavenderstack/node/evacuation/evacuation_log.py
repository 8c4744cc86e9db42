"""Log lines about evacuations, the same on the users' platform and over HTTP."""

import structlog

from lavenderstack.core.view import Target

log = structlog.get_logger()


def log_evacuated(zone: str, revision: int, targets: int, nodes: int) -> None:
    """Log that a zone with so many known targets and nodes is evacuated."""
    if targets or nodes:
        log.warning(
            "evacuation: zone evacuated", zone=zone, revision=revision, targets=targets
        )
    else:
        log.warning("evacuation: zone unknown", zone=zone, revision=revision)


def log_returned(zone: str, revision: int) -> None:
    """Log that the request to evacuate a zone was withdrawn."""
    log.warning("evacuation: zone returned", zone=zone, revision=revision)


class TargetUseLog:
    """Logs once for each change whether a holder may use its target."""

    def __init__(self) -> None:
        self._out_of_use = False

    def record(self, target: Target, out_of_use: bool) -> None:
        """Record whether no statement of a caller may be sent to the target."""
        if out_of_use == self._out_of_use:
            return
        self._out_of_use = out_of_use
        log.info(
            "evacuation: target out of use"
            if out_of_use
            else "evacuation: target used again",
            target=target.name,
            zone=target.zone,
        )
