"""RPC service of the directory for gateways and joining processes."""

import asyncio
import contextlib
import functools
from collections.abc import Iterable
from typing import NamedTuple

from grpclib.server import Stream

from verbenathread.clock import Clock, seconds
from verbenathread.consensus.replica import Replica
from verbenathread.consensus.waiting import Signal
from verbenathread.directory.machine import DirectoryMachine, encode_worker
from verbenathread.directory.membership import MembershipManager
from verbenathread.exceptions import UnavailableError
from verbenathread.observability.logs import get_logger
from verbenathread.schema import directory_pb2 as messages
from verbenathread.schema.directory_grpc import DirectoryBase
from verbenathread.settings.node import parse_address
from verbenathread.types import Address, Millis, NodeId, Peer

_log = get_logger('directory')

# Longest interval between two updates to a gateway.
_UPDATE_INTERVAL: Millis = 500
# Every gateway parses each configuration that it receives, so of several that
# arrive within this interval only the latest is sent.
_CONFIG_INTERVAL: Millis = 200
_BARRIER_TIMEOUT: Millis = 1000
# How long a watch request waits for an election to finish. A gateway whose
# request is refused polls all directory processes and takes CPU time from the
# voters. Must stay below 600 ms, after which a gateway treats a process as
# unresponsive.
_LEADER_TIMEOUT: Millis = 400


class _SentState(NamedTuple):
    """Versions of the state last sent to one gateway."""

    config_version: int
    registry_changes: int = -1
    node_changes: int = -1


class DirectoryService(DirectoryBase):
    """Implements the ``Watch`` and ``Join`` calls."""

    def __init__(
        self,
        replica: Replica,
        machine: DirectoryMachine,
        membership: MembershipManager,
        clock: Clock,
    ) -> None:
        """Serve the state in ``machine``."""
        self._replica = replica
        self._machine = machine
        self._membership = membership
        self._clock = clock
        self._changed = Signal(clock)
        self._gateway_by_id: dict[NodeId, messages.NodeAddress] = {}
        self._node_changes = 0
        self._members: tuple[Peer, ...] = ()

    async def run(self) -> None:
        """Wake the watch streams after each change."""
        applied = 0
        while True:
            try:
                applied = await self._replica.wait_applied(
                    applied, _UPDATE_INTERVAL
                )
            except UnavailableError:
                await asyncio.sleep(seconds(_UPDATE_INTERVAL))
            members = tuple(self.directory_peers())
            if members != self._members:
                self._members = members
                self._node_changes += 1
            self._changed.notify_all()

    def gateway_count(self) -> int:
        """Return the number of gateways that watch this process."""
        return len(self._gateway_by_id)

    def directory_peers(self) -> Iterable[Peer]:
        """Return the directory's replica group, as seen by this replica."""
        for member in self._replica.status().members:
            yield Peer(member.node_id, member.address)

    async def Watch(  # noqa: N802  the generated base sets the name
        self, stream: Stream[messages.WatchRequest, messages.WatchUpdate]
    ) -> None:
        """Send updates to one gateway while this process leads."""
        request = await stream.recv_message()
        if request is None:
            return
        await self._replica.wait_leader(_LEADER_TIMEOUT)
        try:
            await self._replica.barrier(_BARRIER_TIMEOUT)
        except UnavailableError:
            await stream.send_message(
                messages.WatchUpdate(leader=self._leader())
            )
            return
        gateway = request.gateway
        _log.info('Gateway watch started.', gateway=gateway.node_id)
        self._gateway_by_id[gateway.node_id] = gateway
        self._node_changes += 1
        with contextlib.ExitStack() as stack:
            stack.callback(self._remove_gateway, gateway)
            await self._send_updates(stream, _SentState(request.config_version))

    async def Join(  # noqa: N802  the generated base sets the name
        self, stream: Stream[messages.JoinRequest, messages.JoinReply]
    ) -> None:
        """Record that a process requests membership."""
        request = await stream.recv_message()
        if request is None:
            return
        reply = messages.JoinReply(leader=self._leader())
        if self._replica.status().is_leader:
            node = request.node
            peer = Peer(node.node_id, Address(node.host, node.port))
            reply.member = self._membership.request_join(peer, request.store_id)
        for peer in self.directory_peers():
            reply.directory.append(_encode_peer(peer))
        await stream.send_message(reply)

    def _remove_gateway(self, gateway: messages.NodeAddress) -> None:
        _log.info('Gateway watch ended.', gateway=gateway.node_id)
        if self._gateway_by_id.get(gateway.node_id) is gateway:
            self._gateway_by_id.pop(gateway.node_id)
            self._node_changes += 1

    async def _send_updates(
        self,
        stream: Stream[messages.WatchRequest, messages.WatchUpdate],
        sent: _SentState,
    ) -> None:
        while self._replica.status().is_leader:
            update, newly_sent = self._build_update(sent)
            await stream.send_message(update)
            if newly_sent.config_version != sent.config_version:
                await asyncio.sleep(seconds(_CONFIG_INTERVAL))
            sent = newly_sent
            has_changes = functools.partial(self._has_changes, sent)
            await self._changed.wait_for(has_changes, _UPDATE_INTERVAL)
        await stream.send_message(messages.WatchUpdate(leader=self._leader()))

    def _has_changes(self, sent: _SentState) -> bool:
        machine = self._machine
        return (
            machine.config_version > sent.config_version
            or machine.registry_changes != sent.registry_changes
            or self._node_changes != sent.node_changes
        )

    def _build_update(
        self, sent: _SentState
    ) -> tuple[messages.WatchUpdate, _SentState]:
        machine = self._machine
        update = messages.WatchUpdate(leads=True)
        if machine.config_version > sent.config_version:
            update.config = machine.config_body
            update.config_version = machine.config_version
        if machine.registry_changes != sent.registry_changes:
            update.workers.SetInParent()
            for worker in machine.registry.live_workers():
                update.workers.workers.append(encode_worker(worker))
        if self._node_changes != sent.node_changes:
            update.fleet.SetInParent()
            for peer in self.directory_peers():
                update.fleet.directory.append(_encode_peer(peer))
            update.fleet.gateways.extend(self._gateway_by_id.values())
        latest_version = max(machine.config_version, sent.config_version)
        newly_sent = _SentState(
            latest_version, machine.registry_changes, self._node_changes
        )
        return update, newly_sent

    def _leader(self) -> messages.NodeAddress | None:
        status = self._replica.status()
        if not status.leader_address:
            return None
        address = parse_address(status.leader_address)
        return _encode_peer(Peer(status.leader, address))


def _encode_peer(peer: Peer) -> messages.NodeAddress:
    return messages.NodeAddress(
        node_id=peer.node_id, host=peer.address.host, port=peer.address.port
    )
