"""Elections: pre-vote, vote, check-quorum and leadership transfer.

Follows Raft (Ongaro and Ousterhout 2014, section 5.2) and Ongaro's thesis
(2014): pre-vote in 9.6, check-quorum in 6.2, transfer in 3.10.
"""

import asyncio
from collections.abc import Awaitable, Callable

from verbenathread.clock import seconds
from verbenathread.consensus import members as membership
from verbenathread.consensus.state import ReplicaState, Role
from verbenathread.consensus.storage import Ballot
from verbenathread.consensus.transport import Transport
from verbenathread.consensus.waiting import TaskSet
from verbenathread.exceptions import UnavailableError
from verbenathread.observability.logs import get_logger
from verbenathread.schema.consensus_pb2 import (
    LogMember,
    TransferReply,
    TransferRequest,
    VoteReply,
    VoteRequest,
)

_log = get_logger('consensus')

# Called with the term that was won and the stores of the voters by node id.
OnElected = Callable[[int, dict[str, str]], Awaitable[None]]


class Elections:
    """Runs elections, and grants or refuses votes."""

    def __init__(
        self,
        state: ReplicaState,
        transport: Transport,
        tasks: TaskSet,
        on_elected: OnElected,
    ) -> None:
        """Call ``on_elected`` whenever this replica wins an election."""
        self._state = state
        self._transport = transport
        self._tasks = tasks
        self._on_elected = on_elected

    async def run(self) -> None:
        """Check the election deadline, or the quorum while leading, forever."""
        state = self._state
        state.election.restart()
        running = True
        while running:
            await asyncio.sleep(seconds(self._next_check()))
            if state.leadership is not None:
                self._check_quorum()
                continue
            if state.clock.now() < state.election.deadline:
                continue
            state.election.restart()
            if state.is_voter() and not state.storage.is_full():
                await self._run_pre_vote()

    async def vote(self, request: VoteRequest) -> VoteReply:
        """Grant or refuse a vote; a granted vote is synced before the reply."""
        state = self._state
        granted = False
        if state.storage.is_full():
            # It could not save its vote.
            return VoteReply(head=state.envelope())
        if state.is_addressed_here(request.head) and self._allows_election(
            request
        ):
            if request.trial:
                granted = self._grants_pre_vote(request)
            else:
                async with state.lock:
                    granted = await self._grant_vote(request)
        return VoteReply(head=state.envelope(), granted=granted)

    async def transfer(self, request: TransferRequest) -> TransferReply:
        """Start an election immediately at the leader's request."""
        state = self._state
        head = request.head
        is_current = state.is_addressed_here(head) and head.term == state.term
        if is_current and head.sender == state.leader_id and state.is_voter():
            _log.info(
                'Leadership is being transferred to this replica.',
                term=state.term,
            )
            self._tasks.spawn(self._campaign(handed_over=True))
        return TransferReply(head=state.envelope())

    def _next_check(self) -> int:
        state = self._state
        if state.leadership is not None:
            return state.settings.heartbeat
        return max(1, state.election.deadline - state.clock.now())

    def _check_quorum(self) -> None:
        state = self._state
        leadership = state.leadership
        if leadership is None or state.has_quorum_contact(leadership):
            return
        _log.warning('No quorum answers; this replica steps down as leader.')
        state.become_follower('')
        state.election.restart()

    async def _run_pre_vote(self) -> None:
        state = self._state
        term_before = state.term
        granted = await self._request_votes(
            VoteRequest(head=state.envelope(), trial=True), state.term + 1
        )
        if granted is None or state.term != term_before:
            return
        if not state.election.has_recent_leader():
            await self._campaign(handed_over=False)

    async def _campaign(self, *, handed_over: bool) -> None:
        state = self._state
        async with state.lock:
            if state.leadership is not None or not state.is_voter():
                return
            state.become_follower('')
            await state.save_ballot(Ballot(state.term + 1, state.node_id))
            state.role = Role.CANDIDATE
            term = state.term
        state.election.restart()
        request = VoteRequest(head=state.envelope(), handed_over=handed_over)
        granted = await self._request_votes(request, term)
        if granted is not None:
            await self._on_elected(term, granted)

    async def _request_votes(
        self, request: VoteRequest, term: int
    ) -> dict[str, str] | None:
        """Return the stores of granting voters, or None without a quorum."""
        state = self._state
        request.head.term = term
        request.last_index = state.log.last_index
        request.last_term = state.log.last_term
        store_by_id = {state.node_id: state.store_id}
        members = state.log.members()
        pending = set()
        for member in membership.voters(members):
            if member.node_id == state.node_id:
                continue
            pending.add(member.node_id)
            # Not cancelled after the wait: it may be syncing a newer term.
            self._tasks.spawn(
                self._request_vote(member, request, store_by_id, pending)
            )
        await state.changed.wait_for(
            lambda: not pending or membership.is_quorum(members, store_by_id),
            state.settings.election_timeout,
        )
        if membership.is_quorum(members, store_by_id):
            return store_by_id
        # Randomize the deadline again. Otherwise two candidates that waited
        # equally long would keep starting elections at the same time.
        state.election.restart()
        return None

    async def _request_vote(
        self,
        member: LogMember,
        template: VoteRequest,
        store_by_id: dict[str, str],
        pending: set[str],
    ) -> None:
        """Request one vote, and remove the voter from ``pending`` when done."""
        state = self._state
        request = VoteRequest()
        request.CopyFrom(template)
        request.head.target_store = member.store_id
        try:
            reply = await self._transport.vote(
                membership.peer_of(member),
                request,
                state.settings.election_timeout,
            )
        except UnavailableError:
            pending.discard(member.node_id)
            state.changed.notify_all()
            return
        await state.observe_term(reply.head.term)
        store = reply.head.sender_store
        # A vote from another store is not a vote of this member.
        if reply.granted and store and member.store_id in {'', store}:
            store_by_id[member.node_id] = store
        pending.discard(member.node_id)
        state.changed.notify_all()

    def _allows_election(self, request: VoteRequest) -> bool:
        """Return whether an election would not disrupt a live leader.

        True if no live leader is known or the leader transfers leadership.
        """
        state = self._state
        if request.handed_over:
            return True
        if state.leadership is not None:
            return not state.has_quorum_contact(state.leadership)
        return not state.election.has_recent_leader()

    def _grants_pre_vote(self, request: VoteRequest) -> bool:
        if request.head.term <= self._state.term:
            return False
        return self._is_up_to_date(request)

    async def _grant_vote(self, request: VoteRequest) -> bool:
        state = self._state
        candidate = request.head.sender
        term = request.head.term
        if term < state.term:
            return False
        voted = term == state.term and state.ballot.vote not in {'', candidate}
        if voted or not self._is_up_to_date(request):
            await state.enter_term(term)
            return False
        if term > state.term:
            state.become_follower('')
        ballot = Ballot(term, candidate)
        if ballot != state.ballot:
            await state.save_ballot(ballot)
        state.election.restart()
        return True

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        log = self._state.log
        theirs = (request.last_term, request.last_index)
        return theirs >= (log.last_term, log.last_index)
