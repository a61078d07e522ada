"""How the log forms, and how it replaces lost members by itself."""

import asyncio
from typing import NamedTuple, Protocol

from verbenathread.clock import Clock, seconds
from verbenathread.consensus.settings import MemberState, ReplicaStatus
from verbenathread.exceptions import VerbenathreadError
from verbenathread.observability.logs import get_logger
from verbenathread.types import Millis, NodeId, Peer

_log = get_logger('directory')

# A voter that is silent for this long is given up once another can take its
# place: longer than a restart (a second) and than most cuts of a single VM
# would be worth a move of the log.
_SILENCE_LIMIT: Millis = 5000
_CHECK_INTERVAL: Millis = 500
# Time for one change of members; each needs two rounds between replicas.
_CHANGE_TIMEOUT: Millis = 2000


class ReplicaGroup(Protocol):
    """What healing needs of a replica."""

    def status(self) -> ReplicaStatus:
        """Return what it knows of its group."""

    def silent_for(self) -> dict[NodeId, Millis]:
        """Return how long each other member has not answered the leader."""

    async def change_member(
        self, action: str, peer: Peer, limit: Millis
    ) -> None:
        """Add, promote or remove a member."""


class _JoinRequest(NamedTuple):
    """A process that wants to join, and when it last said so."""

    peer: Peer
    store_id: str
    received_at: Millis


class MembershipManager:
    """Changes members while this replica leads."""

    def __init__(self, group: ReplicaGroup, clock: Clock, voters: int) -> None:
        """Keep ``voters`` members that vote, as far as there are as many."""
        self._group = group
        self._clock = clock
        self._voters = voters
        # Processes that ask to join, with the store that each has.
        self._join_request_by_id: dict[NodeId, _JoinRequest] = {}

    def request_join(self, peer: Peer, store_id: str) -> bool:
        """Note that a process wants to join; True when it is a member."""
        for member in self._group.status().members:
            if (member.node_id, member.store_id) == (peer.node_id, store_id):
                return True
        self._join_request_by_id[peer.node_id] = _JoinRequest(
            peer, store_id, self._clock.now()
        )
        return False

    async def run(self) -> None:
        """Look after the members for as long as the process runs."""
        while True:
            await asyncio.sleep(seconds(_CHECK_INTERVAL))
            if not self._group.status().is_leader:
                self._join_request_by_id.clear()
                continue
            try:
                await self._step()
            except VerbenathreadError as error:
                _log.warning('A change of members waits.', reason=str(error))

    async def _step(self) -> None:
        """Make at most one change."""
        members = self._group.status().members
        newcomer = self._next_join_request(members)
        if newcomer is not None:
            await self._admit(newcomer, members)
            return
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
        replaceable = [one for one in lost if learners or not one.voter]
        if replaceable:
            await self._change_member('remove', replaceable[0])
        elif learners and voters < self._voters:
            await self._change_member('promote', learners[0])

    def _next_join_request(
        self, members: tuple[MemberState, ...]
    ) -> _JoinRequest | None:
        """Return one that asked and isn't a member with the disk it has."""
        now = self._clock.now()
        known = {(member.node_id, member.store_id) for member in members}
        for node_id, asked in tuple(self._join_request_by_id.items()):
            if (node_id, asked.store_id) in known:
                self._join_request_by_id.pop(node_id)
            elif now - asked.received_at > _SILENCE_LIMIT:
                self._join_request_by_id.pop(node_id)
            else:
                return asked
        return None

    async def _admit(
        self, newcomer: _JoinRequest, members: tuple[MemberState, ...]
    ) -> None:
        node_id = newcomer.peer.node_id
        for member in members:
            if member.node_id == node_id:
                # The disk that this member had is gone.
                await self._change_member('remove', member)  # noqa: WPS476
                return
        self._join_request_by_id.pop(node_id)
        _log.info('A process joins.', member=node_id)
        await self._group.change_member('add', newcomer.peer, _CHANGE_TIMEOUT)

    async def _change_member(self, action: str, member: MemberState) -> None:
        _log.info('A member is changed.', action=action, member=member.node_id)
        peer = Peer(member.node_id, member.address)
        await self._group.change_member(action, peer, _CHANGE_TIMEOUT)
