"""The leader: appends to the log and replicates it to the other members.

Follows Raft (Ongaro and Ousterhout 2014, section 5.3). Each member has one
task for replication and one for heartbeats, so that a slow sync or a large
batch does not delay heartbeats.
"""

import asyncio

from verbenathread.clock import seconds
from verbenathread.consensus import members as membership
from verbenathread.consensus.applier import Applier
from verbenathread.consensus.snapshots import SnapshotSender
from verbenathread.consensus.state import (
    Leadership,
    Progress,
    Proposal,
    ReplicaState,
    Role,
)
from verbenathread.consensus.transport import Transport
from verbenathread.consensus.waiting import TaskSet, wait_event
from verbenathread.exceptions import UnavailableError, UnknownOutcomeError
from verbenathread.observability.logs import get_logger
from verbenathread.schema.consensus_pb2 import (
    ENTRY_MEMBERS,
    ENTRY_TERM,
    AppendRequest,
    BeatRequest,
    Envelope,
    LogEntry,
    LogMembers,
)

_log = get_logger('consensus')

# Timeout of an append, in election timeouts, before it is sent again. A member
# that was still syncing the batch then finds that it has the entries already.
_APPEND_ELECTION_TIMEOUTS = 2


class Leader:
    """Appends proposals and replicates the log to every member."""

    def __init__(
        self,
        state: ReplicaState,
        transport: Transport,
        tasks: TaskSet,
        applier: Applier,
    ) -> None:
        """Create the leader role; :meth:`lead` starts a term."""
        self._state = state
        self._transport = transport
        self._tasks = tasks
        self._applier = applier
        self._snapshots = SnapshotSender(state, transport, applier)

    async def lead(self, term: int, store_by_id: dict[str, str]) -> None:
        """Begin a term that was won.

        ``store_by_id`` holds the store id of each node that voted for it.
        """
        state = self._state
        async with state.lock:
            if state.role is not Role.CANDIDATE or state.term != term:
                return
            entry = LogEntry(kind=ENTRY_TERM)
            members = state.log.members()
            if not membership.is_formed(members):
                entry = _members_entry(
                    membership.with_stores(members, store_by_id)
                )
            leadership = Leadership(term, state.log.last_index + 1)
            state.role = Role.LEADER
            state.leadership = leadership
            state.leader_id = state.node_id
            _log.info('This replica is now the leader.', term=term)
            await self._write(leadership, [entry])
        self._tasks.spawn(self._write_batches(leadership))

    async def write_members(
        self, leadership: Leadership, members: LogMembers, expected: int
    ) -> int:
        """Append a membership change and return its index.

        ``expected`` is the log index of the members that ``members`` is based
        on. It must be committed, as only one change at a time is allowed.
        """
        # A separate task, since a caller that disconnects must not cancel a
        # sync.
        task = self._tasks.spawn(
            self._write_members(leadership, members, expected)
        )
        await asyncio.wait((task,))
        if task.cancelled() or task.exception() is not None:
            raise UnknownOutcomeError(
                'This replica stopped during the membership change; read the '
                'status from another one.'
            )
        outcome = task.result()
        if isinstance(outcome, UnavailableError):
            raise outcome
        return outcome

    async def _write_members(
        self, leadership: Leadership, members: LogMembers, expected: int
    ) -> int | UnavailableError:
        state = self._state
        async with state.lock:
            if not state.still_leads(leadership):
                return state.not_leader_error()
            current = state.log.members_index()
            if current != expected or current > state.commit_index:
                return UnavailableError(
                    'Another membership change is in progress; try again '
                    'once it is done.'
                )
            await self._write(leadership, [_members_entry(members)])
            return state.log.members_index()

    async def _write_batches(self, leadership: Leadership) -> None:
        """Append queued proposals in batches, each with one sync."""
        state = self._state
        while state.still_leads(leadership):
            if not leadership.queue:
                await leadership.queue_ready.wait()
                leadership.queue_ready.clear()
                continue
            async with state.lock:
                if state.still_leads(leadership):
                    await self._write_queue(leadership)

    async def _write_queue(self, leadership: Leadership) -> None:
        entries: list[LogEntry] = []
        size = 0
        index = self._state.log.last_index
        while leadership.queue and size < self._state.settings.batch_bytes:
            proposal = leadership.queue.popleft()
            if proposal.future.done():
                continue
            index += 1
            proposal.appended = True
            self._applier.register(index, leadership.term, proposal)
            entries.append(LogEntry(command=proposal.command))
            size += len(proposal.command)
        if entries:
            await self._write(leadership, entries)

    async def _write(
        self, leadership: Leadership, entries: list[LogEntry]
    ) -> None:
        """Append in memory, start replication, then sync.

        Call with ``state.lock`` held.
        """
        state = self._state
        index = state.log.last_index
        for entry in entries:
            index += 1
            entry.index = index
            entry.term = leadership.term
        state.log.extend(entries)
        self._update_progress(leadership)
        leadership.wake_replication()
        await state.storage.append(entries)
        leadership.synced_index = max(leadership.synced_index, index)
        self._advance_commit_index(leadership)

    def _update_progress(self, leadership: Leadership) -> None:
        """Match progress and tasks to the latest members in the log."""
        state = self._state
        kept: dict[str, Progress] = {}
        for member in state.log.members().members:
            if member.node_id == state.node_id:
                continue
            progress = leadership.progress_by_id.get(member.node_id)
            if progress is None:
                progress = Progress(
                    member, leadership.first_index, state.clock.now()
                )
                self._tasks.spawn(self._replicate(leadership, progress))
                self._tasks.spawn(self._run_heartbeats(leadership, progress))
            progress.member = member
            kept[member.node_id] = progress
        leadership.progress_by_id = kept

    def _is_replicating_to(
        self, leadership: Leadership, progress: Progress
    ) -> bool:
        if not self._state.still_leads(leadership):
            return False
        node_id = progress.member.node_id
        return leadership.progress_by_id.get(node_id) is progress

    async def _run_heartbeats(
        self, leadership: Leadership, progress: Progress
    ) -> None:
        """Send heartbeats to one member until the term ends."""
        state = self._state
        while self._is_replicating_to(leadership, progress):
            sent_at = state.clock.now()
            try:
                await self._send_heartbeat(leadership, progress, sent_at)
            except UnavailableError:
                await asyncio.sleep(seconds(state.settings.heartbeat) / 2)
            rest = sent_at + state.settings.heartbeat - state.clock.now()
            await wait_event(progress.heartbeat_due, max(1, rest))

    async def _send_heartbeat(
        self, leadership: Leadership, progress: Progress, sent_at: int
    ) -> None:
        state = self._state
        commit = min(state.commit_index, progress.match_index)
        request = BeatRequest(
            head=self._envelope(leadership, progress),
            round=leadership.round,
            commit_index=commit,
        )
        reply = await self._transport.beat(
            membership.peer_of(progress.member),
            request,
            state.settings.election_timeout // 2,
        )
        if not await self._accept_reply(leadership, progress, reply.head):
            return
        progress.last_contact = max(progress.last_contact, sent_at)
        progress.round = max(progress.round, reply.round)
        state.changed.notify_all()

    async def _replicate(
        self, leadership: Leadership, progress: Progress
    ) -> None:
        """Replicate entries to one member until the term ends."""
        state = self._state
        while self._is_replicating_to(leadership, progress):
            if not self._has_work(progress):
                await progress.work_ready.wait()
                progress.work_ready.clear()
                continue
            try:
                sent = await self._send_next(leadership, progress)
            except UnavailableError:
                sent = False
            if not sent:
                await wait_event(progress.work_ready, state.settings.heartbeat)

    def _has_work(self, progress: Progress) -> bool:
        state = self._state
        if progress.next_index <= state.log.last_index:
            return True
        return progress.sent_commit_index < state.commit_index

    async def _send_next(
        self, leadership: Leadership, progress: Progress
    ) -> bool:
        """Send one batch or snapshot; return False to pause before the next."""
        state = self._state
        previous = progress.next_index - 1
        term = state.log.term_at(previous)
        if term is None:
            return await self._send_snapshot(leadership, progress)
        entries = state.log.entries_after(previous, state.settings.batch_bytes)
        commit = state.commit_index
        request = AppendRequest(
            head=self._envelope(leadership, progress),
            previous_index=previous,
            previous_term=term,
            entries=entries,
            commit_index=commit,
        )
        reply = await self._transport.append(
            membership.peer_of(progress.member),
            request,
            state.settings.election_timeout * _APPEND_ELECTION_TIMEOUTS,
        )
        if not await self._accept_reply(leadership, progress, reply.head):
            return False
        if not reply.matched:
            # Always decrease next_index, even if the hint does not.
            progress.next_index = max(1, min(previous, reply.next_index))
            return True
        progress.sent_commit_index = max(progress.sent_commit_index, commit)
        progress.next_index = reply.match_index + 1
        if reply.match_index > progress.match_index:
            progress.match_index = reply.match_index
            self._advance_commit_index(leadership)
        return True

    async def _send_snapshot(
        self, leadership: Leadership, progress: Progress
    ) -> bool:
        head = self._envelope(leadership, progress)
        sent = await self._snapshots.send(progress, head)
        if not await self._accept_reply(leadership, progress, sent.reply.head):
            return False
        if not sent.reply.installed:
            return False
        progress.next_index = sent.snapshot_index + 1
        progress.match_index = max(progress.match_index, sent.snapshot_index)
        self._advance_commit_index(leadership)
        return True

    def _envelope(self, leadership: Leadership, progress: Progress) -> Envelope:
        head = self._state.envelope(progress.member.store_id)
        head.term = leadership.term
        return head

    async def _accept_reply(
        self, leadership: Leadership, progress: Progress, head: Envelope
    ) -> bool:
        """Return whether a reply is valid for this term and this store.

        Also steps down on a newer term and logs a changed store.
        """
        state = self._state
        await state.observe_term(head.term)
        if not self._is_replicating_to(leadership, progress):
            return False
        if head.sender_store == progress.member.store_id:
            progress.store_mismatch = False
            return head.term == leadership.term
        if not progress.store_mismatch:
            _log.error(
                'A member replied from another data folder; remove it and '
                'add it again as a new member.',
                member=progress.member.node_id,
            )
        progress.store_mismatch = True
        return False

    def _advance_commit_index(self, leadership: Leadership) -> None:
        """Commit entries of the current term that a quorum has synced."""
        state = self._state
        if not state.still_leads(leadership):
            return
        synced_by_id = {state.node_id: leadership.synced_index}
        for node_id, progress in leadership.progress_by_id.items():
            synced_by_id[node_id] = progress.match_index
        index = _quorum_index(state.log.members(), synced_by_id)
        # Entries of older terms are not committed by counting replicas (5.4.2).
        if state.log.term_at(index) == leadership.term:
            state.commit_to(index)
            leadership.wake_replication()
        state.changed.notify_all()


def _members_entry(members: LogMembers) -> LogEntry:
    return LogEntry(kind=ENTRY_MEMBERS, members=members)


def _quorum_index(members: LogMembers, synced_by_id: dict[str, int]) -> int:
    """Return the highest index that a quorum of the voters has synced."""
    synced = []
    for member in membership.voters(members):
        synced.append(synced_by_id.get(member.node_id, 0))
    synced.sort(reverse=True)
    return synced[membership.quorum_size(members) - 1]


def queue_proposal(
    state: ReplicaState, leadership: Leadership, command: bytes
) -> Proposal:
    """Queue a command for appending; raise if the queue is full."""
    if len(leadership.queue) >= state.settings.queue_limit:
        raise UnavailableError(
            'Too many changes are waiting for the log; try again in a moment.'
        )
    proposal = Proposal(command)
    leadership.queue.append(proposal)
    leadership.queue_ready.set()
    return proposal
