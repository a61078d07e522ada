"""Unreleased reservations of one entry, and where its requests failed."""

from collections.abc import Collection
from typing import NamedTuple

from verbenathread.schema import peer_pb2
from verbenathread.types import Millis, Reservation, UpstreamId, Work


class HeldReservation(NamedTuple):
    """A reservation, its work and the output tokens so far."""

    reservation: Reservation
    work: Work
    output_tokens: int = 0


class HeldReservations:
    """Unreleased reservations by attempt, and failed engines by request."""

    def __init__(self) -> None:
        """Start without reservations and failures."""
        self._held_by_attempt: dict[str, HeldReservation] = {}
        self._failed_ids_by_request: dict[str, set[UpstreamId]] = {}
        self._deadline_by_request: dict[str, Millis] = {}

    def __len__(self) -> int:
        """Return the number of held reservations."""
        return len(self._held_by_attempt)

    def add(self, reservation: Reservation, work: Work) -> None:
        """Record a reservation until it is removed."""
        self._held_by_attempt[reservation.attempt_id] = HeldReservation(
            reservation, work
        )

    def record_progress(self, attempt_id: str, output_tokens: int) -> bool:
        """Record the output tokens so far; return whether they are the first.

        Unknown attempts are ignored.
        """
        held = self._held_by_attempt.get(attempt_id)
        if held is None:
            return False
        self._held_by_attempt[attempt_id] = held._replace(
            output_tokens=output_tokens
        )
        return held.output_tokens == 0

    def remove(self, attempt_id: str) -> HeldReservation | None:
        """Remove and return a reservation; None if it was not held."""
        return self._held_by_attempt.pop(attempt_id, None)

    def at(self, upstream_id: UpstreamId) -> tuple[peer_pb2.Holding, ...]:
        """Return the reservations on an engine, for its new owner."""
        return tuple(
            peer_pb2.Holding(
                attempt_id=attempt_id,
                memory_tokens=_tokens_per_engine(held.reservation),
                prompt_tokens=held.work.prompt_tokens,
                output_tokens=held.output_tokens,
            )
            for attempt_id, held in self._held_by_attempt.items()
            if upstream_id in held.reservation.upstream_ids
        )

    def record_failure(self, held: HeldReservation, now: Millis) -> None:
        """Record until the request's deadline on which engines it failed."""
        request_id = held.work.request_id
        for old_id, deadline in tuple(self._deadline_by_request.items()):
            if deadline < now:
                self._deadline_by_request.pop(old_id)
                self._failed_ids_by_request.pop(old_id)
        failed_ids = self._failed_ids_by_request.setdefault(request_id, set())
        failed_ids.update(held.reservation.upstream_ids)
        self._deadline_by_request[request_id] = held.work.deadline

    def failed_engine_ids(self, request_id: str) -> Collection[UpstreamId]:
        """Return the engines on which a request failed."""
        return self._failed_ids_by_request.get(request_id, frozenset())


def _tokens_per_engine(reservation: Reservation) -> int:
    """Return the memory reserved on each engine of a reservation."""
    return -(-reservation.memory_tokens // len(reservation.upstream_ids))
