"""Elections: pre-vote, vote, check-quorum and leadership transfer.

After Raft (Ongaro and Ousterhout 2014, section 5.2) and Ongaro's thesis
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

# Called with the term that was won and the stores of those who voted.
Won = Callable[[int, dict[str, str]], Awaitable[None]]


class Elections:
    """Stands for election, and gives or refuses votes."""

    def __init__(
        self,
        state: ReplicaState,
        transport: Transport,
        tasks: TaskSet,
        won: Won,
    ) -> None:
        """Call ``won`` whenever this replica wins a term."""
        self._state = state
        self._transport = transport
        self._tasks = tasks
        self._won = won

    async def run(self) -> None:
        """Watch the leader, or the quorum while leading, for ever."""
        state = self._state
        state.election.restart()
        running = True
        while running:
            await asyncio.sleep(seconds(self._pause()))
            if state.leading is not None:
                self._check_quorum()
                continue
            if state.clock.now() < state.election.deadline:
                continue
            state.election.restart()
            if state.is_voter():
                await self._stand()

    async def vote(self, request: VoteRequest) -> VoteReply:
        """Give or refuse a vote; a vote is synced before it is told."""
        state = self._state
        granted = False
        if state.is_meant(request.head) and self._may_listen(request):
            if request.trial:
                granted = self._would_vote(request)
            else:
                async with state.lock:
                    granted = await self._vote_once(request)
        return VoteReply(head=state.head(), granted=granted)

    async def transfer(self, request: TransferRequest) -> TransferReply:
        """Stand for election at once, since the leader asks for it."""
        state = self._state
        head = request.head
        asked = state.is_meant(head) and head.term == state.term
        if asked and head.sender == state.leader_id and state.is_voter():
            _log.info('Leadership is handed to this replica.', term=state.term)
            self._tasks.spawn(self._campaign(handed_over=True))
        return TransferReply(head=state.head())

    def _pause(self) -> int:
        state = self._state
        if state.leading is not None:
            return state.settings.heartbeat
        return max(1, state.election.deadline - state.clock.now())

    def _check_quorum(self) -> None:
        state = self._state
        leading = state.leading
        if leading is None or state.is_confirmed(leading):
            return
        _log.warning('No quorum answers; this replica leads no more.')
        state.follow('')
        state.election.restart()

    async def _stand(self) -> None:
        state = self._state
        heard_before = state.term
        granted = await self._ask(
            VoteRequest(head=state.head(), trial=True), state.term + 1
        )
        if granted is None or state.term != heard_before:
            return
        if not state.election.leader_is_fresh():
            await self._campaign(handed_over=False)

    async def _campaign(self, *, handed_over: bool) -> None:
        state = self._state
        async with state.lock:
            if state.leading is not None or not state.is_voter():
                return
            state.follow('')
            await state.save_ballot(Ballot(state.term + 1, state.my_id))
            state.role = Role.CANDIDATE
            term = state.term
        state.election.restart()
        request = VoteRequest(head=state.head(), handed_over=handed_over)
        granted = await self._ask(request, term)
        if granted is not None:
            await self._won(term, granted)

    async def _ask(
        self, request: VoteRequest, term: int
    ) -> dict[str, str] | None:
        """Return the stores of those who voted, or None without a quorum."""
        state = self._state
        request.head.term = term
        request.last_index = state.log.last_index
        request.last_term = state.log.last_term
        store_by_id = {state.my_id: state.store_id}
        members = state.log.members()
        asked = set()
        for member in membership.voters(members):
            if member.node_id == state.my_id:
                continue
            asked.add(member.node_id)
            # Never cancelled: it may be syncing a newer term.
            self._tasks.spawn(
                self._ask_one(member, request, store_by_id, asked)
            )
        await state.changed.wait_for(
            lambda: not asked or membership.is_quorum(members, store_by_id),
            state.settings.election_timeout,
        )
        if membership.is_quorum(members, store_by_id):
            return store_by_id
        # Drawn anew only now: two candidates that waited here for the same
        # time would otherwise stand again at the same moment, for ever.
        state.election.restart()
        return None

    async def _ask_one(
        self,
        member: LogMember,
        wanted: VoteRequest,
        store_by_id: dict[str, str],
        asked: set[str],
    ) -> None:
        """Ask one voter, and take it off ``asked`` once it answered."""
        state = self._state
        request = VoteRequest()
        request.CopyFrom(wanted)
        request.head.target_store = member.store_id
        try:
            reply = await self._transport.vote(
                membership.peer_of(member),
                request,
                state.settings.election_timeout,
            )
        except UnavailableError:
            asked.discard(member.node_id)
            state.changed.notify_all()
            return
        await state.saw_term(reply.head.term)
        store = reply.head.sender_store
        # A vote out of another store is not the member's vote.
        if reply.granted and store and member.store_id in {'', store}:
            store_by_id[member.node_id] = store
        asked.discard(member.node_id)
        state.changed.notify_all()

    def _may_listen(self, request: VoteRequest) -> bool:
        """Tell whether an election may disturb the leader."""
        state = self._state
        if request.handed_over:
            return True
        if state.leading is not None:
            return not state.is_confirmed(state.leading)
        return not state.election.leader_is_fresh()

    def _would_vote(self, request: VoteRequest) -> bool:
        if request.head.term <= self._state.term:
            return False
        return self._is_up_to_date(request)

    async def _vote_once(self, request: VoteRequest) -> bool:
        state = self._state
        candidate = request.head.sender
        term = request.head.term
        if term < state.term:
            return False
        taken = term == state.term and state.ballot.vote not in {'', candidate}
        if taken or not self._is_up_to_date(request):
            await state.enter_term(term)
            return False
        if term > state.term:
            state.follow('')
        ballot = Ballot(term, candidate)
        if ballot != state.ballot:
            await state.save_ballot(ballot)
        state.election.restart()
        return True

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        log = self._state.log
        theirs = (request.last_term, request.last_index)
        return theirs >= (log.last_term, log.last_index)
