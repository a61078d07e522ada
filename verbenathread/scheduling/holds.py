"""Memory that an owner has granted, and when it is expected to be free."""

import heapq
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from verbenathread.scheduling.messages import ReservationRequest
from verbenathread.scheduling.queueing import QueuedRequest
from verbenathread.types import LengthClass, Millis, Reservation, UpstreamId

# Work that takes longer than expected still counts as this share of the
# expected time.
_MIN_REMAINING_SHARE = 0.1


class Hold(NamedTuple):
    """One granted reservation, from the grant to the release."""

    request: ReservationRequest
    reservation: Reservation
    length: LengthClass
    level: int
    # Expected ms of prefill, and of generation after it.
    prefill_ms: float
    output_ms: float
    granted_at: Millis
    started_at: Millis | None = None
    first_token_at: Millis | None = None
    output_tokens: int = 0

    def remaining_prefill(self, now: Millis) -> float:
        """Return the expected remaining ms of prefill."""
        if self.first_token_at is not None:
            return 0
        if self.started_at is None:
            return self.prefill_ms
        minimum = self.prefill_ms * _MIN_REMAINING_SHARE
        return max(minimum, self.prefill_ms - (now - self.started_at))

    def remaining_time(self, now: Millis) -> float:
        """Return the expected ms until the memory is released."""
        if self.first_token_at is None:
            return self.remaining_prefill(now) + self.output_ms
        minimum = self.output_ms * _MIN_REMAINING_SHARE
        return max(minimum, self.output_ms - (now - self.first_token_at))


def make_reservation_id(upstream_id: UpstreamId, attempt_id: str) -> str:
    """Return the identifier of an attempt's hold on one engine.

    It survives a takeover, so that an entry can release what a previous
    owner granted.
    """
    return f'{upstream_id}/{attempt_id}'


def make_hold(
    queued: QueuedRequest,
    upstream_id: UpstreamId,
    priority: int,
    now: Millis,
    start_by: Millis,
) -> Hold:
    """Return the hold for a request that is granted now."""
    request = queued.request
    reservation = Reservation(
        reservation_id=make_reservation_id(upstream_id, request.attempt_id),
        attempt_id=request.attempt_id,
        upstream_ids=(upstream_id,),
        memory_tokens=request.memory_tokens,
        start_by=start_by,
        priority=priority,
    )
    return Hold(
        request=request,
        reservation=reservation,
        length=queued.length,
        level=queued.level,
        prefill_ms=queued.prefill_ms,
        output_ms=queued.output_ms,
        granted_at=now,
    )


class HoldTable:
    """All holds on one engine, and its free memory."""

    def __init__(self, memory_tokens: int) -> None:
        """Start with all memory free."""
        self.memory_tokens = memory_tokens
        self.free_tokens = memory_tokens
        self.short_tokens = 0
        self._by_id: dict[str, Hold] = {}

    def __iter__(self) -> Iterator[Hold]:
        """Iterate over a copy, so that the loop may remove holds."""
        return iter(tuple(self._by_id.values()))

    def __len__(self) -> int:
        """Return the number of holds."""
        return len(self._by_id)

    def get(self, reservation_id: str) -> Hold | None:
        """Return one hold, or None."""
        return self._by_id.get(reservation_id)

    def put(self, hold: Hold) -> None:
        """Add a hold, or replace its previous state."""
        key = hold.reservation.reservation_id
        if key not in self._by_id:
            self._take(hold, hold.reservation.memory_tokens)
        self._by_id[key] = hold

    def expired(self, now: Millis) -> list[Hold]:
        """Return the holds that did not start in time."""
        return [
            hold
            for hold in self
            if hold.started_at is None and hold.reservation.start_by < now
        ]

    def remove(self, hold: Hold) -> None:
        """Remove a hold and free its memory."""
        self._by_id.pop(hold.reservation.reservation_id)
        self._take(hold, -hold.reservation.memory_tokens)

    def _take(self, hold: Hold, tokens: int) -> None:
        self.free_tokens -= tokens
        if hold.length == LengthClass.SHORT:
            self.short_tokens += tokens


class MemoryForecast(NamedTuple):
    """Expected ms until enough memory is free, and the tokens left over."""

    wait: float
    # Negative if all holds together don't free enough.
    surplus: int


def memory_forecast(
    holds: Iterable[Hold], missing: int, now: Millis
) -> MemoryForecast:
    """Return when ``missing`` more tokens are expected to be free."""
    if missing <= 0:
        return MemoryForecast(0, -missing)
    releases = [
        (hold.remaining_time(now), hold.reservation.memory_tokens)
        for hold in holds
    ]
    heapq.heapify(releases)
    wait: float = 0
    while releases and missing > 0:
        wait, tokens = heapq.heappop(releases)
        missing -= tokens
    return MemoryForecast(wait, -missing)
