"""The queue of one engine: priority levels and fair queueing."""

from collections.abc import Iterator
from typing import NamedTuple

from verbenathread.scheduling.estimates import PrefillCost
from verbenathread.scheduling.length_classes import length_class, priority_level
from verbenathread.scheduling.messages import ReservationRequest
from verbenathread.scheduling.tuning import Tuning
from verbenathread.schema import settings_pb2
from verbenathread.types import LengthClass, Millis


class QueuedRequest(NamedTuple):
    """A reservation request in the queue."""

    request: ReservationRequest
    length: LengthClass
    # Expected time of prefill.
    prefill_ms: float
    queued_at: Millis
    # Priority level; lower is more urgent, here and at the engine.
    level: int = 0
    # Expected time of generation.
    output_ms: float = 0
    # Virtual finish time in fair queueing; lower goes first.
    virtual_finish: float = 0


def make_queued_request(
    request: ReservationRequest,
    cost: PrefillCost,
    policy: settings_pb2.PolicySettings,
    tuning: Tuning,
    now: Millis,
) -> QueuedRequest:
    """Return the queued form of a request that arrives now."""
    prefill = cost.prefill(request.work.prompt_tokens)
    if request.group:
        prefill /= len(request.group)
    length = length_class(request.work.prompt_tokens, policy)
    level = int(length)
    if tuning.size_priority:
        level = priority_level(request.work.prompt_tokens, policy)
    if not tuning.class_priority:
        level = 0
    output = cost.output(request.work.expected_output_tokens)
    return QueuedRequest(request, length, prefill, now, level, output)


def queue_key(queued: QueuedRequest) -> tuple[int, float, Millis, str]:
    """Return the sort key of a queued request; lower goes first."""
    level = queued.level
    return (
        level,
        queued.virtual_finish,
        queued.queued_at,
        queued.request.attempt_id,
    )


class RequestQueue:
    """Reservation requests in the order in which they are granted.

    Lower levels go first. Within a level, accounts share by weight through
    self-clocked fair queueing (Golestani 1994) if ``tuning`` enables it.
    """

    def __init__(self, tuning: Tuning) -> None:
        """Start empty."""
        self._tuning = tuning
        self._by_attempt: dict[str, QueuedRequest] = {}
        self._finish_by_account: dict[str, float] = {}
        self._virtual_time: float = 0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._by_attempt)

    def __iter__(self) -> Iterator[QueuedRequest]:
        """Iterate over the queue in the order of arrival."""
        return iter(self._by_attempt.values())

    def get(self, attempt_id: str) -> QueuedRequest | None:
        """Return the queued request of an attempt, or None."""
        return self._by_attempt.get(attempt_id)

    def with_virtual_finish(self, queued: QueuedRequest) -> QueuedRequest:
        """Return the request with the virtual finish time it would get now."""
        if not self._tuning.fair_queueing:
            return queued
        account = queued.request.work.account
        start = max(self._virtual_time, self._finish_by_account.get(account, 0))
        finish = start + queued.prefill_ms / queued.request.weight
        return queued._replace(virtual_finish=finish)

    def add(self, queued: QueuedRequest) -> None:
        """Add a request whose virtual finish time is set."""
        account = queued.request.work.account
        self._finish_by_account[account] = queued.virtual_finish
        self._by_attempt[queued.request.attempt_id] = queued

    def remove(self, attempt_id: str) -> QueuedRequest | None:
        """Remove and return the request of an attempt, if it is queued."""
        queued = self._by_attempt.pop(attempt_id, None)
        if not self._by_attempt:
            # No accounts compete in an empty queue: reset fair queueing.
            self._finish_by_account.clear()
            self._virtual_time = 0
        elif queued is not None:
            self._virtual_time = max(self._virtual_time, queued.virtual_finish)
        return queued

    def ordered(self) -> list[QueuedRequest]:
        """Return all queued requests, the most urgent first."""
        return sorted(self._by_attempt.values(), key=queue_key)
