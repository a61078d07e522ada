"""Stores the replies to operations, so that a retry gets the first reply.

The table is limited by count and by age. The age is measured in the wall time
that commands carry, so every replica evicts the same operations.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable

from google.protobuf.message import Message

from verbenathread.schema import commands_pb2

MAX_OPERATIONS = 10_000
MAX_AGE_MS = 172_800_000  # two days


def digest_of(request: Message) -> str:
    """Return the SHA-256 over the content of a request."""
    return hashlib.sha256(
        request.SerializeToString(deterministic=True)
    ).hexdigest()


class OperationTable:
    """Replies by operation id, oldest first."""

    def __init__(self, max_operations: int = MAX_OPERATIONS) -> None:
        """Keep at most ``max_operations`` replies."""
        self._max_operations = max_operations
        self._image_by_id: OrderedDict[str, commands_pb2.OperationImage] = (
            OrderedDict()
        )

    def __len__(self) -> int:
        """Return how many replies are stored."""
        return len(self._image_by_id)

    def get(self, operation_id: str) -> commands_pb2.OperationImage | None:
        """Return the record of one operation, or None."""
        return self._image_by_id.get(operation_id)

    def record(
        self, operation_id: str, digest: str, reply: bytes, now: int
    ) -> None:
        """Store the reply to an operation decided at wall time ``now``."""
        self._image_by_id[operation_id] = commands_pb2.OperationImage(
            operation_id=operation_id,
            digest=digest,
            reply=reply,
            time_ms=now,
        )
        self._evict(now)

    def images(self) -> Iterable[commands_pb2.OperationImage]:
        """Return the records for a snapshot, oldest first."""
        return self._image_by_id.values()

    def load(self, images: Iterable[commands_pb2.OperationImage]) -> None:
        """Replace the table by the content of a snapshot."""
        self._image_by_id = OrderedDict(
            (image.operation_id, image) for image in images
        )

    def _evict(self, now: int) -> None:
        while self._image_by_id:
            oldest = next(iter(self._image_by_id.values()))
            unexpired = oldest.time_ms + MAX_AGE_MS >= now
            if unexpired and len(self._image_by_id) <= self._max_operations:
                return
            self._image_by_id.popitem(last=False)
