"""A replica of the log, for embedding in other services.

Starts and stops the components, which share one :class:`ReplicaState`, and
provides the public API.
"""

import asyncio
from collections.abc import Coroutine
from random import Random
from typing import Any, TypeVar

from verbenathread.clock import Clock, seconds
from verbenathread.consensus import members as membership
from verbenathread.consensus.applier import Applier
from verbenathread.consensus.changes import MembershipChanges
from verbenathread.consensus.election import Elections
from verbenathread.consensus.follower import Follower
from verbenathread.consensus.full_disk import FullDiskGuard
from verbenathread.consensus.leader import Leader, queue_proposal
from verbenathread.consensus.machine import Applied, StateMachine
from verbenathread.consensus.settings import (
    MemberState,
    ReplicaSettings,
    ReplicaStatus,
)
from verbenathread.consensus.snapshots import SnapshotReceiver
from verbenathread.consensus.state import Leadership, ReplicaState
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

    A replica that fails (for example on a failed sync or a damaged log) stops
    and reports the reason in :meth:`status`. The object can't be restarted.
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
        """Connect the components; nothing runs before :meth:`start`."""
        state = ReplicaState(settings, storage, clock, random)
        self._state = state
        self._machine = machine
        self._tasks = TaskSet(self._fail)
        self._applier = Applier(state, machine)
        self._leader = Leader(state, transport, self._tasks, self._applier)
        self._elections = Elections(
            state, transport, self._tasks, self._leader.lead
        )
        self._changes = MembershipChanges(state, transport, self._leader)
        follower = Follower(state, self._applier.fail_pending_from)
        self._follower = follower
        self._receiver = SnapshotReceiver(state, follower, self._applier)
        self._full_disk = FullDiskGuard(state, self._changes, self._tasks)
        self._running = False
        self._failure = ''

    async def start(self) -> None:
        """Load the saved state and take part in the group.

        Raises StorageError if the data folder is damaged or unsuitable.
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
        """Stop; a leader first transfers leadership and finishes proposals."""
        state = self._state
        if (
            self._running
            and transfer_leadership
            and state.leadership is not None
        ):
            await self._changes.transfer_leadership(
                2 * state.settings.election_timeout
            )
            await state.changed.wait_for(
                self._applier.is_idle, state.settings.election_timeout
            )
        self._halt()
        await self._tasks.join()
        state.storage.close()

    async def propose(self, command: bytes, limit: Millis) -> Applied:
        """Append a command and return once it is applied on this replica.

        NotLeaderError and UnavailableError guarantee that the command will not
        be committed; after UnknownOutcomeError it may or may not be.
        """
        self._require_running()
        leadership = self._state.require_leadership()
        proposal = queue_proposal(self._state, leadership, command)
        try:
            async with asyncio.timeout(seconds(limit)):
                return await proposal.future
        except TimeoutError:
            if proposal.appended:
                raise UnknownOutcomeError(
                    f'No quorum confirmed the change within {limit} ms; read '
                    'it back, or send it again under the same identifier.'
                ) from None
        raise UnavailableError(
            'The log was busy and did not accept the change; try again.'
        )

    async def barrier(self, limit: Millis) -> int:
        """Return a read index that a quorum confirmed, once it is applied.

        Reads of the state machine after this call are linearizable: they see
        every change acknowledged before it (Ongaro's thesis 2014, section 6.4).
        """
        self._require_running()
        state = self._state
        deadline = state.clock.now() + limit
        leadership = state.require_leadership()
        await self._wait_while_leader(
            leadership,
            lambda: state.commit_index >= leadership.first_index,
            deadline,
        )
        index = state.commit_index
        leadership.round += 1
        wanted = leadership.round
        leadership.wake_heartbeats()
        await self._wait_while_leader(
            leadership,
            lambda: self._is_round_confirmed(leadership, wanted),
            deadline,
        )
        await self._wait_while_leader(
            leadership, lambda: self._applier.applied_index >= index, deadline
        )
        return index

    async def change_member(
        self, action: str, peer: Peer, limit: Millis
    ) -> None:
        """Add a learner, promote a caught-up learner, or remove a member."""
        self._require_running()
        await self._changes.change(action, peer, limit)

    async def wait_applied(
        self, after: int, limit: Millis | None = None
    ) -> int:
        """Return the applied index once it exceeds ``after``.

        With a ``limit`` in ms, returns the current applied index on timeout.
        Raises UnavailableError if the replica stops first.
        """
        applier = self._applier
        await self._state.changed.wait_for(
            lambda: applier.applied_index > after or not self._running, limit
        )
        if applier.applied_index <= after:
            self._require_running()
        return applier.applied_index

    async def wait_leader(self, limit: Millis) -> None:
        """Return once a leader is known, or after ``limit`` ms."""
        state = self._state
        await state.changed.wait_for(
            lambda: bool(state.leader_id) or not self._running, limit
        )

    def status(self) -> ReplicaStatus:
        """Return this replica's view of the group, which may be stale."""
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
            node_id=state.node_id,
            store_id=state.store_id,
            is_disk_full=state.storage.is_full(),
        )

    def silent_for(self) -> dict[str, Millis]:
        """Return ms since contact with each other member, if leading."""
        state = self._state
        if state.leadership is None:
            return {}
        now = state.clock.now()
        return {
            node_id: now - progress.last_contact
            for node_id, progress in state.leadership.progress_by_id.items()
        }

    async def vote(self, request: messages.VoteRequest) -> messages.VoteReply:
        """Handle a vote request."""
        return await self._run_uncancelled(self._elections.vote(request))

    async def append(
        self, request: messages.AppendRequest
    ) -> messages.AppendReply:
        """Handle entries from the leader."""
        self._full_disk.require_space()
        return await self._run_uncancelled(self._follower.append(request))

    async def beat(self, request: messages.BeatRequest) -> messages.BeatReply:
        """Handle a heartbeat."""
        if request.head.term > self._state.term:
            self._full_disk.require_space()
        return await self._run_uncancelled(self._follower.beat(request))

    async def install(
        self, request: messages.InstallRequest
    ) -> messages.InstallReply:
        """Handle a snapshot chunk."""
        self._full_disk.require_space()
        return await self._run_uncancelled(self._receiver.install(request))

    async def transfer(
        self, request: messages.TransferRequest
    ) -> messages.TransferReply:
        """Handle a leadership transfer."""
        return await self._run_uncancelled(self._elections.transfer(request))

    async def _run_uncancelled(
        self, handler: Coroutine[Any, Any, _Reply]
    ) -> _Reply:
        """Run a handler in a task that a disconnecting caller does not cancel.

        A partial append would leave the disk ahead of memory.
        """
        if not self._running:
            handler.close()
            raise UnavailableError(
                'This replica is not running; call another one.'
            )
        task = self._tasks.spawn(handler)
        await asyncio.wait((task,))
        if task.cancelled() or task.exception() is not None:
            raise UnavailableError('This replica stopped; call another one.')
        return task.result()

    async def _wait_while_leader(
        self, leadership: Leadership, condition: Any, deadline: Millis
    ) -> None:
        state = self._state
        done = await state.changed.wait_for(
            lambda: condition() or not state.still_leads(leadership),
            deadline - state.clock.now(),
        )
        if not state.still_leads(leadership):
            raise state.not_leader_error()
        if not done:
            raise UnavailableError(
                'No quorum confirmed this leader before the deadline; try '
                'again, or call another replica.'
            )

    def _is_round_confirmed(self, leadership: Leadership, wanted: int) -> bool:
        """Return whether a quorum answered a heartbeat of round ``wanted``."""
        confirmed = {self._state.node_id}
        for node_id, progress in leadership.progress_by_id.items():
            if progress.round >= wanted:
                confirmed.add(node_id)
        return membership.is_quorum(self._state.log.members(), confirmed)

    def _member_state(self, member: messages.LogMember) -> MemberState:
        state = self._state
        match_index = 0
        if member.node_id == state.node_id:
            match_index = state.log.last_index
        elif state.leadership is not None:
            progress = state.leadership.progress_by_id.get(member.node_id)
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
                f'This replica stopped: {self._failure} Call another one.'
            )
        if not self._running:
            raise UnavailableError(
                'This replica is not running; start it or call another one.'
            )

    def _fail(self, error: BaseException) -> None:
        """Stop permanently, as the content of the disk is now unknown."""
        if self._failure:
            return
        self._failure = str(error) or type(error).__name__
        unexpected = not isinstance(error, (StorageError, OSError))
        if unexpected:
            self._failure = f'Internal error: {error!r}.'
        _log.error(
            'This replica stops after an error.',
            reason=self._failure,
            exc_info=error if unexpected else None,
        )
        self._halt()

    def _halt(self) -> None:
        self._running = False
        self._tasks.cancel()
        self._state.become_follower('')
        self._applier.fail_pending_from(0)
