"""Which groups are under load control.

A connection to a target serves one organisation. Where a target allows fewer
connections than there are organisations, callers compete for them, and for the time
that opening one takes. These groups are contended.
"""

from enum import StrEnum

from lavenderstack.core.catalog import Catalog


class LoadControl(StrEnum):
    """The setting: ``AUTO`` enables load control for contended groups only."""

    AUTO = "auto"
    ON = "on"
    OFF = "off"


def is_contended(catalog: Catalog, group: str) -> bool:
    """Return whether a target of the group can't hold a connection per organisation."""
    limits = catalog.groups.get(group)
    return limits is not None and limits.connections < len(catalog.plans)


def is_load_controlled(mode: LoadControl, catalog: Catalog, group: str) -> bool:
    """Return whether load control is enabled for a group."""
    if mode is LoadControl.AUTO:
        return is_contended(catalog, group)
    return mode is LoadControl.ON
