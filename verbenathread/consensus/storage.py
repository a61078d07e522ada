"""Interface of the durable storage of a replica."""

from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from verbenathread.schema import consensus_pb2


class Ballot(NamedTuple):
    """The current term and the candidate that received the vote in it."""

    term: int = 0
    vote: str = ''


class SavedState(NamedTuple):
    """State that a replica loads from disk at startup."""

    store_id: str
    ballot: Ballot
    # The entry that precedes the first one in the log.
    base_index: int
    base_term: int
    entries: list[consensus_pb2.LogEntry]
    snapshot: consensus_pb2.LogSnapshot | None


class Storage(Protocol):
    """Durable state of one replica.

    Each coroutine returns only once its effect is synced, and waits while the
    disk is full. After any other error the content is unknown and the replica
    must stop.
    """

    async def load(self, cluster: str, node_id: str) -> SavedState:
        """Return the saved state, or a new store with a random store id."""

    async def save_ballot(self, ballot: Ballot) -> None:
        """Save the term and the vote."""

    async def append(self, entries: Sequence[consensus_pb2.LogEntry]) -> None:
        """Append entries, replacing all from the first new index on."""

    async def compact(
        self, snapshot: consensus_pb2.LogSnapshot, keep_after: int
    ) -> None:
        """Save a snapshot and remove whole segments up to ``keep_after``.

        Raises DiskFullError, with the log as it was, if there is no space.
        """

    async def reset(self, snapshot: consensus_pb2.LogSnapshot) -> None:
        """Save a snapshot and start an empty log after it."""

    def is_full(self) -> bool:
        """Return whether a write waits for space on the disk."""

    def set_on_full(self, on_full: Callable[[], None]) -> None:
        """Call ``on_full`` whenever a write begins to wait for space."""

    def sync_count(self) -> int:
        """Return the number of syncs since the start."""

    def close(self) -> None:
        """Close the files."""
