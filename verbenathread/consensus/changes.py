"""Changes of members and the handing over of leadership.

One member is changed at a time (Ongaro's thesis 2014, section 4.1, with the
leader's own term committed first, as its author's correction of 2015 asks).
"""

from verbenathread.consensus import members as membership
from verbenathread.consensus.leader import Leader
from verbenathread.consensus.state import Leading, Progress, ReplicaState
from verbenathread.consensus.transport import Transport
from verbenathread.exceptions import (
    UnavailableError,
    UnknownOutcomeError,
    UsageError,
)
from verbenathread.observability.logs import get_logger
from verbenathread.schema.consensus_pb2 import (
    BeatRequest,
    LogMembers,
    TransferRequest,
)
from verbenathread.types import Millis, Peer

_log = get_logger('consensus')


class MemberChanges:
    """Adds learners, makes them voters, and removes members."""

    def __init__(
        self, state: ReplicaState, transport: Transport, leader: Leader
    ) -> None:
        """Write changes through ``leader``."""
        self._state = state
        self._transport = transport
        self._leader = leader

    async def change(self, action: str, peer: Peer, limit: Millis) -> None:
        """Add, promote or remove one member; return once it is committed."""
        state = self._state
        deadline = state.clock.now() + limit
        leading = state.require_leading()
        await self._commit_own_term(leading, limit)
        expected = state.log.members_index()
        changed = await self._changed(action, leading, peer, deadline)
        if changed is None:
            return
        index = await self._leader.write_members(leading, changed, expected)
        committed = await state.changed.wait_for(
            lambda: state.commit_index >= index or not state.leads(leading),
            deadline - state.clock.now(),
        )
        if not committed or state.commit_index < index:
            raise UnknownOutcomeError(
                'The change of members may or may not be accepted; read the '
                'status, then repeat it if it is missing.'
            )
        _log.info('A member was changed.', action=action, node=peer.node_id)

    async def hand_over(self, limit: Millis) -> bool:
        """Let the most advanced voter lead; False when none took over."""
        state = self._state
        leading = state.leading
        if leading is None:
            return True
        target = self._successor(leading)
        if target is None:
            return False
        leading.handing_over = True
        deadline = state.clock.now() + limit
        await state.changed.wait_for(
            lambda: not state.leads(leading) or _is_ready(state, target),
            limit,
        )
        if state.leads(leading) and _is_ready(state, target):
            await self._ask_to_lead(leading, target)
        handed = await state.changed.wait_for(
            lambda: not state.leads(leading), deadline - state.clock.now()
        )
        leading.handing_over = False
        return handed

    async def _ask_to_lead(self, leading: Leading, target: Progress) -> None:
        state = self._state
        head = state.head(target.member.store_id)
        head.term = leading.term
        try:
            await self._transport.transfer(
                membership.peer_of(target.member),
                TransferRequest(head=head),
                state.settings.election_timeout,
            )
        except UnavailableError:
            _log.warning('The successor does not answer.')

    def _successor(self, leading: Leading) -> Progress | None:
        best = None
        oldest = self._state.clock.now() - self._state.settings.election_timeout
        for progress in leading.progress_by_id.values():
            if not progress.member.voter or progress.heard < oldest:
                continue
            if best is None or progress.match_index > best.match_index:
                best = progress
        return best

    async def _commit_own_term(self, leading: Leading, limit: Millis) -> None:
        state = self._state
        await state.changed.wait_for(
            lambda: (
                state.commit_index >= leading.first_index
                or not state.leads(leading)
            ),
            limit,
        )
        if not state.leads(leading):
            raise state.not_leader()
        if state.commit_index < leading.first_index:
            raise UnavailableError(
                'The leader has not committed its own term; check that a '
                'quorum of the members runs.'
            )

    async def _changed(
        self, action: str, leading: Leading, peer: Peer, deadline: Millis
    ) -> LogMembers | None:
        """Return the members as wanted; None when they already are so."""
        if action == 'add':
            return await self._added(peer)
        if action == 'promote':
            return await self._promoted(leading, peer, deadline)
        if action == 'remove':
            return await self._removed(leading, peer, deadline)
        raise UsageError(
            f'No such change of members: {action}. Use add, promote or remove.'
        )

    async def _added(self, peer: Peer) -> LogMembers | None:
        state = self._state
        members = state.log.members()
        reply = await self._transport.beat(
            peer,
            BeatRequest(head=state.head()),
            state.settings.election_timeout,
        )
        store_id = reply.head.sender_store
        known = membership.find(members, peer.node_id)
        if known is not None and known.store_id == store_id:
            return None
        if known is not None:
            raise UsageError(
                f'{peer.node_id} is a member with another data folder; '
                'remove it first, then add it.'
            )
        if reply.head.sender != peer.node_id:
            raise UsageError(
                f'{peer.address} is {reply.head.sender}, not {peer.node_id}; '
                'name the node as its settings do.'
            )
        learner = membership.member_of(peer, voter=False, store_id=store_id)
        return membership.with_learner(members, learner)

    async def _promoted(
        self, leading: Leading, peer: Peer, deadline: Millis
    ) -> LogMembers | None:
        state = self._state
        members = state.log.members()
        known = membership.find(members, peer.node_id)
        progress = leading.progress_by_id.get(peer.node_id)
        if known is None or progress is None:
            if known is not None and known.voter:
                return None
            raise UsageError(
                f'{peer.node_id} is no member; add it first, then promote it.'
            )
        if known.voter:
            return None
        wanted = state.commit_index
        caught_up = await state.changed.wait_for(
            lambda: progress.match_index >= wanted,
            deadline - state.clock.now(),
        )
        if not caught_up:
            raise UnavailableError(
                f'{peer.node_id} holds {progress.match_index} of {wanted} '
                'records; promote it once it has caught up.'
            )
        return membership.with_voter(members, peer.node_id)

    async def _removed(
        self, leading: Leading, peer: Peer, deadline: Millis
    ) -> LogMembers | None:
        state = self._state
        members = state.log.members()
        if membership.find(members, peer.node_id) is None:
            return None
        if peer.node_id == state.my_id:
            await self.hand_over(deadline - state.clock.now())
            raise state.not_leader()
        rest = membership.without(members, peer.node_id)
        self._require_quorum(leading, rest)
        return rest

    def _require_quorum(self, leading: Leading, members: LogMembers) -> None:
        """Refuse a removal after which nothing could be committed."""
        state = self._state
        oldest = state.clock.now() - state.settings.election_timeout
        heard = {state.my_id}
        for node_id, progress in leading.progress_by_id.items():
            if progress.heard > oldest:
                heard.add(node_id)
        if not membership.is_quorum(members, heard):
            raise UnavailableError(
                'Without this member no quorum would answer; bring another '
                'voter back or add one first.'
            )


def _is_ready(state: ReplicaState, target: Progress) -> bool:
    leading = state.leading
    if leading is None or leading.queue:
        return False
    return target.match_index >= state.log.last_index
