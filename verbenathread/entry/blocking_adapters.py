"""Blocking adapters that let worker threads call parts on the event loop.

They implement the protocols of :mod:`verbenathread.entry.interfaces`.
"""

from verbenathread.clock import Clock
from verbenathread.entry.claims_client import ClaimsClient
from verbenathread.entry.loop_thread import LoopThread
from verbenathread.entry.reservations import EngineReservations
from verbenathread.exceptions import UnavailableError
from verbenathread.membership.cell import Cell
from verbenathread.schema import control_pb2
from verbenathread.types import (
    Millis,
    Refusal,
    RefusalReason,
    Reservation,
    UpstreamRecord,
    Work,
)

# For calls that only wait for the event loop.
_LOOP_CALL_TIMEOUT_MS = 1000
_LEAVE_TIMEOUT_MS = 3000
_RETRY_AFTER_MS = 1000


class BlockingUpstreams:
    """The upstreams known to the cell, for worker threads."""

    def __init__(self, cell: Cell, loop: LoopThread) -> None:
        """Wrap ``cell``, which runs on ``loop``."""
        self._cell = cell
        self._loop = loop

    def by_service(self, service: str) -> tuple[UpstreamRecord, ...]:
        """Return the upstreams that accept new work for a service."""
        return self._cell.table.ready(service)

    def get(self, upstream_id: str) -> UpstreamRecord | None:
        """Return the upstream in any state, or None if it is unknown."""
        return self._cell.table.get(upstream_id)

    def announce(self, record: UpstreamRecord) -> UpstreamRecord:
        """Apply an announcement or a renewal; return the current record."""
        return self._loop.run(self._announce(record), _LOOP_CALL_TIMEOUT_MS)

    def leave(self, upstream_id: str, incarnation: int) -> bool:
        """Mark an upstream as leaving; return once other entries have it."""
        return self._loop.run(
            self._cell.leave(upstream_id, incarnation), _LEAVE_TIMEOUT_MS
        )

    async def _announce(self, record: UpstreamRecord) -> UpstreamRecord:
        return self._cell.announce(record)


class BlockingReservations:
    """Reservations of engine memory, for worker threads."""

    def __init__(
        self, reservations: EngineReservations, loop: LoopThread, clock: Clock
    ) -> None:
        """Wrap ``reservations``, which run on ``loop``."""
        self._reservations = reservations
        self._loop = loop
        self._clock = clock

    def reserve(self, work: Work, attempt_id: str) -> Reservation | Refusal:
        """Reserve memory, waiting until the deadline of the work."""
        timeout = max(0, work.deadline - self._clock.now())
        try:
            return self._loop.run(
                self._reservations.reserve(work, attempt_id), timeout
            )
        except UnavailableError as error:
            return Refusal(
                RefusalReason.OVERLOADED, str(error), _RETRY_AFTER_MS
            )

    def report_started(self, reservation: Reservation) -> None:
        """Report that the attempt was sent to the engine."""
        self._loop.call_soon(self._reservations.report_started, reservation)

    def report_progress(
        self, reservation: Reservation, output_tokens: int
    ) -> None:
        """Report the output tokens so far."""
        self._loop.call_soon(
            self._reservations.report_progress, reservation, output_tokens
        )

    def release(
        self, reservation: Reservation, *, output_tokens: int, failed: bool
    ) -> None:
        """Release the memory once the engine no longer holds it."""
        self._loop.call_soon(
            self._reservations.release,
            reservation,
            output_tokens=output_tokens,
            failed=failed,
        )

    def abandon(self, work: Work) -> None:
        """Stop waiting for memory because the caller disconnected."""
        self._loop.call_soon(self._reservations.abandon, work)


class BlockingClaims:
    """Quorum claims, for worker threads."""

    def __init__(self, claims: ClaimsClient, loop: LoopThread) -> None:
        """Wrap ``claims``, which runs on ``loop``."""
        self._claims = claims
        self._loop = loop

    def claim(
        self, request: control_pb2.ClaimRequest, timeout: Millis
    ) -> control_pb2.ClaimReply:
        """Record the claim durably before any byte of the call is sent."""
        return self._loop.run(self._claims.claim(request, timeout), timeout)

    def settle(
        self, request: control_pb2.SettleRequest, timeout: Millis
    ) -> control_pb2.SettleReply:
        """Record the outcome of the only attempt."""
        return self._loop.run(self._claims.settle(request, timeout), timeout)
