"""Answers of operations that were decided, so that a resend gets the first.

The table is bounded by count and by age; the age is counted in the wall time
that commands carry, so every replica forgets the same operations.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable

from google.protobuf.message import Message

from verbenathread.schema import commands_pb2

MOST_OPERATIONS = 10_000
LONGEST_AGE = 172_800_000  # ms; two days


def digest_of(request: Message) -> str:
    """Return the SHA-256 over the content of a request."""
    return hashlib.sha256(
        request.SerializeToString(deterministic=True)
    ).hexdigest()


class OperationTable:
    """Remembered answers by operation id, oldest first."""

    def __init__(self, most: int = MOST_OPERATIONS) -> None:
        """Keep at most ``most`` answers."""
        self._most = most
        self._image_by_id: OrderedDict[str, commands_pb2.OperationImage] = (
            OrderedDict()
        )

    def __len__(self) -> int:
        """Return how many answers are remembered."""
        return len(self._image_by_id)

    def get(self, operation_id: str) -> commands_pb2.OperationImage | None:
        """Return what was answered to one operation, or None."""
        return self._image_by_id.get(operation_id)

    def remember(
        self, operation_id: str, digest: str, reply: bytes, now: int
    ) -> None:
        """Keep the answer of an operation decided at wall time ``now``."""
        self._image_by_id[operation_id] = commands_pb2.OperationImage(
            operation_id=operation_id,
            digest=digest,
            reply=reply,
            time_ms=now,
        )
        self._forget(now)

    def images(self) -> Iterable[commands_pb2.OperationImage]:
        """Return the answers for a snapshot, oldest first."""
        return self._image_by_id.values()

    def load(self, images: Iterable[commands_pb2.OperationImage]) -> None:
        """Replace the answers by what a snapshot holds."""
        self._image_by_id = OrderedDict(
            (image.operation_id, image) for image in images
        )

    def _forget(self, now: int) -> None:
        while self._image_by_id:
            oldest = next(iter(self._image_by_id.values()))
            young = oldest.time_ms + LONGEST_AGE >= now
            if young and len(self._image_by_id) <= self._most:
                return
            self._image_by_id.popitem(last=False)
