"""One node of a cell, with a task for each peer and two for leases.

The task of a peer sends a message at least once a second, and immediately
when there is an update or a lease to request; the reply confirms it. The same
message carries upstream records, renewal queries and engine lease requests.
"""

import asyncio
from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

from verbenathread.clock import Clock, seconds
from verbenathread.exceptions import UnavailableError
from verbenathread.membership import wire
from verbenathread.membership.engine_leases import EngineLeases
from verbenathread.membership.gossip import Gossip
from verbenathread.membership.lease_acceptor import (
    MAX_LEASE_MS,
    LeaseAcceptor,
)
from verbenathread.membership.peer_view import PeerViews
from verbenathread.membership.upstream_leases import UpstreamLeases
from verbenathread.membership.upstreams import UpstreamTable
from verbenathread.observability.logs import get_logger
from verbenathread.schema import peer_pb2
from verbenathread.types import (
    Address,
    Millis,
    NodeId,
    UpstreamId,
    UpstreamKind,
    UpstreamRecord,
    UpstreamState,
)

# A peer gets a message at least this often, even without updates.
HEARTBEAT_INTERVAL_MS = 1000
EXCHANGE_TIMEOUT_MS = 1000
# Delay after a failed exchange; doubles up to HEARTBEAT_INTERVAL_MS.
_INITIAL_RETRY_MS = 50
# Minimum time between messages to one peer, so that updates are batched.
_BATCH_DELAY_MS = 5
# Intervals between checks of the engine and of the upstream leases.
_ENGINE_LEASE_INTERVAL_MS = 200
_UPSTREAM_LEASE_INTERVAL_MS = 500
# How long leave() waits for a majority of the live entries.
_LEAVE_TIMEOUT_MS = 2500
_LEAVE_POLL_MS = 20

_NO_ADDRESS: Final = Address('', 0)

_log = get_logger('membership')


class PeerUnreachableError(UnavailableError):
    """A peer did not reply in time, or not at all."""


class PeerTransport(Protocol):
    """Sends messages to peers and returns their replies."""

    async def exchange(
        self, peer_id: NodeId, message: peer_pb2.PeerMessage
    ) -> peer_pb2.PeerReply:
        """Return the reply, or raise :class:`PeerUnreachableError`."""


class MessageExtension(Protocol):
    """Additional data exchanged in the messages of a cell."""

    def fill_message(
        self, peer_id: NodeId, message: peer_pb2.PeerMessage
    ) -> None:
        """Add the data due for a peer to a message to it."""

    def handle_message(
        self, message: peer_pb2.PeerMessage, reply: peer_pb2.PeerReply
    ) -> None:
        """Process the data of a message and fill its reply."""

    def handle_reply(
        self,
        peer_id: NodeId,
        message: peer_pb2.PeerMessage,
        reply: peer_pb2.PeerReply,
    ) -> None:
        """Process the reply to a message that was sent."""


class NodeIdentity(NamedTuple):
    """Identity of a node; the incarnation grows with each start."""

    node_id: NodeId
    incarnation: int
    # All nodes of the cell, including this one.
    cell_ids: tuple[NodeId, ...]


class Cell:
    """Upstreams, live peers and engine leases as seen by one node.

    All methods except reads of :attr:`table` run on one event loop.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        transport: PeerTransport,
        clock: Clock,
        lease_of: Callable[[str], Millis],
        *,
        lease: Millis = MAX_LEASE_MS,
    ) -> None:
        """Create a node; ``lease_of`` returns the lease of a service."""
        self.identity = identity
        self.table = UpstreamTable()
        self.views = PeerViews(identity.node_id, identity.cell_ids)
        self.stopping = False
        acceptor = LeaseAcceptor(clock, identity.incarnation)
        self.engine_leases = EngineLeases(
            identity.cell_ids,
            acceptor,
            clock,
            self.wake,
            node_id=identity.node_id,
            lease=lease,
        )
        self._extensions: tuple[MessageExtension, ...] = ()
        self._clock = clock
        self._transport = transport
        self._upstream_leases = UpstreamLeases(
            identity.node_id, len(identity.cell_ids), self.table, lease_of
        )
        self._gossip = Gossip(self.table, self.views.by_id, self.wake)
        self._event_by_peer = {
            peer_id: asyncio.Event() for peer_id in self.views.by_id
        }
        self._lease_queries: tuple[int, ...] = ()
        self._tasks: tuple[asyncio.Task[None], ...] = ()

    def add_extensions(self, *extensions: MessageExtension) -> None:
        """Exchange additional data with peers; call before :meth:`start`."""
        self._extensions = (*self._extensions, *extensions)

    def start(self) -> None:
        """Start one task for each peer and two for leases."""
        links = [
            asyncio.create_task(self._run_link(peer_id))
            for peer_id in self.views.by_id
        ]
        self._tasks = (
            *links,
            asyncio.create_task(self._maintain_engine_leases()),
            asyncio.create_task(self._watch_upstream_leases()),
        )

    async def stop(self) -> None:
        """Release the leases, notify the peers and end all tasks."""
        self.stopping = True
        self.engine_leases.release_all()
        for peer_id in self.views.by_id:
            self.wake(peer_id)
        await asyncio.sleep(seconds(HEARTBEAT_INTERVAL_MS // 2))
        await self.close()

    async def close(self) -> None:
        """End all tasks without notifying the peers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = ()

    def announce(self, record: UpstreamRecord) -> UpstreamRecord:
        """Apply an announcement or renewal; return the record now in force."""
        now = self._clock.now()
        if self.table.announce(record, now):
            self._gossip.enqueue(record.upstream_id)
        held = self.table.get(record.upstream_id) or record
        if held.incarnation == record.incarnation:
            self._upstream_leases.record_renewal(record.upstream_id, now)
        return held

    async def leave(self, upstream_id: UpstreamId, incarnation: int) -> bool:
        """Mark an upstream as leaving and wait for the live peers.

        Returns whether a majority of them confirmed it.
        """
        held = self.table.get(upstream_id)
        if held is not None and held.incarnation > incarnation:
            return True
        if held is None or held.incarnation < incarnation:
            held = _unknown_record(upstream_id, incarnation)
        if held.state < UpstreamState.LEAVING:
            self._retire(held, UpstreamState.LEAVING)
        return await self._wait_for_majority(upstream_id)

    def handle_message(
        self, message: peer_pb2.PeerMessage
    ) -> peer_pb2.PeerReply:
        """Process a peer's message and return the reply."""
        now = self._clock.now()
        reply = peer_pb2.PeerReply(
            number=message.number,
            node_id=self.identity.node_id,
            incarnation=self.identity.incarnation,
            now_ms=now,
            stopping=self.stopping,
        )
        view = self.views.by_id.get(message.node_id)
        if view is None:
            raise PeerUnreachableError(
                f'{message.node_id} is not in the cell of this entry: '
                + 'list the same entries under [entry] cell on every VM'
            )
        if not view.record_message(message.incarnation, message.stopping, now):
            raise PeerUnreachableError(
                f'{message.node_id} uses an outdated incarnation: stop the '
                + 'older process of the two that share this name'
            )
        self._gossip.handle_message(message.node_id, message, reply, now)
        for extension in self._extensions:
            extension.handle_message(message, reply)
        for upstream_hash in message.heard_asks:
            age = self._upstream_leases.renewal_age(upstream_hash, now)
            # Sent plus one, since 0 stands for no renewal.
            reply.heard_ages.append(0 if age is None else age + 1)
        wire.add_responses(
            reply,
            [
                self.engine_leases.handle_request(
                    message.node_id,
                    message.incarnation,
                    request,
                    message.lease_ms,
                )
                for request in wire.decode_requests(message)
            ],
        )
        return reply

    def engine_ids(self) -> tuple[UpstreamId, ...]:
        """Return the engines that are not gone."""
        return tuple(
            record.upstream_id
            for record in self.table
            if record.kind is UpstreamKind.ENGINE
            and record.state is not UpstreamState.GONE
        )

    def wake(self, peer_id: NodeId) -> None:
        """Send the next message to a peer without waiting."""
        self._event_by_peer[peer_id].set()

    def serving_ids(self) -> frozenset[NodeId]:
        """Return the live nodes that are not stopping, including this one."""
        serving = self.views.serving_ids(self._clock.now())
        return serving if self.stopping else serving | {self.identity.node_id}

    def _retire(self, record: UpstreamRecord, state: UpstreamState) -> None:
        if self.table.retire(record, state, self._clock.now()):
            self._gossip.enqueue(record.upstream_id)

    async def _wait_for_majority(self, upstream_id: UpstreamId) -> bool:
        if not self.views.by_id:
            return True
        deadline = self._clock.now() + _LEAVE_TIMEOUT_MS
        while self._clock.now() < deadline:
            alive_ids = self.views.alive_ids(self._clock.now())
            confirmed = self._gossip.confirmed_ids(upstream_id) & alive_ids
            if len(confirmed) > len(alive_ids) // 2:
                return True
            await asyncio.sleep(seconds(_LEAVE_POLL_MS))
        return False

    async def _run_link(self, peer_id: NodeId) -> None:
        number = 0
        delay = _INITIAL_RETRY_MS
        while True:
            number += 1
            try:
                await self._exchange(peer_id, number)
            except PeerUnreachableError as error:
                if delay == _INITIAL_RETRY_MS:
                    _log.info('A peer is out of reach.', why=str(error))
                await asyncio.sleep(seconds(delay))
                delay = min(delay * 2, HEARTBEAT_INTERVAL_MS)
                continue
            delay = _INITIAL_RETRY_MS
            await self._wait_for_update(peer_id)

    async def _exchange(self, peer_id: NodeId, number: int) -> None:
        view = self.views.by_id[peer_id]
        sent_at = self._clock.now()
        self._event_by_peer[peer_id].clear()
        message = peer_pb2.PeerMessage(
            number=number,
            node_id=self.identity.node_id,
            incarnation=self.identity.incarnation,
            lease_ms=self.engine_leases.lease,
            stopping=self.stopping,
        )
        self._gossip.fill_message(peer_id, message)
        message.heard_asks.extend(self._lease_queries)
        for extension in self._extensions:
            extension.fill_message(peer_id, message)
        requests = wire.order_requests(
            self.engine_leases.take_requests(peer_id), view.incarnation
        )
        wire.add_requests(message, requests, view.incarnation)
        try:
            async with asyncio.timeout(seconds(EXCHANGE_TIMEOUT_MS)):
                reply = await self._transport.exchange(peer_id, message)
        except TimeoutError:
            raise PeerUnreachableError(
                f'{peer_id} did not reply in time: check that it is running'
            ) from None
        now = self._clock.now()
        if not view.record_message(reply.incarnation, reply.stopping, now):
            return
        view.record_clock(sent_at, reply.now_ms)
        self._gossip.handle_reply(peer_id, message, reply, now)
        for extension in self._extensions:
            extension.handle_reply(peer_id, message, reply)
        self._upstream_leases.handle_renewal_ages(
            peer_id, wire.decode_renewal_ages(message, reply), sent_at
        )
        for request, response in zip(
            requests, wire.decode_responses(reply), strict=True
        ):
            self.engine_leases.handle_response(
                peer_id, reply.incarnation, request, response
            )

    async def _wait_for_update(self, peer_id: NodeId) -> None:
        event = self._event_by_peer[peer_id]
        try:
            async with asyncio.timeout(seconds(HEARTBEAT_INTERVAL_MS)):
                await event.wait()
        except TimeoutError:
            return
        await asyncio.sleep(seconds(_BATCH_DELAY_MS))

    async def _maintain_engine_leases(self) -> None:
        while True:
            self.engine_leases.run_step(
                self.engine_ids(),
                self.serving_ids(),
                self.views.stable_ids(self._clock.now()),
            )
            await asyncio.sleep(seconds(_ENGINE_LEASE_INTERVAL_MS))

    async def _watch_upstream_leases(self) -> None:
        while True:
            now = self._clock.now()
            alive_ids = self.views.alive_ids(now)
            check = self._upstream_leases.check(now, alive_ids)
            self._lease_queries = check.queries
            for record in check.expired:
                _log.info('A lease ended.', upstream=record.upstream_id)
                self._retire(record, UpstreamState.GONE)
            self.table.expire_tombstones(now)
            await asyncio.sleep(seconds(_UPSTREAM_LEASE_INTERVAL_MS))


def _unknown_record(
    upstream_id: UpstreamId, incarnation: int
) -> UpstreamRecord:
    """Return a record for an upstream that leaves without announcement."""
    return UpstreamRecord(
        upstream_id=upstream_id,
        incarnation=incarnation,
        state=UpstreamState.READY,
        version=0,
        service='',
        kind=UpstreamKind.PLAIN,
        address=_NO_ADDRESS,
        data_centre='',
        memory_tokens=0,
    )
