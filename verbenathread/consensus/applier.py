"""Applies what is committed, in order, and answers those who wait for it."""

from verbenathread.consensus.machine import Applied, StateMachine
from verbenathread.consensus.state import Proposal, ReplicaState
from verbenathread.exceptions import UnknownOutcomeError
from verbenathread.schema.consensus_pb2 import (
    ENTRY_COMMAND,
    LogEntry,
    LogSnapshot,
)


class Applier:
    """Drives the state machine up to the commit index."""

    def __init__(self, state: ReplicaState, machine: StateMachine) -> None:
        """Apply to ``machine``, which is empty or restored."""
        self._state = state
        self._machine = machine
        self.applied_index = 0
        # The proposals put on the log here, with the term they were put in.
        self._expected_by_index: dict[int, tuple[int, Proposal]] = {}

    def expect(self, index: int, term: int, proposal: Proposal) -> None:
        """Answer ``proposal`` when its index is applied."""
        _, replaced = self._expected_by_index.pop(index, (0, None))
        if replaced is not None:
            replaced.fail(_unknown())
        self._expected_by_index[index] = (term, proposal)

    def is_idle(self) -> bool:
        """Tell whether nobody waits for an answer."""
        return not self._expected_by_index

    def make_snapshot(self) -> LogSnapshot:
        """Return the state as applied now."""
        log = self._state.log
        index = self.applied_index
        return LogSnapshot(
            index=index,
            term=log.term_at(index),
            members=log.members_at(index),
            image=self._machine.snapshot(),
        )

    def restore(self, snapshot: LogSnapshot) -> None:
        """Take over a snapshot that replaces the whole log."""
        self._machine.restore(snapshot.image)
        self.applied_index = snapshot.index
        self.abandon_from(0)
        self._state.changed.notify_all()

    async def run(self) -> None:
        """Apply whatever becomes committed, for ever."""
        state = self._state
        running = True
        while running:
            await state.changed.wait_for(self._has_work)
            while self._has_work():
                self._apply_next()
            state.changed.notify_all()
            await self._take_snapshot()

    def abandon_from(self, first: int) -> None:
        """Tell whoever waits for ``first`` or later: the outcome is unknown.

        Their entries left this log; another replica may still hold them.
        """
        for index in tuple(self._expected_by_index):
            if index >= first:
                _, proposal = self._expected_by_index.pop(index)
                proposal.fail(_unknown())

    def _has_work(self) -> bool:
        return self._state.commit_index > self.applied_index

    def _apply_next(self) -> None:
        index = self.applied_index + 1
        entry = self._state.log.entry(index)
        result = b''
        if entry.kind == ENTRY_COMMAND:
            result = self._machine.apply(index, entry.command)
        self.applied_index = index
        self._answer(entry, result)

    def _answer(self, entry: LogEntry, result: bytes) -> None:
        term, proposal = self._expected_by_index.pop(entry.index, (0, None))
        if proposal is None:
            return
        if term != entry.term:
            # Another leader's entry took the place: ours is gone for good.
            proposal.fail(self._state.not_leader())
            return
        if not proposal.future.done():
            proposal.future.set_result(Applied(entry.index, result))

    async def _take_snapshot(self) -> None:
        """Snapshot once enough was applied; keep some entries behind it."""
        state = self._state
        wanted = state.settings.snapshot_records
        if self.applied_index - state.log.base_index < 2 * wanted:
            return
        async with state.lock:
            snapshot = self.make_snapshot()
            keep_after = snapshot.index - wanted
            await state.storage.compact(snapshot, keep_after)
            state.log.forget_members_before(snapshot.index)
            state.log.drop_to(keep_after)


def _unknown() -> UnknownOutcomeError:
    return UnknownOutcomeError(
        'The change may or may not have been accepted; read it back, or send '
        'it again under the same operation identifier.'
    )
