"""Automatic membership: admits new members and replaces lost ones."""

import asyncio
from typing import NamedTuple, Protocol

from verbenathread.clock import Clock, seconds
from verbenathread.consensus.settings import MemberState, ReplicaStatus
from verbenathread.exceptions import VerbenathreadError
from verbenathread.observability.logs import get_logger
from verbenathread.types import Millis, NodeId, Peer

_log = get_logger('directory')

# A member that has not answered for this long is removed once another one can
# take its place. Longer than a restart (1 s); a member that returns later joins
# again.
_SILENCE_LIMIT: Millis = 3000
# A process that still runs repeats its request more often than this.
_REQUEST_EXPIRY: Millis = 5000
_CHECK_INTERVAL: Millis = 250
# Between two changes that follow each other: until the last one, the group
# tolerates one loss less.
_STEP_INTERVAL: Millis = 20
# A membership change takes two round trips between replicas.
_CHANGE_TIMEOUT: Millis = 2000


class ReplicaGroup(Protocol):
    """The part of a replica that membership changes use."""

    def status(self) -> ReplicaStatus:
        """Return the replica's view of its group."""

    def silent_for(self) -> dict[NodeId, Millis]:
        """Return how long each other member has not answered the leader."""

    async def change_member(
        self, action: str, peer: Peer, limit: Millis
    ) -> None:
        """Add, promote or remove a member."""


class _JoinRequest(NamedTuple):
    """The latest request of a process to join the group."""

    peer: Peer
    store_id: str
    received_at: Millis


class MembershipManager:
    """Adds, promotes and removes members while this replica leads."""

    def __init__(
        self, group: ReplicaGroup, clock: Clock, max_voters: int
    ) -> None:
        """Maintain up to ``max_voters`` voting members."""
        self._group = group
        self._clock = clock
        self._max_voters = max_voters
        self._join_request_by_id: dict[NodeId, _JoinRequest] = {}

    def request_join(self, peer: Peer, store_id: str) -> bool:
        """Record a request to join; return whether it already is a member."""
        for member in self._group.status().members:
            if (member.node_id, member.store_id) == (peer.node_id, store_id):
                return True
        self._join_request_by_id[peer.node_id] = _JoinRequest(
            peer, store_id, self._clock.now()
        )
        return False

    async def run(self) -> None:
        """Check the members periodically while this replica leads."""
        interval = _CHECK_INTERVAL
        while True:
            await asyncio.sleep(seconds(interval))
            interval = _CHECK_INTERVAL
            if not self._group.status().is_leader:
                self._join_request_by_id.clear()
                continue
            try:
                if await self._step():
                    interval = _STEP_INTERVAL
            except VerbenathreadError as error:
                _log.warning('Membership change postponed.', reason=str(error))

    async def _step(self) -> bool:
        """Make at most one membership change; return whether one was made."""
        members = self._group.status().members
        join_request = self._next_join_request(members)
        if join_request is not None:
            await self._admit(join_request, members)
            return True
        silent = self._group.silent_for()
        learners = []
        lost = []
        voters = 0
        for member in members:
            voters += member.voter
            if silent.get(member.node_id, 0) >= _SILENCE_LIMIT:
                lost.append(member)
            elif not member.voter:
                learners.append(member)
        replaceable = [
            candidate for candidate in lost if learners or not candidate.voter
        ]
        if replaceable:
            await self._change_member('remove', replaceable[0])
            return True
        if learners and voters < self._max_voters:
            await self._change_member('promote', learners[0])
            return True
        return False

    def _next_join_request(
        self, members: tuple[MemberState, ...]
    ) -> _JoinRequest | None:
        """Return a pending request whose store is not yet a member."""
        now = self._clock.now()
        known = {(member.node_id, member.store_id) for member in members}
        for node_id, request in tuple(self._join_request_by_id.items()):
            if (node_id, request.store_id) in known:
                self._join_request_by_id.pop(node_id)
            elif now - request.received_at > _REQUEST_EXPIRY:
                self._join_request_by_id.pop(node_id)
            else:
                return request
        return None

    async def _admit(
        self, join_request: _JoinRequest, members: tuple[MemberState, ...]
    ) -> None:
        node_id = join_request.peer.node_id
        for member in members:
            if member.node_id == node_id:
                # The member lost its disk and has a new store.
                await self._change_member('remove', member)  # noqa: WPS476
                return
        self._join_request_by_id.pop(node_id)
        _log.info('Adding a member.', member=node_id)
        await self._group.change_member(
            'add', join_request.peer, _CHANGE_TIMEOUT
        )

    async def _change_member(self, action: str, member: MemberState) -> None:
        _log.info('Changing a member.', action=action, member=member.node_id)
        peer = Peer(member.node_id, member.address)
        await self._group.change_member(action, peer, _CHANGE_TIMEOUT)
