"""The leading side: the log's writer and one pair of tasks per member.

After Raft (Ongaro and Ousterhout 2014, section 5.3). Heartbeats have a task
of their own, so that a slow sync or a large batch never silences them.
"""

import asyncio

from verbenathread.clock import seconds
from verbenathread.consensus import members as membership
from verbenathread.consensus.applier import Applier
from verbenathread.consensus.snapshots import SnapshotSender
from verbenathread.consensus.state import (
    Leading,
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

# A lost batch is sent again after this many election timeouts. A member that
# is still syncing it then finds that it holds the entries already.
_APPEND_TIMEOUTS = 2


class Leader:
    """Puts proposals on the log and brings every member up to it."""

    def __init__(
        self,
        state: ReplicaState,
        transport: Transport,
        tasks: TaskSet,
        applier: Applier,
    ) -> None:
        """Lead nothing until :meth:`lead` is called."""
        self._state = state
        self._transport = transport
        self._tasks = tasks
        self._applier = applier
        self._snapshots = SnapshotSender(state, transport, applier)

    async def lead(self, term: int, store_by_id: dict[str, str]) -> None:
        """Begin a term that was won with the votes of these stores."""
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
            leading = Leading(term, state.log.last_index + 1)
            state.role = Role.LEADER
            state.leading = leading
            state.leader_id = state.my_id
            _log.info('This replica leads.', term=term)
            await self._write(leading, [entry])
        self._tasks.spawn(self._write_batches(leading))

    async def write_members(
        self, leading: Leading, members: LogMembers, expected: int
    ) -> int:
        """Put a change of members on the log and return its index.

        ``expected`` is the index of the members that ``members`` was made
        from, which must be committed: one change at a time.
        """
        # In a task of its own: a caller who hangs up must not cancel a sync.
        task = self._tasks.spawn(
            self._write_members(leading, members, expected)
        )
        await asyncio.wait((task,))
        if task.cancelled() or task.exception() is not None:
            raise UnknownOutcomeError(
                'This replica stopped during the change of members; read the '
                'status at another one.'
            )
        outcome = task.result()
        if isinstance(outcome, UnavailableError):
            raise outcome
        return outcome

    async def _write_members(
        self, leading: Leading, members: LogMembers, expected: int
    ) -> int | UnavailableError:
        state = self._state
        async with state.lock:
            if not state.leads(leading):
                return state.not_leader()
            current = state.log.members_index()
            if current != expected or current > state.commit_index:
                return UnavailableError(
                    'Another change of members is in progress; try again '
                    'once it is done.'
                )
            await self._write(leading, [_members_entry(members)])
            return state.log.members_index()

    async def _write_batches(self, leading: Leading) -> None:
        """Sync all proposals that wait together in one append."""
        state = self._state
        while state.leads(leading):
            if not leading.queue:
                await leading.work.wait()
                leading.work.clear()
                continue
            async with state.lock:
                if state.leads(leading):
                    await self._write_queue(leading)

    async def _write_queue(self, leading: Leading) -> None:
        entries: list[LogEntry] = []
        size = 0
        index = self._state.log.last_index
        while leading.queue and size < self._state.settings.batch_bytes:
            proposal = leading.queue.popleft()
            if proposal.future.done():
                continue
            index += 1
            proposal.appended = True
            self._applier.expect(index, leading.term, proposal)
            entries.append(LogEntry(command=proposal.command))
            size += len(proposal.command)
        if entries:
            await self._write(leading, entries)

    async def _write(self, leading: Leading, entries: list[LogEntry]) -> None:
        """Append in memory, tell the members, sync. The lock is held."""
        state = self._state
        index = state.log.last_index
        for entry in entries:
            index += 1
            entry.index = index
            entry.term = leading.term
        state.log.extend(entries)
        self._follow_members(leading)
        leading.wake()
        await state.storage.append(entries)
        leading.synced = max(leading.synced, index)
        self._advance(leading)

    def _follow_members(self, leading: Leading) -> None:
        """Run tasks for exactly the members that the log names."""
        state = self._state
        kept: dict[str, Progress] = {}
        for member in state.log.members().members:
            if member.node_id == state.my_id:
                continue
            progress = leading.progress_by_id.get(member.node_id)
            if progress is None:
                progress = Progress(
                    member, leading.first_index, state.clock.now()
                )
                self._tasks.spawn(self._replicate(leading, progress))
                self._tasks.spawn(self._beat(leading, progress))
            progress.member = member
            kept[member.node_id] = progress
        leading.progress_by_id = kept

    def _is_followed(self, leading: Leading, progress: Progress) -> bool:
        if not self._state.leads(leading):
            return False
        node_id = progress.member.node_id
        return leading.progress_by_id.get(node_id) is progress

    async def _beat(self, leading: Leading, progress: Progress) -> None:
        """Send heartbeats to one member for as long as the term lasts."""
        state = self._state
        while self._is_followed(leading, progress):
            sent = state.clock.now()
            try:
                await self._beat_once(leading, progress, sent)
            except UnavailableError:
                await asyncio.sleep(seconds(state.settings.heartbeat) / 2)
            rest = sent + state.settings.heartbeat - state.clock.now()
            await wait_event(progress.beat, max(1, rest))

    async def _beat_once(
        self, leading: Leading, progress: Progress, sent: int
    ) -> None:
        state = self._state
        commit = min(state.commit_index, progress.match_index)
        request = BeatRequest(
            head=self._head(leading, progress),
            round=leading.round,
            commit_index=commit,
        )
        reply = await self._transport.beat(
            membership.peer_of(progress.member),
            request,
            state.settings.election_timeout // 2,
        )
        if not await self._is_current(leading, progress, reply.head):
            return
        progress.heard = max(progress.heard, sent)
        progress.round = max(progress.round, reply.round)
        state.changed.notify_all()

    async def _replicate(self, leading: Leading, progress: Progress) -> None:
        """Send entries to one member for as long as the term lasts."""
        state = self._state
        while self._is_followed(leading, progress):
            if not self._has_work(progress):
                await progress.work.wait()
                progress.work.clear()
                continue
            try:
                sent = await self._replicate_once(leading, progress)
            except UnavailableError:
                sent = False
            if not sent:
                await wait_event(progress.work, state.settings.heartbeat)

    def _has_work(self, progress: Progress) -> bool:
        state = self._state
        if progress.next_index <= state.log.last_index:
            return True
        return progress.sent_commit < state.commit_index

    async def _replicate_once(
        self, leading: Leading, progress: Progress
    ) -> bool:
        """Send one batch or one snapshot; return False to wait a little."""
        state = self._state
        previous = progress.next_index - 1
        term = state.log.term_at(previous)
        if term is None:
            return await self._install(leading, progress)
        entries = state.log.after(previous, state.settings.batch_bytes)
        commit = state.commit_index
        request = AppendRequest(
            head=self._head(leading, progress),
            previous_index=previous,
            previous_term=term,
            entries=entries,
            commit_index=commit,
        )
        reply = await self._transport.append(
            membership.peer_of(progress.member),
            request,
            state.settings.election_timeout * _APPEND_TIMEOUTS,
        )
        if not await self._is_current(leading, progress, reply.head):
            return False
        if not reply.matched:
            # The hint never helps a member that is asked in vain again.
            progress.next_index = max(1, min(previous, reply.next_index))
            return True
        progress.sent_commit = max(progress.sent_commit, commit)
        progress.next_index = reply.match_index + 1
        if reply.match_index > progress.match_index:
            progress.match_index = reply.match_index
            self._advance(leading)
        return True

    async def _install(self, leading: Leading, progress: Progress) -> bool:
        head = self._head(leading, progress)
        sent = await self._snapshots.send(progress, head)
        if not await self._is_current(leading, progress, sent.reply.head):
            return False
        if not sent.reply.installed:
            return False
        progress.next_index = sent.snapshot_index + 1
        progress.match_index = max(progress.match_index, sent.snapshot_index)
        self._advance(leading)
        return True

    def _head(self, leading: Leading, progress: Progress) -> Envelope:
        head = self._state.head(progress.member.store_id)
        head.term = leading.term
        return head

    async def _is_current(
        self, leading: Leading, progress: Progress, head: Envelope
    ) -> bool:
        """Tell whether an answer counts for this term and this store."""
        state = self._state
        await state.saw_term(head.term)
        if not self._is_followed(leading, progress):
            return False
        if head.sender_store == progress.member.store_id:
            progress.replaced = False
            return head.term == leading.term
        if not progress.replaced:
            _log.error(
                'A member answers from another data folder; remove it and '
                'add it again as a new member.',
                member=progress.member.node_id,
            )
        progress.replaced = True
        return False

    def _advance(self, leading: Leading) -> None:
        """Commit what a quorum has synced, in this leader's own term."""
        state = self._state
        if not state.leads(leading):
            return
        synced_by_id = {state.my_id: leading.synced}
        for node_id, progress in leading.progress_by_id.items():
            synced_by_id[node_id] = progress.match_index
        index = _quorum_index(state.log.members(), synced_by_id)
        # An older term's entry is never committed by counting copies (5.4.2).
        if state.log.term_at(index) == leading.term:
            state.commit_to(index)
            leading.wake()
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
    state: ReplicaState, leading: Leading, command: bytes
) -> Proposal:
    """Put a command into the queue for the log, or refuse it."""
    if len(leading.queue) >= state.settings.queue_limit:
        raise UnavailableError(
            'Too many changes wait for the log; try again in a moment.'
        )
    proposal = Proposal(command)
    leading.queue.append(proposal)
    leading.work.set()
    return proposal
