"""The log as the records of its segment files tell it."""

from verbenathread.consensus.storage import Ballot
from verbenathread.schema.consensus_pb2 import (
    DiskRecord,
    LogEntry,
    SegmentHead,
)


class Segment:
    """One segment file."""

    def __init__(self, number: int, length: int) -> None:
        """Hold ``length`` bytes of whole records."""
        self.number = number
        self.length = length
        # Highest index of any entry in it.
        self.last_index = 0


class Replay:
    """The log that results from records taken one after another."""

    def __init__(self) -> None:
        """Start with an empty log and no vote."""
        self.ballot = Ballot()
        self.base_index = 0
        self.base_term = 0
        self.entries: list[LogEntry] = []
        self.last_index = 0
        self.last_term = 0

    def apply(self, record: DiskRecord, segment: Segment) -> bool:
        """Take one record; False when entries before it are missing."""
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
        """Note where the log ends."""
        self.last_index = index
        self.last_term = term

    def reset(self, index: int, term: int) -> None:
        """Begin an empty log after ``index``."""
        self.base_index = index
        self.base_term = term
        self.entries.clear()
        self.set_end(index, term)

    def term_at(self, index: int) -> int | None:
        """Return the term at an index, None when it is not held."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def has_content(self) -> bool:
        """Return whether anything was saved."""
        return self.last_index > 0 or self.ballot.term > 0

    def _apply_head(self, head: SegmentHead) -> None:
        """Go on where the segment begins, else begin an empty log there."""
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
