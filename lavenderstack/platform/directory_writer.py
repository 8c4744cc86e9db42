"""Writes the entries of the platform's store into the directory of a node.

The loader decides which entries are newer than those known; this module only decodes
them and calls the directory. The removal of another node is delayed.
"""

import asyncio
from collections.abc import Mapping

import structlog

from lavenderstack.core.catalog import Catalog
from lavenderstack.core.store_era import StoreEra
from lavenderstack.core.view import Target
from lavenderstack.node.directory import Directory
from lavenderstack.platform import documents, records
from lavenderstack.platform.decoding import TARGETS_PREFIX
from lavenderstack.platform.record_keys import group_of
from lavenderstack.platform.store import Item
from lavenderstack.platform.target_reports import TargetReport, decode_report

log = structlog.get_logger()

# After a store outage in which all leases expired, this node's registration has ended
# like all others. The other nodes still run and will register again, so they are kept
# for this long.
MEMBER_RETENTION_S = 3.0
# The removal of another node's registration is acted on after this delay. If all leases
# expired, the removal of this node's own registration arrives within the delay and
# shows that the other nodes may still run.
MEMBER_REMOVAL_DELAY_S = 0.2


# The operators see which entries; more of them say nothing more.
MAX_LOGGED_PLACES = 10


def _log_unusable(catalog: Catalog) -> None:
    """Log the entries of a new catalog that can't be used, once a version."""
    if catalog.unusable:
        log.error(
            "loader: entries of the catalog not usable",
            version=catalog.version,
            count=len(catalog.unusable),
            places=catalog.unusable[:MAX_LOGGED_PLACES],
        )


class DirectoryWriter:
    """Writes entries into a directory.

    ``entries`` are the known entries and ``revisions`` their positions by key, as the
    loader keeps them. ``era`` is told which era of the store is settled.
    """

    def __init__(
        self,
        directory: Directory,
        era: StoreEra,
        entries: Mapping[str, Item],
        revisions: Mapping[str, int],
    ) -> None:
        self._directory = directory
        self._era = era
        self._entries = entries
        self._revisions = revisions
        self._reports: dict[str, TargetReport] = {}
        # The groups of the records whose keys don't have their names.
        self._groups: dict[str, str] = {}

    def put(self, item: Item, data: bytes) -> None:
        """Write an entry with its decoded value.

        An unexpected error must not hold back the other entries.
        """
        try:
            self._put(item, data)
        except Exception as exc:
            log.error("loader: entry not applied", key=item.key, exc_info=exc)

    def _put(self, item: Item, data: bytes) -> None:
        key, directory = item.key, self._directory
        if key == documents.CATALOG_KEY:
            catalog = documents.decode_catalog(data)
            if catalog is not None and directory.update_catalog(catalog):
                _log_unusable(catalog)
                self._update_target_limits()
        elif key.startswith(TARGETS_PREFIX):
            self._put_target(item, decode_report(key, data))
        elif key.startswith(records.NODES_PREFIX):
            node = records.decode_node(key, data)
            if node is not None:
                directory.record_registration(node.name, True)
                directory.put_member(node)
        elif key == records.ERA_KEY:
            settled = records.decode_era(data)
            if settled is not None:
                self._era.settle(settled)
        elif key == records.RESERVE_KEY:
            reserve = records.decode_reserve(key, data, item.rev)
            if reserve is not None:
                directory.put_reserve(reserve)
        elif key.startswith(records.OWNERSHIP_PREFIX):
            self._put_ownership(item, data)
        elif key.startswith(records.REPLICAS_PREFIX):
            self._put_replica_set(item, data)

    def _put_ownership(self, item: Item, data: bytes) -> None:
        group = self._group_of(records.OWNERSHIP_PREFIX, item.key, data)
        ownership = records.decode_ownership(item.key, data, item.rev)
        if group is not None and ownership is not None:
            self._directory.put_ownership(group, ownership)

    def _put_replica_set(self, item: Item, data: bytes) -> None:
        group = self._group_of(records.REPLICAS_PREFIX, item.key, data)
        replicas = records.decode_replica_set(item.key, data)
        if group is None:
            return
        if replicas is None:
            self._directory.drop_replica_set(group, item.rev)
        else:
            self._directory.put_replica_set(group, replicas, item.rev)

    def _group_of(self, prefix: str, key: str, data: bytes) -> str | None:
        """Return the group of a record, and keep it for the record's removal.

        A record that doesn't tell its group any more is of the one that it told.
        """
        group = group_of(prefix, key, data)
        if group is None:
            return self._groups.get(key)
        if prefix + group != key:
            self._groups[key] = group
        return group

    def _removed_group(self, prefix: str, key: str) -> str:
        return self._groups.pop(key, key.removeprefix(prefix))

    def _put_target(self, item: Item, report: TargetReport | None) -> None:
        name = item.key.removeprefix(TARGETS_PREFIX)
        if report is None:
            self._reports.pop(name, None)
            self._directory.drop_target(name, item.rev)
            return
        self._reports[name] = report
        self._directory.put_target(
            self._with_limits(report),
            report.group,
            report.leaving,
            report.leads,
            item.rev,
            report.started_ms,
            report.cold_s,
        )

    def _with_limits(self, report: TargetReport) -> Target:
        """Return the target with the number of connections that the catalog allows."""
        limits = self._directory.catalog.groups.get(report.group)
        target = report.target
        connections = limits.connections if limits else 1
        return Target(
            target.name,
            target.zone,
            target.host,
            target.port,
            target.slots,
            connections,
        )

    def _update_target_limits(self) -> None:
        """Apply the limits of a new catalog to the known targets."""
        for report in self._reports.values():
            self._directory.update_target_limits(self._with_limits(report))

    def remove(self, item: Item) -> None:
        """Write the removal of an entry."""
        key, directory = item.key, self._directory
        if key.startswith(TARGETS_PREFIX):
            name = key.removeprefix(TARGETS_PREFIX)
            self._reports.pop(name, None)
            directory.drop_target(name, item.rev)
        elif key.startswith(records.NODES_PREFIX):
            name = key.removeprefix(records.NODES_PREFIX)
            directory.record_registration(name, False)
            loop = asyncio.get_running_loop()
            loop.call_later(MEMBER_REMOVAL_DELAY_S, self._member_removed, key, item.rev)
        elif key.startswith(records.OWNERSHIP_PREFIX):
            directory.drop_ownership(self._removed_group(records.OWNERSHIP_PREFIX, key))
        elif key.startswith(records.REPLICAS_PREFIX):
            group = self._removed_group(records.REPLICAS_PREFIX, key)
            directory.drop_replica_set(group, item.rev)
        elif (zone := documents.evacuated_zone(key)) is not None:
            directory.drop_evacuation(zone, item.rev)

    def _member_removed(self, key: str, rev: int) -> None:
        """Drop a node; wait first if this node's own registration has ended as well."""
        own_key = records.NODES_PREFIX + self._directory.name
        if own_key in self._entries:
            self._drop_member(key, rev)
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(MEMBER_RETENTION_S, self._drop_member, key, rev)

    def _drop_member(self, key: str, rev: int) -> None:
        if self._revisions.get(key) == rev:
            self._directory.drop_member(key.removeprefix(records.NODES_PREFIX))
