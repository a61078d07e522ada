"""The audit trail: who changed what, when, and what was refused.

Limited by the count and the bytes of its records; the oldest are dropped
first. A refused text is recorded only by its hash, since it may hold a secret.
"""

from collections import deque
from collections.abc import Iterable, Iterator

from verbenathread.schema import control_pb2
from verbenathread.settings.tree import covers

MAX_RECORDS = 10_000
MAX_BYTES = 16_777_216
ACCEPTED = 'accepted'


class AuditTrail:
    """Audit records in log order."""

    def __init__(
        self, max_records: int = MAX_RECORDS, max_bytes: int = MAX_BYTES
    ) -> None:
        """Keep at most ``max_records`` records and ``max_bytes`` bytes."""
        self._max_records = max_records
        self._max_bytes = max_bytes
        self._records: deque[control_pb2.AuditRecord] = deque()
        self._bytes = 0

    def __len__(self) -> int:
        """Return how many records are kept."""
        return len(self._records)

    def add(self, record: control_pb2.AuditRecord) -> None:
        """Append a record and drop the oldest ones over the limits."""
        self._records.append(record)
        self._bytes += record.ByteSize()
        while len(self._records) > self._max_records or self._over_bytes():
            self._bytes -= self._records.popleft().ByteSize()

    def after(
        self, index: int, limit: int, path: str = ''
    ) -> list[control_pb2.AuditRecord]:
        """Return up to ``limit`` records after ``index``, oldest first.

        Index 0 returns the newest ones.
        """
        if not index:
            return self._newest(limit, path)
        found: list[control_pb2.AuditRecord] = []
        for record in self._records:
            if len(found) >= limit:
                break
            if record.index <= index or not _is_under(record, path):
                continue
            found.append(record)
        return found

    def history(self, path: str, limit: int) -> list[control_pb2.AuditRecord]:
        """Return the last accepted changes of one branch, newest first."""
        found: list[control_pb2.AuditRecord] = []
        for record in reversed(self._records):
            if len(found) >= limit:
                break
            if record.subject == path and record.result == ACCEPTED:
                found.append(record)
        return found

    def images(self) -> Iterator[control_pb2.AuditRecord]:
        """Yield the records for a snapshot, oldest first."""
        yield from self._records

    def load(self, images: Iterable[control_pb2.AuditRecord]) -> None:
        """Replace the records by the content of a snapshot."""
        self._records = deque(images)
        self._bytes = sum(record.ByteSize() for record in self._records)

    def _over_bytes(self) -> bool:
        return self._bytes > self._max_bytes and len(self._records) > 1

    def _newest(self, limit: int, path: str) -> list[control_pb2.AuditRecord]:
        """Return the last ``limit`` records, oldest first."""
        found: list[control_pb2.AuditRecord] = []
        for record in reversed(self._records):
            if len(found) >= limit:
                break
            if _is_under(record, path):
                found.append(record)
        found.reverse()
        return found


def _is_under(record: control_pb2.AuditRecord, path: str) -> bool:
    return not path or covers(path, record.subject)
