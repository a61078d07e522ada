"""In-memory log: entries after a base index, and membership changes."""

from collections.abc import Sequence

from verbenathread.schema.consensus_pb2 import (
    ENTRY_MEMBERS,
    LogEntry,
    LogMembers,
    LogSnapshot,
)


class Log:
    """Entries from ``base_index + 1`` on, and the members at each index."""

    def __init__(self) -> None:
        """Start empty."""
        self.base_index = 0
        self.base_term = 0
        self._entries: list[LogEntry] = []
        # Pairs of index and the members set there, in ascending order.
        self._members: list[tuple[int, LogMembers]] = [(0, LogMembers())]

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def load(self, base: tuple[int, int], entries: Sequence[LogEntry]) -> None:
        """Replace all entries; ``base`` is the index and term before them."""
        index, term = base
        self.base_index = index
        self.base_term = term
        self._entries = list(entries)

    def load_members(self, index: int, members: LogMembers) -> None:
        """Set the members at ``index`` and collect later changes."""
        self._members = [(index, members)]
        for entry in self.entries_after(index):
            self._record_members(entry)

    def term_at(self, index: int) -> int | None:
        """Return the term at an index, or None if it is not in the log."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entry(index).term
        return None

    def entry(self, index: int) -> LogEntry:
        """Return the entry at an index, which must be in the log."""
        return self._entries[index - self.base_index - 1]

    def entries_after(
        self, index: int, most_bytes: int | None = None
    ) -> list[LogEntry]:
        """Return entries after ``index``, up to ``most_bytes``.

        At least one entry is returned if there is any.
        """
        start = max(0, index - self.base_index)
        if most_bytes is None:
            return self._entries[start:]
        size = 0
        stop = start
        while stop < len(self._entries):
            size += self._entries[stop].ByteSize()
            if size > most_bytes and stop > start:
                break
            stop += 1
        return self._entries[start:stop]

    def extend(self, entries: Sequence[LogEntry]) -> None:
        """Append entries, replacing all from the first new index on."""
        if not entries:
            return
        self._truncate_suffix(entries[0].index)
        for entry in entries:
            self._entries.append(entry)
            self._record_members(entry)

    def truncate_prefix(self, index: int) -> None:
        """Discard entries up to and including ``index``."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        if term is None:
            return
        self._entries = self._entries[index - self.base_index :]
        self.base_index = index
        self.base_term = term

    def reset(self, snapshot: LogSnapshot) -> None:
        """Start an empty log after a snapshot."""
        self.load((snapshot.index, snapshot.term), ())
        self.load_members(snapshot.index, snapshot.members)

    def members(self) -> LogMembers:
        """Return the latest members, whether or not they are committed."""
        return self._members[-1][1]

    def members_index(self) -> int:
        """Return the index at which the latest members were set."""
        return self._members[-1][0]

    def members_at(self, index: int) -> LogMembers:
        """Return the members in force at an index."""
        return self._members_set_by(index)[1]

    def prune_members(self, index: int) -> None:
        """Discard changes that were superseded before ``index``."""
        current = self._members_set_by(index)
        later = [pair for pair in self._members if pair[0] > index]
        self._members = [current, *later]

    def _members_set_by(self, index: int) -> tuple[int, LogMembers]:
        found = self._members[0]
        for pair in self._members:
            if pair[0] <= index:
                found = pair
        return found

    def _truncate_suffix(self, index: int) -> None:
        keep = max(0, index - self.base_index - 1)
        if keep < len(self._entries):
            self._entries = self._entries[:keep]
        while len(self._members) > 1 and self.members_index() >= index:
            self._members.pop()

    def _record_members(self, entry: LogEntry) -> None:
        if entry.kind == ENTRY_MEMBERS:
            self._members.append((entry.index, entry.members))
