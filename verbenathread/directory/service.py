"""RPC service of the directory for gateways and joining processes."""

import asyncio
import contextlib
import functools
from collections.abc import Iterable

from grpclib.server import Stream

from verbenathread.clock import Clock, seconds
from verbenathread.consensus.replica import Replica
from verbenathread.consensus.waiting import Signal
from verbenathread.directory.machine import DirectoryMachine, decode_group
from verbenathread.directory.membership import MembershipManager
from verbenathread.directory.quarantine import QuarantineKeeper
from verbenathread.directory.shared_barrier import SharedBarrier
from verbenathread.directory.updates import (
    SentState,
    UpdateSource,
    encode_peer,
)
from verbenathread.exceptions import UnavailableError
from verbenathread.observability.logs import get_logger
from verbenathread.schema import directory_pb2 as messages
from verbenathread.schema.directory_grpc import DirectoryBase
from verbenathread.settings.node import parse_address
from verbenathread.types import Address, Millis, Peer

_log = get_logger('directory')

# How often a change is looked for while no entry of the log is applied.
_CHECK_INTERVAL: Millis = 500
# Changes of workers that follow each other are sent together: this time for
# each gateway, as each update to all of them takes a leader as long.
_COALESCING_PER_GATEWAY: Millis = 1
# Every gateway parses each configuration that it receives, so of several that
# arrive within this interval only the latest is sent.
_CONFIG_INTERVAL: Millis = 200
_BARRIER_TIMEOUT: Millis = 1000
# How long a watch request waits for an election to finish. A gateway whose
# request is refused polls all directory processes and takes CPU time from the
# voters. Must stay below 600 ms, after which a gateway treats a process as
# unresponsive.
LEADER_TIMEOUT: Millis = 400


class DirectoryService(DirectoryBase):
    """Implements the calls of gateways and of joining processes."""

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
        self.quarantine = QuarantineKeeper(replica, machine, clock)
        self._changed = Signal(clock)
        self._updates = UpdateSource(machine)
        self._barrier = SharedBarrier(
            functools.partial(replica.barrier, _BARRIER_TIMEOUT)
        )

    async def run(self) -> None:
        """Wake the watch streams after each change."""
        applied = 0
        config_version = 0
        quarantine = self._machine.quarantine
        while True:
            try:
                applied = await self._replica.wait_applied(
                    applied, _CHECK_INTERVAL
                )
            except UnavailableError:
                await asyncio.sleep(seconds(_CHECK_INTERVAL))
            has_changes = self._updates.refresh(self.directory_peers())
            known = (config_version, quarantine)
            config_version = self._machine.config_version
            quarantine = self._machine.quarantine
            if has_changes or known != (config_version, quarantine):
                self._changed.notify_all()

    def gateway_count(self) -> int:
        """Return the number of gateways that watch this process."""
        return self._updates.gateway_count()

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
        await self._replica.wait_leader(LEADER_TIMEOUT)
        try:
            await self._barrier.wait()
        except UnavailableError:
            await stream.send_message(
                messages.WatchUpdate(leader=self._leader())
            )
            return
        gateway = request.gateway
        _log.info('Gateway watch started.', gateway=gateway.node_id)
        self._updates.refresh(self.directory_peers())
        self._updates.add_gateway(gateway)
        with contextlib.ExitStack() as stack:
            stack.callback(self._remove_gateway, gateway)
            sent = SentState(
                request.config_version, accepts_changes=request.accepts_changes
            )
            await self._send_updates(stream, sent)

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
            reply.directory.append(encode_peer(peer))
        await stream.send_message(reply)

    async def Quarantine(  # noqa: N802  the generated base sets the name
        self, stream: Stream[messages.PartGroup, messages.QuarantineReply]
    ) -> None:
        """Keep prompts with a group of parts from workers."""
        request = await stream.recv_message()
        if request is None:
            return
        done = await self.quarantine.add(decode_group(request))
        await stream.send_message(messages.QuarantineReply(done=done))

    def _remove_gateway(self, gateway: messages.NodeAddress) -> None:
        _log.info('Gateway watch ended.', gateway=gateway.node_id)
        self._updates.remove_gateway(gateway)

    async def _send_updates(
        self,
        stream: Stream[messages.WatchRequest, messages.WatchUpdate],
        sent: SentState,
    ) -> None:
        while self._replica.status().is_leader:
            update, newly_sent = self._updates.build(sent)
            await stream.send_message(update)
            pause = _COALESCING_PER_GATEWAY * self._updates.gateway_count()
            if newly_sent.config_version != sent.config_version:
                pause = max(pause, _CONFIG_INTERVAL)
            sent = newly_sent
            await asyncio.sleep(seconds(pause))
            await self._changed.wait_for(
                functools.partial(self._updates.has_changes, sent),
                self._updates.interval() - pause,
            )
        await stream.send_message(messages.WatchUpdate(leader=self._leader()))

    def _leader(self) -> messages.NodeAddress | None:
        status = self._replica.status()
        if not status.leader_address:
            return None
        address = parse_address(status.leader_address)
        return encode_peer(Peer(status.leader, address))
