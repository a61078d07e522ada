"""What a replica needs of its disk."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from verbenathread.schema import consensus_pb2


class Ballot(NamedTuple):
    """The current term and the candidate that got this replica's vote."""

    term: int = 0
    vote: str = ''


class SavedState(NamedTuple):
    """What a replica finds on its disk when it starts."""

    store_id: str
    ballot: Ballot
    # The log holds entries after this one; its term tells it apart.
    base_index: int
    base_term: int
    entries: list[consensus_pb2.LogEntry]
    snapshot: consensus_pb2.LogSnapshot | None


class Storage(Protocol):
    """Durable state of one replica.

    Each coroutine returns only once its effect is synced. After any error
    the content is unknown, and the replica that sees one stops.
    """

    async def load(self, cluster: str, node_id: str) -> SavedState:
        """Return what was saved, or a new store with a random store id."""

    async def save_ballot(self, ballot: Ballot) -> None:
        """Save the term and the vote."""

    async def append(self, entries: Sequence[consensus_pb2.LogEntry]) -> None:
        """Add entries; what stood at their indexes and after is replaced."""

    async def compact(
        self, snapshot: consensus_pb2.LogSnapshot, keep_after: int
    ) -> None:
        """Save a snapshot and drop whole segments up to ``keep_after``."""

    async def reset(self, snapshot: consensus_pb2.LogSnapshot) -> None:
        """Save a snapshot and begin an empty log after it."""

    def sync_count(self) -> int:
        """Return how many syncs were made since the start."""

    def close(self) -> None:
        """Let go of the files."""
