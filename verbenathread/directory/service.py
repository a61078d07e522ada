"""What the directory answers to gateways and to processes that join."""

import asyncio
import contextlib
import functools
from collections.abc import Iterable
from typing import NamedTuple

from grpclib.server import Stream

from verbenathread.clock import Clock, seconds
from verbenathread.consensus.replica import Replica
from verbenathread.consensus.waiting import Signal
from verbenathread.directory.healing import Healer
from verbenathread.directory.machine import DirectoryMachine, entry_of
from verbenathread.exceptions import UnavailableError
from verbenathread.observability.logs import get_logger
from verbenathread.schema import directory_pb2 as messages
from verbenathread.schema.directory_grpc import DirectoryBase
from verbenathread.settings.node import parse_address
from verbenathread.types import Address, Millis, NodeId, Peer

_log = get_logger('directory')

# A gateway hears from the leader at least this often.
TICK: Millis = 500
# Configurations that follow one another faster than this are merged: the
# newest counts alone, and each is parsed by every gateway.
_CONFIG_PAUSE: Millis = 200
_BARRIER_LIMIT: Millis = 1000
# How long a gateway is kept waiting for an election. One that was sent away
# would ask around all the while, at the cost of the voters' processors; it
# takes a process for silent after 600 ms.
_ELECTION_LIMIT: Millis = 400


class _Sent(NamedTuple):
    """What one gateway was sent."""

    config_version: int
    registry_changes: int = -1
    fleet_changes: int = -1


class DirectoryService(DirectoryBase):
    """Serves ``Watch`` and ``Join``."""

    def __init__(
        self,
        replica: Replica,
        machine: DirectoryMachine,
        healer: Healer,
        clock: Clock,
    ) -> None:
        """Serve what ``machine`` holds."""
        self._replica = replica
        self._machine = machine
        self._healer = healer
        self._clock = clock
        self._changed = Signal(clock)
        self._gateway_by_id: dict[NodeId, messages.NodeAddress] = {}
        self._fleet_changes = 0
        self._members: tuple[Peer, ...] = ()

    async def run(self) -> None:
        """Wake the watching gateways after each change."""
        applied = 0
        while True:
            try:
                applied = await self._replica.wait_applied(applied, TICK)
            except UnavailableError:
                await asyncio.sleep(seconds(TICK))
            members = tuple(self.directory_peers())
            if members != self._members:
                self._members = members
                self._fleet_changes += 1
            self._changed.fire()

    def gateway_count(self) -> int:
        """Return how many gateways this process feeds."""
        return len(self._gateway_by_id)

    def directory_peers(self) -> Iterable[Peer]:
        """Return the members of the log, by this process's own copy."""
        for member in self._replica.status().members:
            yield Peer(member.node_id, member.address)

    async def Watch(  # noqa: N802  the generated base sets the name
        self, stream: Stream[messages.WatchRequest, messages.WatchUpdate]
    ) -> None:
        """Feed one gateway for as long as this process leads."""
        request = await stream.recv_message()
        if request is None:
            return
        await self._replica.wait_leader(_ELECTION_LIMIT)
        try:
            await self._replica.barrier(_BARRIER_LIMIT)
        except UnavailableError:
            await stream.send_message(
                messages.WatchUpdate(leader=self._leader())
            )
            return
        gateway = request.gateway
        _log.info('A gateway watches.', gateway=gateway.node_id)
        self._gateway_by_id[gateway.node_id] = gateway
        self._fleet_changes += 1
        with contextlib.ExitStack() as stack:
            stack.callback(self._forget, gateway)
            await self._feed(stream, _Sent(request.config_version))

    async def Join(  # noqa: N802  the generated base sets the name
        self, stream: Stream[messages.JoinRequest, messages.JoinReply]
    ) -> None:
        """Note that a process wants to be a member."""
        request = await stream.recv_message()
        if request is None:
            return
        reply = messages.JoinReply(leader=self._leader())
        if self._replica.status().is_leader:
            node = request.node
            peer = Peer(node.node_id, Address(node.host, node.port))
            reply.member = self._healer.ask(peer, request.store_id)
        for peer in self.directory_peers():
            reply.directory.append(_node_of(peer))
        await stream.send_message(reply)

    def _forget(self, gateway: messages.NodeAddress) -> None:
        _log.info('A gateway watches no more.', gateway=gateway.node_id)
        if self._gateway_by_id.get(gateway.node_id) is gateway:
            self._gateway_by_id.pop(gateway.node_id)
            self._fleet_changes += 1

    async def _feed(
        self,
        stream: Stream[messages.WatchRequest, messages.WatchUpdate],
        sent: _Sent,
    ) -> None:
        while self._replica.status().is_leader:
            update, now_sent = self._update(sent)
            await stream.send_message(update)
            if now_sent.config_version != sent.config_version:
                await asyncio.sleep(seconds(_CONFIG_PAUSE))
            sent = now_sent
            lacks = functools.partial(self._lacks, sent)
            await self._changed.until(lacks, TICK)
        await stream.send_message(messages.WatchUpdate(leader=self._leader()))

    def _lacks(self, sent: _Sent) -> bool:
        machine = self._machine
        return (
            machine.config_version > sent.config_version
            or machine.registry_changes != sent.registry_changes
            or self._fleet_changes != sent.fleet_changes
        )

    def _update(self, sent: _Sent) -> tuple[messages.WatchUpdate, _Sent]:
        machine = self._machine
        update = messages.WatchUpdate(leads=True)
        if machine.config_version > sent.config_version:
            update.config = machine.config_body
            update.config_version = machine.config_version
        if machine.registry_changes != sent.registry_changes:
            update.workers.SetInParent()
            for worker in machine.registry.live_workers():
                update.workers.workers.append(entry_of(worker))
        if self._fleet_changes != sent.fleet_changes:
            update.fleet.SetInParent()
            for peer in self.directory_peers():
                update.fleet.directory.append(_node_of(peer))
            update.fleet.gateways.extend(self._gateway_by_id.values())
        newest = max(machine.config_version, sent.config_version)
        now_sent = _Sent(newest, machine.registry_changes, self._fleet_changes)
        return update, now_sent

    def _leader(self) -> messages.NodeAddress | None:
        status = self._replica.status()
        if not status.leader_address:
            return None
        address = parse_address(status.leader_address)
        return _node_of(Peer(status.leader, address))


def _node_of(peer: Peer) -> messages.NodeAddress:
    return messages.NodeAddress(
        node_id=peer.node_id, host=peer.address.host, port=peer.address.port
    )
