"""Applies committed entries in order and completes their proposals."""

from verbenathread.consensus.machine import Applied, StateMachine
from verbenathread.consensus.state import Proposal, ReplicaState
from verbenathread.exceptions import DiskFullError, UnknownOutcomeError
from verbenathread.observability.logs import get_logger
from verbenathread.schema.consensus_pb2 import (
    ENTRY_COMMAND,
    LogEntry,
    LogSnapshot,
)

_log = get_logger('consensus')


class Applier:
    """Advances the state machine to the commit index."""

    def __init__(self, state: ReplicaState, machine: StateMachine) -> None:
        """Apply to ``machine``, which is empty or restored."""
        self._state = state
        self._machine = machine
        self.applied_index = 0
        # Proposals appended by this replica, with the term of their entry.
        self._pending_by_index: dict[int, tuple[int, Proposal]] = {}

    def register(self, index: int, term: int, proposal: Proposal) -> None:
        """Complete ``proposal`` when its index is applied."""
        _, replaced = self._pending_by_index.pop(index, (0, None))
        if replaced is not None:
            replaced.fail(_unknown_outcome())
        self._pending_by_index[index] = (term, proposal)

    def is_idle(self) -> bool:
        """Return whether no proposal is pending."""
        return not self._pending_by_index

    def make_snapshot(self) -> LogSnapshot:
        """Return a snapshot at the current applied index."""
        log = self._state.log
        index = self.applied_index
        return LogSnapshot(
            index=index,
            term=log.term_at(index),
            members=log.members_at(index),
            image=self._machine.snapshot(),
        )

    def restore(self, snapshot: LogSnapshot) -> None:
        """Restore a snapshot that replaces the whole log."""
        self._machine.restore(snapshot.image)
        self.applied_index = snapshot.index
        self.fail_pending_from(0)
        self._state.changed.notify_all()

    async def run(self) -> None:
        """Apply entries as they become committed, forever."""
        state = self._state
        running = True
        while running:
            await state.changed.wait_for(self._has_work)
            while self._has_work():
                self._apply_next()
            state.changed.notify_all()
            await self._compact_log()

    def fail_pending_from(self, first: int) -> None:
        """Fail proposals at index ``first`` and later with an unknown outcome.

        Their entries left this log, but another replica may still have them.
        """
        for index in tuple(self._pending_by_index):
            if index >= first:
                _, proposal = self._pending_by_index.pop(index)
                proposal.fail(_unknown_outcome())

    def _has_work(self) -> bool:
        return self._state.commit_index > self.applied_index

    def _apply_next(self) -> None:
        index = self.applied_index + 1
        entry = self._state.log.entry(index)
        result = b''
        if entry.kind == ENTRY_COMMAND:
            result = self._machine.apply(index, entry.command)
        self.applied_index = index
        self._complete_proposal(entry, result)

    def _complete_proposal(self, entry: LogEntry, result: bytes) -> None:
        term, proposal = self._pending_by_index.pop(entry.index, (0, None))
        if proposal is None:
            return
        if term != entry.term:
            # Another leader's entry was committed at this index, so the
            # proposal can no longer be.
            proposal.fail(self._state.not_leader_error())
            return
        if not proposal.future.done():
            proposal.future.set_result(Applied(entry.index, result))

    async def _compact_log(self) -> None:
        """Take a snapshot when due, keeping some entries before it."""
        state = self._state
        kept_records = state.settings.snapshot_records
        if self.applied_index - state.log.base_index < 2 * kept_records:
            return
        async with state.lock:
            snapshot = self.make_snapshot()
            keep_after = snapshot.index - kept_records
            try:
                await state.storage.compact(snapshot, keep_after)
            except DiskFullError as error:
                _log.warning('The log was not compacted.', reason=str(error))
                return
            state.log.prune_members(snapshot.index)
            state.log.truncate_prefix(keep_after)


def _unknown_outcome() -> UnknownOutcomeError:
    return UnknownOutcomeError(
        'The change may or may not have been accepted; read it back, or send '
        'it again under the same operation identifier.'
    )
