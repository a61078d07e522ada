"""Limits on what is received, by connection and for all of them together.

Limits on one response or one body do not bound the process: a faulty worker
may get hundreds of requests at the same time.
"""

from typing import NamedTuple, Protocol

from verbenathread.observability.logs import get_logger

_log = get_logger('memory')


class ResponseLimits(NamedTuple):
    """Limits on what an upstream may send in one exchange, in bytes."""

    # Memory for all that is no body: status lines, headers, interim responses,
    # chunk extensions and trailers.
    head_bytes: int = 0x10000
    # Bodies of responses that the sink does not accept.
    skipped_bytes: int = 0x40000


DEFAULT_LIMITS = ResponseLimits()


class Holder(Protocol):
    """Holds bytes that it can do without."""

    def give_way(self) -> None:
        """Release what is held, as others need the memory."""


class MemoryBudget:
    """The bytes that all holders of one kind hold together."""

    def __init__(self, limit_bytes: int) -> None:
        """Hold at most ``limit_bytes``."""
        self._limit_bytes = limit_bytes
        self.used_bytes = 0
        self._size_by_holder: dict[Holder, int] = {}

    def hold(self, holder: Holder, size: int) -> None:
        """Record that ``holder`` holds ``size`` bytes now.

        The largest holder gives way if all of them hold too much.
        """
        previous = self._size_by_holder.pop(holder, 0)
        if size:
            self._size_by_holder[holder] = size
        self.used_bytes += size - previous
        while self.used_bytes > self._limit_bytes:
            self._release_largest()

    def release(self, holder: Holder) -> None:
        """Record that ``holder`` holds nothing any more."""
        self.used_bytes -= self._size_by_holder.pop(holder, 0)

    def _release_largest(self) -> None:
        holder = max(self._size_by_holder, key=self._size_by_holder.__getitem__)
        _log.warning(
            'Too much is held in memory; the largest holder gives way.',
            used_bytes=self.used_bytes,
            limit_bytes=self._limit_bytes,
            released_bytes=self._size_by_holder[holder],
        )
        # Released here too, so that this ends whatever the holder does.
        self.release(holder)
        holder.give_way()
