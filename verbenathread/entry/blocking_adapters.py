"""The ports of the callers' side, over the event loop of the fabric."""

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

# Bound of a call that waits for nothing but the loop.
_LOOP_CALL_TIMEOUT_MS = 1000
_LEAVE_TIMEOUT_MS = 3000
_RETRY_AFTER_MS = 1000


class BlockingUpstreams:
    """The upstreams that the cell knows."""

    def __init__(self, cell: Cell, loop: LoopThread) -> None:
        """Take the cell, which runs on the loop."""
        self._cell = cell
        self._loop = loop

    def by_service(self, service: str) -> tuple[UpstreamRecord, ...]:
        """Return the upstreams that may get new work for a service."""
        return self._cell.table.ready(service)

    def get(self, upstream_id: str) -> UpstreamRecord | None:
        """Return one upstream in whatever state, or None."""
        return self._cell.table.get(upstream_id)

    def announce(self, record: UpstreamRecord) -> UpstreamRecord:
        """Take an announcement or a renewal; return what holds now."""
        return self._loop.run(self._announce(record), _LOOP_CALL_TIMEOUT_MS)

    def leave(self, upstream_id: str, incarnation: int) -> bool:
        """Take a leave; return only when other entries have it too."""
        return self._loop.run(
            self._cell.leave(upstream_id, incarnation), _LEAVE_TIMEOUT_MS
        )

    async def _announce(self, record: UpstreamRecord) -> UpstreamRecord:
        return self._cell.announce(record)


class BlockingReservations:
    """Memory of engines, for worker threads."""

    def __init__(
        self, reservations: EngineReservations, loop: LoopThread, clock: Clock
    ) -> None:
        """Take the reservations, which run on the loop."""
        self._reservations = reservations
        self._loop = loop
        self._clock = clock

    def reserve(self, work: Work, attempt_id: str) -> Reservation | Refusal:
        """Wait for memory until the deadline of the work."""
        left = max(0, work.deadline - self._clock.now())
        try:
            return self._loop.run(
                self._reservations.reserve(work, attempt_id), left
            )
        except UnavailableError as error:
            return Refusal(
                RefusalReason.OVERLOADED, str(error), _RETRY_AFTER_MS
            )

    def started(self, reservation: Reservation) -> None:
        """Tell that the engine has taken the attempt."""
        self._loop.call_soon(self._reservations.started, reservation)

    def progress(self, reservation: Reservation, output_tokens: int) -> None:
        """Tell how far the output has come."""
        self._loop.call_soon(
            self._reservations.progress, reservation, output_tokens
        )

    def release(
        self, reservation: Reservation, *, output_tokens: int, failed: bool
    ) -> None:
        """Give the memory back once the engine holds nothing of it."""
        self._loop.call_soon(
            self._reservations.release,
            reservation,
            output_tokens=output_tokens,
            failed=failed,
        )

    def abandon(self, work: Work) -> None:
        """Stop waiting: the caller has gone."""
        self._loop.call_soon(self._reservations.abandon, work)


class BlockingClaims:
    """Claims on a quorum, for worker threads."""

    def __init__(self, claims: ClaimsClient, loop: LoopThread) -> None:
        """Take the client, which runs on the loop."""
        self._claims = claims
        self._loop = loop

    def claim(
        self, request: control_pb2.ClaimRequest, timeout: Millis
    ) -> control_pb2.ClaimReply:
        """Record the claim durably before the first byte goes out."""
        return self._loop.run(self._claims.claim(request, timeout), timeout)

    def settle(
        self, request: control_pb2.SettleRequest, timeout: Millis
    ) -> control_pb2.SettleReply:
        """Record the outcome of the one attempt."""
        return self._loop.run(self._claims.settle(request, timeout), timeout)
