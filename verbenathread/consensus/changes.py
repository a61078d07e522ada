"""Membership changes and leadership transfer.

One member is changed at a time (Ongaro's thesis 2014, section 4.1). The leader
first commits an entry of its own term, as the author's correction of 2015
requires.
"""

from verbenathread.consensus import members as membership
from verbenathread.consensus.leader import Leader
from verbenathread.consensus.state import Leadership, Progress, ReplicaState
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


class MembershipChanges:
    """Adds learners, promotes them to voters, and removes members."""

    def __init__(
        self, state: ReplicaState, transport: Transport, leader: Leader
    ) -> None:
        """Append changes through ``leader``."""
        self._state = state
        self._transport = transport
        self._leader = leader

    async def change(self, action: str, peer: Peer, limit: Millis) -> None:
        """Add, promote or remove one member; return once committed."""
        state = self._state
        deadline = state.clock.now() + limit
        leadership = state.require_leadership()
        await self._wait_for_term_commit(leadership, limit)
        expected = state.log.members_index()
        changed = await self._target_members(action, leadership, peer, deadline)
        if changed is None:
            return
        index = await self._leader.write_members(leadership, changed, expected)
        committed = await state.changed.wait_for(
            lambda: (
                state.commit_index >= index or not state.still_leads(leadership)
            ),
            deadline - state.clock.now(),
        )
        if not committed or state.commit_index < index:
            raise UnknownOutcomeError(
                'The membership change may or may not be committed; read the '
                'status, and repeat the change if it is missing.'
            )
        _log.info(
            'The membership was changed.', action=action, node=peer.node_id
        )

    async def transfer_leadership(self, limit: Millis) -> bool:
        """Transfer leadership to the most up-to-date voter.

        Returns False if no voter took over before the timeout.
        """
        state = self._state
        leadership = state.leadership
        if leadership is None:
            return True
        target = self._choose_successor(leadership)
        if target is None:
            return False
        leadership.transferring = True
        deadline = state.clock.now() + limit
        await state.changed.wait_for(
            lambda: (
                not state.still_leads(leadership)
                or _is_caught_up(state, target)
            ),
            limit,
        )
        if state.still_leads(leadership) and _is_caught_up(state, target):
            await self._request_transfer(leadership, target)
        transferred = await state.changed.wait_for(
            lambda: not state.still_leads(leadership),
            deadline - state.clock.now(),
        )
        leadership.transferring = False
        return transferred

    async def _request_transfer(
        self, leadership: Leadership, target: Progress
    ) -> None:
        state = self._state
        head = state.envelope(target.member.store_id)
        head.term = leadership.term
        try:
            await self._transport.transfer(
                membership.peer_of(target.member),
                TransferRequest(head=head),
                state.settings.election_timeout,
            )
        except UnavailableError:
            _log.warning('The leadership successor does not answer.')

    def _choose_successor(self, leadership: Leadership) -> Progress | None:
        best = None
        oldest = self._state.clock.now() - self._state.settings.election_timeout
        for progress in leadership.progress_by_id.values():
            if not progress.member.voter or progress.last_contact < oldest:
                continue
            if best is None or progress.match_index > best.match_index:
                best = progress
        return best

    async def _wait_for_term_commit(
        self, leadership: Leadership, limit: Millis
    ) -> None:
        state = self._state
        await state.changed.wait_for(
            lambda: (
                state.commit_index >= leadership.first_index
                or not state.still_leads(leadership)
            ),
            limit,
        )
        if not state.still_leads(leadership):
            raise state.not_leader_error()
        if state.commit_index < leadership.first_index:
            raise UnavailableError(
                'The leader has not committed an entry of its own term; check '
                'that a quorum of the voters is running.'
            )

    async def _target_members(
        self, action: str, leadership: Leadership, peer: Peer, deadline: Millis
    ) -> LogMembers | None:
        """Return the members after the change, or None if nothing changes."""
        if action == 'add':
            return await self._members_with_learner(peer)
        if action == 'promote':
            return await self._members_with_voter(leadership, peer, deadline)
        if action == 'remove':
            return await self._members_without(leadership, peer, deadline)
        raise UsageError(
            f'Unknown membership change: {action}. Use add, promote or remove.'
        )

    async def _members_with_learner(self, peer: Peer) -> LogMembers | None:
        state = self._state
        members = state.log.members()
        reply = await self._transport.beat(
            peer,
            BeatRequest(head=state.envelope()),
            state.settings.election_timeout,
        )
        store_id = reply.head.sender_store
        member = membership.find(members, peer.node_id)
        if member is not None and member.store_id == store_id:
            return None
        if member is not None:
            raise UsageError(
                f'{peer.node_id} is a member with another data folder; '
                'remove it first, then add it.'
            )
        if reply.head.sender != peer.node_id:
            raise UsageError(
                f'{peer.address} is {reply.head.sender}, not {peer.node_id}; '
                'use the node id from its settings.'
            )
        learner = membership.member_of(peer, voter=False, store_id=store_id)
        return membership.with_learner(members, learner)

    async def _members_with_voter(
        self, leadership: Leadership, peer: Peer, deadline: Millis
    ) -> LogMembers | None:
        state = self._state
        members = state.log.members()
        member = membership.find(members, peer.node_id)
        progress = leadership.progress_by_id.get(peer.node_id)
        if member is None or progress is None:
            if member is not None and member.voter:
                return None
            raise UsageError(
                f'{peer.node_id} is not a member; add it first, then '
                'promote it.'
            )
        if member.voter:
            return None
        target_index = state.commit_index
        caught_up = await state.changed.wait_for(
            lambda: progress.match_index >= target_index,
            deadline - state.clock.now(),
        )
        if not caught_up:
            raise UnavailableError(
                f'{peer.node_id} has {progress.match_index} of {target_index} '
                'entries; promote it once it has caught up.'
            )
        return membership.with_voter(members, peer.node_id)

    async def _members_without(
        self, leadership: Leadership, peer: Peer, deadline: Millis
    ) -> LogMembers | None:
        state = self._state
        members = state.log.members()
        if membership.find(members, peer.node_id) is None:
            return None
        if peer.node_id == state.node_id:
            await self.transfer_leadership(deadline - state.clock.now())
            raise state.not_leader_error()
        remaining = membership.without(members, peer.node_id)
        self._check_remaining_quorum(leadership, remaining)
        return remaining

    def _check_remaining_quorum(
        self, leadership: Leadership, members: LogMembers
    ) -> None:
        """Refuse a removal that would leave no responsive quorum."""
        state = self._state
        oldest = state.clock.now() - state.settings.election_timeout
        responsive = {state.node_id}
        for node_id, progress in leadership.progress_by_id.items():
            if progress.last_contact > oldest:
                responsive.add(node_id)
        if not membership.is_quorum(members, responsive):
            raise UnavailableError(
                'Without this member no quorum would answer; restore another '
                'voter or add one first.'
            )


def _is_caught_up(state: ReplicaState, target: Progress) -> bool:
    leadership = state.leadership
    if leadership is None or leadership.queue:
        return False
    return target.match_index >= state.log.last_index
