"""A request in progress at an entry of a replay, and its messages."""

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

# Way of an owner's answer to a renewal.
_RENEWAL_REPLY_MS = 1


class EntryEnvironment(Protocol):
    """What an entry reaches through the network."""

    def now(self) -> Millis:
        """Return virtual time in ms."""

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
        """Send an ask to the owner of an engine."""

    def update_ledger(
        self, entry_id: NodeId, upstream_id: UpstreamId, action: LedgerAction
    ) -> None:
        """Send news to the owner of an engine."""

    def start_job(
        self, upstream_ids: Sequence[UpstreamId], job: Job
    ) -> GroupRun:
        """Begin a job on its engines, after the latency."""

    def cancel_job(
        self, run: GroupRun, confirmed: Callable[[], object]
    ) -> None:
        """Cancel a job on its engines, and confirm."""

    def record_result(self, result: RequestResult) -> None:
        """Take the end of one request."""


class PendingRequest:
    """One request while the entry serves it."""

    def __init__(self, request: TraceRequest, work: Work) -> None:
        """Begin before the first attempt."""
        self.request = request
        self.work = work
        self.attempts = 0
        # Attempts that broke, and groups that were refused.
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
        """Note that an owner did not refuse; a group needs every member."""
        if self.group is None or self.group.record_accepted(upstream_id):
            self.is_admitted = True

    @property
    def attempt_id(self) -> str:
        """Return the identifier of the attempt in progress."""
        return f'{self.work.request_id}.{self.attempts}'

    def upstream_ids(self) -> tuple[UpstreamId, ...]:
        """Return the engines that the attempt holds memory of."""
        return tuple(held.upstream_ids[0] for held in self.reservations)


class OwnerClient:
    """Messages of one entry to the owners of engines."""

    def __init__(
        self,
        entry_id: NodeId,
        environment: EntryEnvironment,
        chooser: EngineChooser,
    ) -> None:
        """Speak for ``entry_id``."""
        self._entry_id = entry_id
        self._environment = environment
        self._chooser = chooser

    def update_ledger(self, held: Reservation, action: LedgerAction) -> None:
        """Send news of a hold to the engine's owner."""
        self._environment.update_ledger(
            self._entry_id, held.upstream_ids[0], action
        )

    def cancel(self, upstream_id: UpstreamId, attempt_id: str) -> None:
        """Cancel an ask, or a grant that did not start."""
        self._environment.update_ledger(
            self._entry_id,
            upstream_id,
            lambda ledger: ledger.cancel(attempt_id),
        )

    def cancel_all(self, pending: PendingRequest) -> None:
        """Cancel every ask and unstarted grant of an attempt."""
        for upstream_id in pending.waiting_at.union(pending.upstream_ids()):
            self.cancel(upstream_id, pending.attempt_id)
        pending.waiting_at.clear()
        pending.reservations = ()

    def renew(self, held: Reservation, lost: Callable[[], object]) -> None:
        """Renew a group's hold; ``lost`` runs if the owner has let it go."""

        def apply(ledger: EngineLedger) -> None:  # noqa: WPS430 - binds.
            if ledger.renew(held.reservation_id) is None:
                self._environment.call_later(_RENEWAL_REPLY_MS, lost)

        self.update_ledger(held, apply)

    def release(self, pending: PendingRequest, output: int) -> None:
        """Give back what an attempt held, once no engine holds it."""
        held = pending.reservations
        pending.reservations = ()
        pending.run = None
        for reservation in held:
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
    """Return what the scheduler knows of a request that arrives now."""
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


def start_update(held: Reservation) -> LedgerAction:
    """Return the news that the engine has taken the attempt."""
    return lambda ledger: ledger.mark_started(held.reservation_id)


def first_token_update(held: Reservation) -> LedgerAction:
    """Return the news of the first token."""
    return lambda ledger: ledger.record_progress(held.reservation_id, 1)


def _release_update(held: Reservation, output: int) -> LedgerAction:
    return lambda ledger: ledger.release(held.reservation_id, output)
