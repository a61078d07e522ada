"""The follower: handles entries and heartbeats from the leader.

Follows Raft (Ongaro and Ousterhout 2014, section 5.3).
"""

from collections.abc import Callable

from verbenathread.consensus.state import ReplicaState
from verbenathread.exceptions import StorageError
from verbenathread.observability.logs import get_logger
from verbenathread.schema.consensus_pb2 import (
    AppendReply,
    AppendRequest,
    BeatReply,
    BeatRequest,
    Envelope,
    LogEntry,
)

_log = get_logger('consensus')


class Follower:
    """Handles messages of the leader, and syncs entries before confirming."""

    def __init__(
        self, state: ReplicaState, on_replaced: Callable[[int], None]
    ) -> None:
        """Call ``on_replaced`` with the index after the entries of an append."""
        self._state = state
        self._on_replaced = on_replaced
        self._warned = False

    async def append(self, request: AppendRequest) -> AppendReply:
        """Append entries whose predecessor matches this log."""
        state = self._state
        if not self.accepts(request.head):
            return AppendReply(head=state.envelope())
        async with state.lock:
            if not await self.follow_sender(request.head):
                return AppendReply(head=state.envelope())
            return await self._append(request)

    async def beat(self, request: BeatRequest) -> BeatReply:
        """Handle a heartbeat; only a newer term requires a sync."""
        state = self._state
        head = request.head
        if not self.accepts(head):
            return BeatReply(head=state.envelope())
        if head.term > state.term:
            async with state.lock:
                await self.follow_sender(head)
        if head.term == state.term:
            self._record_leader(head)
            state.commit_to(min(request.commit_index, state.log.last_index))
        return BeatReply(head=state.envelope(), round=request.round)

    def accepts(self, head: Envelope) -> bool:
        """Return whether to process a message, recording leader contact."""
        state = self._state
        if not state.is_addressed_here(head):
            if not self._warned:
                _log.error(
                    'The group has this node on record with another data '
                    'folder. Restore that folder, or remove the node from '
                    'the group and add it again as a new member.'
                )
            self._warned = True
            return False
        if head.term == state.term:
            self._record_leader(head)
        return True

    async def follow_sender(self, head: Envelope) -> bool:
        """Follow the sender unless its term is stale. Needs the lock."""
        state = self._state
        await state.enter_term(head.term)
        if head.term < state.term:
            return False
        self._record_leader(head)
        return True

    def _record_leader(self, head: Envelope) -> None:
        state = self._state
        if state.leadership is not None:
            return
        if state.leader_id != head.sender:
            state.become_follower(head.sender)
        state.election.record_leader_contact()

    async def _append(self, request: AppendRequest) -> AppendReply:
        state = self._state
        previous = request.previous_index
        if not self._matches_previous(request):
            return AppendReply(
                head=state.envelope(), next_index=self._conflict_index(previous)
            )
        missing = self._missing_entries(request)
        if missing:
            await state.storage.append(missing)
            # Fail proposals behind the new entries. Those at the new indexes
            # are completed when the entries are applied.
            self._on_replaced(missing[0].index + len(missing))
            state.log.extend(missing)
        match_index = previous + len(request.entries)
        state.commit_to(min(request.commit_index, match_index))
        return AppendReply(
            head=state.envelope(), matched=True, match_index=match_index
        )

    def _matches_previous(self, request: AppendRequest) -> bool:
        """Return whether this log has the entry that precedes the new ones."""
        log = self._state.log
        if request.previous_index < log.base_index:
            # Entries before the base are committed, so they match everywhere.
            return True
        return log.term_at(request.previous_index) == request.previous_term

    def _conflict_index(self, previous: int) -> int:
        """Return the first index of the conflicting term, as a hint."""
        log = self._state.log
        if previous > log.last_index:
            return log.last_index + 1
        index = previous
        term = log.term_at(index)
        while index > self._state.commit_index + 1:
            if log.term_at(index - 1) != term:
                break
            index -= 1
        return index

    def _missing_entries(self, request: AppendRequest) -> list[LogEntry]:
        """Return the entries from the first missing or conflicting one on."""
        state = self._state
        entries = list(request.entries)
        for position, entry in enumerate(entries):
            if entry.index <= state.log.base_index:
                continue
            if state.log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= state.commit_index:
                raise StorageError(
                    f'Entry {entry.index} is committed here, but the leader '
                    'has a different one; stop this replica, keep its data '
                    'folder and replace it with a new member.'
                )
            return entries[position:]
        return []
