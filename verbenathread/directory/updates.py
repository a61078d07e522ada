"""Builds the updates that gateways receive.

Designed for hundreds of gateways that connect at once, after a loss of all
nodes, and for releases that replace workers one after the other: an update
holds only what changed, and what several gateways need is built once.
"""

from collections.abc import Iterable
from typing import NamedTuple

from verbenathread.directory.machine import (
    DirectoryMachine,
    encode_group,
    encode_worker,
)
from verbenathread.schema import directory_pb2 as messages
from verbenathread.serving.crash_evidence import PartGroup
from verbenathread.serving.types import Worker
from verbenathread.types import Millis, NodeId, Peer

# Longest interval between two updates to a gateway. With many gateways it is
# this time for each of them, so that idle updates cost the same at any size.
_MIN_INTERVAL: Millis = 500
_INTERVAL_PER_GATEWAY: Millis = 5
# Workers that are gone and can be left out of a list of changes; a gateway that
# is further behind receives the whole list.
_MAX_REMOVED = 4096


class SentState(NamedTuple):
    """Versions of the state last sent to one gateway."""

    config_version: int
    workers: int = -1
    nodes: int = -1
    quarantine: tuple[PartGroup, ...] | None = None
    # The gateway applies lists of changed workers.
    accepts_changes: bool = False


class UpdateSource:
    """The state of the directory as gateways receive it."""

    def __init__(self, machine: DirectoryMachine) -> None:
        """Read ``machine``; :meth:`refresh` notices its changes."""
        self._machine = machine
        self._registry_changes = -1
        self._worker_by_id: dict[str, Worker] = {}
        # Versions of the list at which each worker changed, oldest first.
        self._version_by_id: dict[str, int] = {}
        self._workers_version = 0
        # Changes up to this version may have been forgotten.
        self._forgotten_version = 0
        self._worker_list = messages.WorkerList()
        self._members: tuple[Peer, ...] = ()
        self._gateway_by_id: dict[NodeId, messages.NodeAddress] = {}
        self._nodes_version = 0
        self._fleet_list: messages.FleetList | None = None

    def refresh(self, members: Iterable[Peer]) -> bool:
        """Notice changes; return whether gateways should hear of them now.

        Changes of nodes wait for the next regular update.
        """
        current = tuple(members)
        if current != self._members:
            self._members = current
            self._change_nodes()
        machine = self._machine
        if machine.registry_changes != self._registry_changes:
            self._registry_changes = machine.registry_changes
            return self._refresh_workers()
        return False

    def gateway_count(self) -> int:
        """Return the number of gateways that receive updates."""
        return len(self._gateway_by_id)

    def add_gateway(self, gateway: messages.NodeAddress) -> None:
        """List a gateway."""
        self._gateway_by_id[gateway.node_id] = gateway
        self._change_nodes()

    def remove_gateway(self, gateway: messages.NodeAddress) -> None:
        """Remove a gateway unless it has connected again."""
        if self._gateway_by_id.get(gateway.node_id) is gateway:
            self._gateway_by_id.pop(gateway.node_id)
            self._change_nodes()

    def interval(self) -> Millis:
        """Return the longest interval between two updates to a gateway."""
        return max(_MIN_INTERVAL, _INTERVAL_PER_GATEWAY * self.gateway_count())

    def has_changes(self, sent: SentState) -> bool:
        """Return whether a gateway should receive an update at once."""
        machine = self._machine
        if machine.config_version > sent.config_version:
            return True
        if machine.quarantine != sent.quarantine:
            return True
        return self._workers_version != sent.workers

    def build(self, sent: SentState) -> tuple[messages.WatchUpdate, SentState]:
        """Return the update for a gateway and what it has after that."""
        machine = self._machine
        update = messages.WatchUpdate(leads=True, interval=self.interval())
        if machine.config_version > sent.config_version:
            update.config = machine.config_body
            update.config_version = machine.config_version
        if self._workers_version != sent.workers:
            self._add_workers(update, sent)
        if self._nodes_version != sent.nodes:
            update.fleet.CopyFrom(self._list_fleet())
        if machine.quarantine != sent.quarantine:
            update.quarantine.SetInParent()
            update.quarantine.groups.extend(
                map(encode_group, machine.quarantine)
            )
        return update, sent._replace(
            config_version=max(machine.config_version, sent.config_version),
            workers=self._workers_version,
            nodes=self._nodes_version,
            quarantine=machine.quarantine,
        )

    def _refresh_workers(self) -> bool:
        """Compare the registry with the list; return whether it changed."""
        previous = self._worker_by_id
        current = {}
        changed = []
        for worker in self._machine.registry.live_workers():
            current[worker.worker_id] = worker
            if previous.get(worker.worker_id) != worker:
                changed.append(worker.worker_id)
        changed.extend(previous.keys() - current.keys())
        if not changed:
            return False
        self._worker_by_id = current
        self._workers_version += 1
        for worker_id in changed:
            self._version_by_id.pop(worker_id, None)
            self._version_by_id[worker_id] = self._workers_version
        self._forget_oldest()
        self._worker_list = messages.WorkerList(
            workers=map(encode_worker, current.values())
        )
        return True

    def _forget_oldest(self) -> None:
        excess = len(self._version_by_id) - len(self._worker_by_id)
        for worker_id in tuple(self._version_by_id):
            if excess <= _MAX_REMOVED:
                return
            if worker_id not in self._worker_by_id:
                excess -= 1
                self._forgotten_version = self._version_by_id.pop(worker_id)

    def _add_workers(
        self, update: messages.WatchUpdate, sent: SentState
    ) -> None:
        is_recent = sent.workers >= self._forgotten_version
        if not sent.accepts_changes or sent.workers < 0 or not is_recent:
            update.workers.CopyFrom(self._worker_list)
            return
        changes = update.worker_changes
        changes.SetInParent()
        for worker_id, version in reversed(self._version_by_id.items()):
            if version <= sent.workers:
                return
            worker = self._worker_by_id.get(worker_id)
            if worker is None:
                changes.removed_ids.append(worker_id)
            else:
                changes.changed.append(encode_worker(worker))

    def _change_nodes(self) -> None:
        self._nodes_version += 1
        self._fleet_list = None

    def _list_fleet(self) -> messages.FleetList:
        if self._fleet_list is None:
            self._fleet_list = messages.FleetList(
                directory=[encode_peer(peer) for peer in self._members],
                gateways=self._gateway_by_id.values(),
            )
        return self._fleet_list


def encode_peer(peer: Peer) -> messages.NodeAddress:
    """Build the message for a node."""
    return messages.NodeAddress(
        node_id=peer.node_id, host=peer.address.host, port=peer.address.port
    )
