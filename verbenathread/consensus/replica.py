"""One replica of a log: the part that others embed.

The parts beneath share one :class:`ReplicaState`; this module starts them,
stops them, and offers what callers need.
"""

import asyncio
from collections.abc import Coroutine
from random import Random
from typing import Any, TypeVar

from verbenathread.clock import Clock, seconds
from verbenathread.consensus import members as membership
from verbenathread.consensus.applier import Applier
from verbenathread.consensus.changes import MemberChanges
from verbenathread.consensus.election import Elections
from verbenathread.consensus.follower import Follower
from verbenathread.consensus.leader import Leader, queue_proposal
from verbenathread.consensus.machine import Applied, StateMachine
from verbenathread.consensus.settings import (
    MemberState,
    ReplicaSettings,
    ReplicaStatus,
)
from verbenathread.consensus.snapshots import SnapshotReceiver
from verbenathread.consensus.state import Leading, ReplicaState
from verbenathread.consensus.storage import Storage
from verbenathread.consensus.transport import Transport
from verbenathread.consensus.waiting import TaskSet
from verbenathread.exceptions import (
    StorageError,
    UnavailableError,
    UnknownOutcomeError,
)
from verbenathread.observability.logs import get_logger
from verbenathread.schema import consensus_pb2 as messages
from verbenathread.types import Millis, Peer

_log = get_logger('consensus')
_Reply = TypeVar('_Reply')


class Replica:
    """A member of a group that agrees on one log of commands.

    A replica that fails (a sync, a damaged log) stops by itself and says why
    in :meth:`status`; it is not started again on the same object.
    """

    def __init__(
        self,
        *,
        settings: ReplicaSettings,
        storage: Storage,
        machine: StateMachine,
        transport: Transport,
        clock: Clock,
        random: Random,
    ) -> None:
        """Wire the parts; nothing runs before :meth:`start`."""
        state = ReplicaState(settings, storage, clock, random)
        self._state = state
        self._machine = machine
        self._tasks = TaskSet(self._fail)
        self._applier = Applier(state, machine)
        self._leader = Leader(state, transport, self._tasks, self._applier)
        self._elections = Elections(
            state, transport, self._tasks, self._leader.lead
        )
        self._changes = MemberChanges(state, transport, self._leader)
        follower = Follower(state, self._applier.abandon_from)
        self._follower = follower
        self._receiver = SnapshotReceiver(state, follower, self._applier)
        self._running = False
        self._failure = ''

    async def start(self) -> None:
        """Load what was saved and take part in the group.

        Raises StorageError when the data folder can't be trusted.
        """
        settings = self._state.settings
        saved = await self._state.storage.load(
            settings.cluster, settings.local_peer.node_id
        )
        self._state.load(saved)
        if saved.snapshot is not None:
            self._applier.restore(saved.snapshot)
        self._running = True
        self._tasks.spawn(self._elections.run())
        self._tasks.spawn(self._applier.run())

    async def stop(self, *, transfer_leadership: bool = True) -> None:
        """Stop; a leader first hands over and answers what is in progress."""
        state = self._state
        if self._running and transfer_leadership and state.leading is not None:
            await self._changes.hand_over(2 * state.settings.election_timeout)
            await state.changed.wait_for(
                self._applier.is_idle, state.settings.election_timeout
            )
        self._halt()
        await self._tasks.join()
        state.storage.close()

    async def propose(self, command: bytes, limit: Millis) -> Applied:
        """Put a command on the log and return once it is applied here.

        NotLeaderError and UnavailableError mean that it was surely not
        taken; UnknownOutcomeError that it may or may not be committed.
        """
        self._require_running()
        leading = self._state.require_leading()
        proposal = queue_proposal(self._state, leading, command)
        try:
            return await asyncio.wait_for(proposal.future, seconds(limit))
        except TimeoutError:
            if proposal.appended:
                raise UnknownOutcomeError(
                    f'No quorum confirmed the change within {limit} ms; read '
                    'it back, or send it again under the same identifier.'
                ) from None
        raise UnavailableError(
            'The log was busy and did not take the change; try again.'
        )

    async def barrier(self, limit: Millis) -> int:
        """Return an index that a quorum confirmed; later reads are fresh.

        A read of the state machine after this call sees every change that
        was answered before it (Ongaro's thesis 2014, section 6.4).
        """
        self._require_running()
        state = self._state
        deadline = state.clock.now() + limit
        leading = state.require_leading()
        await self._wait_leading(
            leading,
            lambda: state.commit_index >= leading.first_index,
            deadline,
        )
        index = state.commit_index
        leading.round += 1
        wanted = leading.round
        leading.wake_beats()
        await self._wait_leading(
            leading, lambda: self._is_confirmed(leading, wanted), deadline
        )
        await self._wait_leading(
            leading, lambda: self._applier.applied_index >= index, deadline
        )
        return index

    async def change_member(
        self, action: str, peer: Peer, limit: Millis
    ) -> None:
        """Add a learner, promote it once caught up, or remove a member."""
        self._require_running()
        await self._changes.change(action, peer, limit)

    async def wait_applied(
        self, after: int, limit: Millis | None = None
    ) -> int:
        """Return the applied index once it exceeds ``after``.

        With a ``limit`` in ms, returns what is applied when it passes.
        Raises UnavailableError when the replica stops meanwhile.
        """
        applier = self._applier
        await self._state.changed.wait_for(
            lambda: applier.applied_index > after or not self._running, limit
        )
        if applier.applied_index <= after:
            self._require_running()
        return applier.applied_index

    async def wait_leader(self, limit: Millis) -> None:
        """Return once a leader is known here, or after ``limit`` ms."""
        state = self._state
        await state.changed.wait_for(
            lambda: bool(state.leader_id) or not self._running, limit
        )

    def status(self) -> ReplicaStatus:
        """Return what this replica knows; it may be stale."""
        state = self._state
        members = []
        for member in state.log.members().members:
            members.append(self._member_state(member))
        return ReplicaStatus(
            leader=state.leader_id,
            leader_address=state.leader_address(),
            is_leader=self._running and state.is_leader(),
            term=state.term,
            commit_index=state.commit_index,
            applied_index=self._applier.applied_index,
            members=tuple(members),
            sync_count=state.storage.sync_count(),
            failure=self._failure,
            node_id=state.my_id,
            store_id=state.store_id,
        )

    def silent_for(self) -> dict[str, Millis]:
        """Return ms since each other member answered; empty if not leading."""
        state = self._state
        if state.leading is None:
            return {}
        now = state.clock.now()
        return {
            node_id: now - progress.heard
            for node_id, progress in state.leading.progress_by_id.items()
        }

    async def vote(self, request: messages.VoteRequest) -> messages.VoteReply:
        """Answer a candidate."""
        return await self._serve(self._elections.vote(request))

    async def append(
        self, request: messages.AppendRequest
    ) -> messages.AppendReply:
        """Answer the leader's entries."""
        return await self._serve(self._follower.append(request))

    async def beat(self, request: messages.BeatRequest) -> messages.BeatReply:
        """Answer a heartbeat."""
        return await self._serve(self._follower.beat(request))

    async def install(
        self, request: messages.InstallRequest
    ) -> messages.InstallReply:
        """Answer a part of a snapshot."""
        return await self._serve(self._receiver.install(request))

    async def transfer(
        self, request: messages.TransferRequest
    ) -> messages.TransferReply:
        """Answer the leader that hands over."""
        return await self._serve(self._elections.transfer(request))

    async def _serve(self, answer: Coroutine[Any, Any, _Reply]) -> _Reply:
        """Answer in a task that a caller who hangs up can't cancel.

        Half of an append would leave the disk ahead of the memory.
        """
        if not self._running:
            answer.close()
            raise UnavailableError(
                'This replica does not run; ask another one.'
            )
        task = self._tasks.spawn(answer)
        await asyncio.wait((task,))
        if task.cancelled() or task.exception() is not None:
            raise UnavailableError('This replica stopped; ask another one.')
        return task.result()

    async def _wait_leading(
        self, leading: Leading, condition: Any, deadline: Millis
    ) -> None:
        state = self._state
        done = await state.changed.wait_for(
            lambda: condition() or not state.leads(leading),
            deadline - state.clock.now(),
        )
        if not state.leads(leading):
            raise state.not_leader()
        if not done:
            raise UnavailableError(
                'No quorum confirmed this leader in time; try again, or ask '
                'another control process.'
            )

    def _is_confirmed(self, leading: Leading, wanted: int) -> bool:
        """Tell whether a quorum answered a heartbeat sent since then."""
        confirmed = {self._state.my_id}
        for node_id, progress in leading.progress_by_id.items():
            if progress.round >= wanted:
                confirmed.add(node_id)
        return membership.is_quorum(self._state.log.members(), confirmed)

    def _member_state(self, member: messages.LogMember) -> MemberState:
        state = self._state
        match_index = 0
        if member.node_id == state.my_id:
            match_index = state.log.last_index
        elif state.leading is not None:
            progress = state.leading.progress_by_id.get(member.node_id)
            match_index = progress.match_index if progress else 0
        return MemberState(
            node_id=member.node_id,
            address=membership.peer_of(member).address,
            voter=member.voter,
            match_index=match_index,
            store_id=member.store_id,
        )

    def _require_running(self) -> None:
        if self._failure:
            raise UnavailableError(
                f'This replica stopped: {self._failure} Ask another one.'
            )
        if not self._running:
            raise UnavailableError(
                'This replica does not run; start it or ask another one.'
            )

    def _fail(self, error: BaseException) -> None:
        """Stop for good: what the disk holds is no longer known."""
        if self._failure:
            return
        self._failure = str(error) or type(error).__name__
        unexpected = not isinstance(error, (StorageError, OSError))
        if unexpected:
            self._failure = f'Internal error: {error!r}.'
        _log.error(
            'This replica stops.',
            reason=self._failure,
            exc_info=error if unexpected else None,
        )
        self._halt()

    def _halt(self) -> None:
        self._running = False
        self._tasks.cancel()
        self._state.follow('')
        self._applier.abandon_from(0)
