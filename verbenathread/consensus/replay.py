"""Reconstruction of the log from the records of its segment files."""

from verbenathread.consensus.storage import Ballot
from verbenathread.schema.consensus_pb2 import (
    DiskRecord,
    LogEntry,
    SegmentHead,
)


class Segment:
    """Metadata of one segment file."""

    def __init__(self, number: int, length: int) -> None:
        """Describe a segment with ``length`` bytes of valid records."""
        self.number = number
        self.length = length
        # Highest index of any entry in the segment.
        self.last_index = 0


class Replay:
    """The log that results from applying records in order."""

    def __init__(self) -> None:
        """Start with an empty log and no vote."""
        self.ballot = Ballot()
        self.base_index = 0
        self.base_term = 0
        self.entries: list[LogEntry] = []
        self.last_index = 0
        self.last_term = 0

    def apply(self, record: DiskRecord, segment: Segment) -> bool:
        """Apply one record; return False if entries before it are missing."""
        if record.HasField('ballot'):
            self.ballot = Ballot(record.ballot.term, record.ballot.vote)
        if record.HasField('segment'):
            self._apply_head(record.segment)
        for entry in record.entries:
            if not self.base_index < entry.index <= self.last_index + 1:
                return False
            self._replace_from(entry)
            self.set_end(entry.index, entry.term)
            segment.last_index = max(segment.last_index, entry.index)
        return True

    def set_end(self, index: int, term: int) -> None:
        """Set the index and term of the last entry."""
        self.last_index = index
        self.last_term = term

    def reset(self, index: int, term: int) -> None:
        """Start an empty log after ``index``."""
        self.base_index = index
        self.base_term = term
        self.entries.clear()
        self.set_end(index, term)

    def term_at(self, index: int) -> int | None:
        """Return the term at an index, or None if it is not in the log."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def has_content(self) -> bool:
        """Return whether any entry or vote was saved."""
        return self.last_index > 0 or self.ballot.term > 0

    def _apply_head(self, head: SegmentHead) -> None:
        """Start an empty log if the segment does not continue this one."""
        if (head.base_index, head.base_term) != (
            self.last_index,
            self.last_term,
        ):
            self.reset(head.base_index, head.base_term)

    def _replace_from(self, entry: LogEntry) -> None:
        position = entry.index - self.base_index - 1
        if position < len(self.entries):
            self.entries = self.entries[:position]
        self.entries.append(entry)
