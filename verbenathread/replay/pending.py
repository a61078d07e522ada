"""A request in progress at an entry, and its messages to the owners."""

from collections.abc import Callable, Sequence
from typing import Protocol

from verbenathread.replay.engine import Job
from verbenathread.replay.group_run import GroupRun
from verbenathread.replay.owner import LedgerAction
from verbenathread.replay.policies import EngineChooser
from verbenathread.replay.results import RequestResult
from verbenathread.replay.trace import TraceRequest
from verbenathread.scheduling.candidates import CandidateIterator
from verbenathread.scheduling.estimates import OutputEstimator
from verbenathread.scheduling.groups import GroupRequest
from verbenathread.scheduling.ledger import EngineLedger
from verbenathread.scheduling.messages import ReservationRequest
from verbenathread.types import (
    Millis,
    NodeId,
    Refusal,
    Reservation,
    UpstreamId,
    UpstreamRecord,
    Work,
)

# Latency of an owner's reply to a renewal.
_RENEWAL_REPLY_MS = 1


class EntryEnvironment(Protocol):
    """The network, the clock and the engines as an entry uses them."""

    def now(self) -> Millis:
        """Return the virtual time in ms."""

    def call_later(self, delay: float, action: Callable[..., object]) -> None:
        """Run an action after a delay in ms."""

    def records(self) -> Sequence[UpstreamRecord]:
        """Return the engines in service."""

    def request_reservation(
        self,
        entry_id: NodeId,
        upstream_id: UpstreamId,
        request: ReservationRequest,
    ) -> None:
        """Send a reservation request to the owner of an engine."""

    def update_ledger(
        self, entry_id: NodeId, upstream_id: UpstreamId, action: LedgerAction
    ) -> None:
        """Send a ledger update to the owner of an engine."""

    def start_job(
        self, upstream_ids: Sequence[UpstreamId], job: Job
    ) -> GroupRun:
        """Start a job on its engines after the network latency."""

    def cancel_job(
        self, run: GroupRun, confirmed: Callable[[], object]
    ) -> None:
        """Cancel a job on its engines; ``confirmed`` runs when it is done."""

    def record_result(self, result: RequestResult) -> None:
        """Record how a request ended."""


class PendingRequest:
    """One request while the entry serves it."""

    def __init__(self, request: TraceRequest, work: Work) -> None:
        """Create the state before the first attempt."""
        self.request = request
        self.work = work
        self.attempts = 0
        # Number of broken attempts and refused groups.
        self.failures = 0
        self.failed_engines: set[UpstreamId] = set()
        self.candidates = CandidateIterator((), 0)
        self.waiting_at: set[UpstreamId] = set()
        self.group: GroupRequest | None = None
        self.reservations: tuple[Reservation, ...] = ()
        self.run: GroupRun | None = None
        self.is_admitted = False
        self.is_over = False
        self.first_token_at: float | None = None
        self.refusal: Refusal | None = None

    def record_accepted(self, upstream_id: UpstreamId) -> None:
        """Record that an owner accepted; a group needs every member."""
        if self.group is None or self.group.record_accepted(upstream_id):
            self.is_admitted = True

    @property
    def attempt_id(self) -> str:
        """Return the identifier of the attempt in progress."""
        return f'{self.work.request_id}.{self.attempts}'

    def upstream_ids(self) -> tuple[UpstreamId, ...]:
        """Return the engines that have memory reserved for the attempt."""
        return tuple(
            reservation.upstream_ids[0] for reservation in self.reservations
        )


class OwnerClient:
    """Sends one entry's messages to the owners of engines."""

    def __init__(
        self,
        entry_id: NodeId,
        environment: EntryEnvironment,
        chooser: EngineChooser,
    ) -> None:
        """Send messages on behalf of ``entry_id``."""
        self._entry_id = entry_id
        self._environment = environment
        self._chooser = chooser

    def update_ledger(
        self, reservation: Reservation, action: LedgerAction
    ) -> None:
        """Send a ledger update about a reservation to its owner."""
        self._environment.update_ledger(
            self._entry_id, reservation.upstream_ids[0], action
        )

    def cancel(self, upstream_id: UpstreamId, attempt_id: str) -> None:
        """Cancel a request, or a reservation that has not started."""
        self._environment.update_ledger(
            self._entry_id,
            upstream_id,
            lambda ledger: ledger.cancel(attempt_id),
        )

    def cancel_all(self, pending: PendingRequest) -> None:
        """Cancel every request and unstarted reservation of an attempt."""
        for upstream_id in pending.waiting_at.union(pending.upstream_ids()):
            self.cancel(upstream_id, pending.attempt_id)
        pending.waiting_at.clear()
        pending.reservations = ()

    def renew(
        self, reservation: Reservation, lost: Callable[[], object]
    ) -> None:
        """Renew a reservation; ``lost`` runs if the owner has dropped it."""

        def apply(ledger: EngineLedger) -> None:  # noqa: WPS430 - closure
            if ledger.renew(reservation.reservation_id) is None:
                self._environment.call_later(_RENEWAL_REPLY_MS, lost)

        self.update_ledger(reservation, apply)

    def release(self, pending: PendingRequest, output: int) -> None:
        """Release the reservations of an attempt that runs on no engine."""
        reservations = pending.reservations
        pending.reservations = ()
        pending.run = None
        for reservation in reservations:
            self.update_ledger(
                reservation, _release_update(reservation, output)
            )
            self._chooser.record_done(reservation.upstream_ids[0], pending.work)


def new_work(
    number: int,
    request: TraceRequest,
    outputs: OutputEstimator,
    now: Millis,
) -> Work:
    """Return the scheduler's view of a request that arrives now."""
    expected = outputs.expected(
        request.account, request.service, request.most_output_tokens
    )
    return Work(
        request_id=f'r{number}',
        account=request.account,
        service=request.service,
        prompt_tokens=request.prompt_tokens,
        most_output_tokens=request.most_output_tokens,
        expected_output_tokens=expected,
        deadline=now + request.time_limit,
        arrival=now,
        prefix_hashes=request.prefix_hashes,
    )


def start_update(reservation: Reservation) -> LedgerAction:
    """Return the ledger update for an attempt that has started."""
    return lambda ledger: ledger.mark_started(reservation.reservation_id)


def first_token_update(reservation: Reservation) -> LedgerAction:
    """Return the ledger update for the first token."""
    return lambda ledger: ledger.record_progress(reservation.reservation_id, 1)


def _release_update(reservation: Reservation, output: int) -> LedgerAction:
    return lambda ledger: ledger.release(reservation.reservation_id, output)
