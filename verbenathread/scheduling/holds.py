"""Memory that an owner has given out, and when it should come back."""

import heapq
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from verbenathread.scheduling.messages import ReservationRequest
from verbenathread.scheduling.queueing import Waiting
from verbenathread.types import LengthClass, Millis, Reservation, UpstreamId

# An expected time that has passed still counts as this share of itself.
_LEAST_SHARE = 0.1


class Hold(NamedTuple):
    """One grant from the ask to the release."""

    ask: ReservationRequest
    reservation: Reservation
    length: LengthClass
    level: int
    # Expected ms of prefill, and of generation after it.
    prefill: float
    output: float
    granted_at: Millis
    started_at: Millis | None = None
    first_token_at: Millis | None = None
    output_tokens: int = 0

    def prefill_left(self, now: Millis) -> float:
        """Return expected ms of prefill still to do."""
        if self.first_token_at is not None:
            return 0
        if self.started_at is None:
            return self.prefill
        least = self.prefill * _LEAST_SHARE
        return max(least, self.prefill - (now - self.started_at))

    def time_left(self, now: Millis) -> float:
        """Return expected ms until the memory comes back."""
        if self.first_token_at is None:
            return self.prefill_left(now) + self.output
        least = self.output * _LEAST_SHARE
        return max(least, self.output - (now - self.first_token_at))


def reservation_id(upstream_id: UpstreamId, attempt_id: str) -> str:
    """Return the identifier of an attempt's hold on one engine.

    It is the same after a takeover, so an entry can release what an earlier
    owner granted.
    """
    return f'{upstream_id}/{attempt_id}'


def make_hold(
    waiting: Waiting,
    upstream_id: UpstreamId,
    priority: int,
    now: Millis,
    start_by: Millis,
) -> Hold:
    """Return the hold of an ask that is granted now."""
    ask = waiting.ask
    reservation = Reservation(
        reservation_id=reservation_id(upstream_id, ask.attempt_id),
        attempt_id=ask.attempt_id,
        upstream_ids=(upstream_id,),
        memory_tokens=ask.memory_tokens,
        start_by=start_by,
        priority=priority,
    )
    return Hold(
        ask=ask,
        reservation=reservation,
        length=waiting.length,
        level=waiting.level,
        prefill=waiting.prefill,
        output=waiting.output,
        granted_at=now,
    )


class HoldBook:
    """Every hold on one engine, and the memory that is left."""

    def __init__(self, memory_tokens: int) -> None:
        """Start with all memory free."""
        self.memory_tokens = memory_tokens
        self.free = memory_tokens
        self.short_tokens = 0
        self._by_id: dict[str, Hold] = {}

    def __iter__(self) -> Iterator[Hold]:
        """Go over a copy, so that the loop may drop holds."""
        return iter(tuple(self._by_id.values()))

    def __len__(self) -> int:
        """Return how many there are."""
        return len(self._by_id)

    def get(self, reservation: str) -> Hold | None:
        """Return one hold, or None."""
        return self._by_id.get(reservation)

    def keep(self, hold: Hold) -> None:
        """Add a hold, or put its new state in place of the old one."""
        key = hold.reservation.reservation_id
        if key not in self._by_id:
            self._count(hold, hold.reservation.memory_tokens)
        self._by_id[key] = hold

    def expired(self, now: Millis) -> list[Hold]:
        """Return the holds that did not start in time."""
        return [
            hold
            for hold in self
            if hold.started_at is None and hold.reservation.start_by < now
        ]

    def drop(self, hold: Hold) -> None:
        """Take the memory of a hold back."""
        self._by_id.pop(hold.reservation.reservation_id)
        self._count(hold, -hold.reservation.memory_tokens)

    def _count(self, hold: Hold, tokens: int) -> None:
        self.free -= tokens
        if hold.length == LengthClass.SHORT:
            self.short_tokens += tokens


class MemoryOutlook(NamedTuple):
    """When some memory comes back, and what comes back beyond it."""

    wait: float
    # Below zero when the holds do not give back enough.
    surplus: int


def memory_outlook(
    holds: Iterable[Hold], missing: int, now: Millis
) -> MemoryOutlook:
    """Return when ``missing`` tokens of memory are expected back."""
    if missing <= 0:
        return MemoryOutlook(0, -missing)
    ends = [
        (hold.time_left(now), hold.reservation.memory_tokens) for hold in holds
    ]
    heapq.heapify(ends)
    wait: float = 0
    while ends and missing > 0:
        wait, tokens = heapq.heappop(ends)
        missing -= tokens
    return MemoryOutlook(wait, -missing)
