"""What a replica does while its disk takes no more bytes.

A write then waits for space under the lock. The replica goes on answering
heartbeats of its term, but it votes for nobody and takes no entries.
"""

from verbenathread.consensus.changes import MembershipChanges
from verbenathread.consensus.state import ReplicaState
from verbenathread.consensus.waiting import TaskSet
from verbenathread.exceptions import UnavailableError
from verbenathread.observability.logs import get_logger

_log = get_logger('consensus')


class FullDiskGuard:
    """Hands leadership over and refuses calls that would write."""

    def __init__(
        self, state: ReplicaState, changes: MembershipChanges, tasks: TaskSet
    ) -> None:
        """Watch the storage of ``state``."""
        self._state = state
        self._changes = changes
        self._tasks = tasks
        state.storage.set_on_full(self._on_full)

    def require_space(self) -> None:
        """Raise UnavailableError while a write waits for space.

        Calls that write would wait behind it, more and more of them.
        """
        if self._state.storage.is_full():
            raise UnavailableError(
                'The disk of this replica is full; call another one.'
            )

    def _on_full(self) -> None:
        if self._state.leadership is not None:
            self._tasks.spawn(self._yield_leadership())

    async def _yield_leadership(self) -> None:
        """Give leadership up, as no change can be written here."""
        state = self._state
        leadership = state.leadership
        await self._changes.transfer_leadership(state.settings.election_timeout)
        if leadership is not None and state.still_leads(leadership):
            _log.warning('No successor was found; this replica steps down.')
            state.become_follower('')
            state.election.restart()
