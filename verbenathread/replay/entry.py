"""Simulated entry that runs the real scheduling code in virtual time."""

from collections.abc import Sequence
from typing import NamedTuple

from verbenathread.replay.engine import Job
from verbenathread.replay.group_renewal import GroupRenewer
from verbenathread.replay.owner import Answer
from verbenathread.replay.pending import (
    EntryEnvironment,
    OwnerClient,
    PendingRequest,
    first_token_update,
    new_work,
    start_update,
)
from verbenathread.replay.policies import EngineChooser
from verbenathread.replay.results import RequestOutcome, RequestResult
from verbenathread.replay.trace import TraceRequest
from verbenathread.scheduling.admission import Admission, memory_needed
from verbenathread.scheduling.candidates import CandidateIterator, reroute_delay
from verbenathread.scheduling.estimates import OutputEstimator
from verbenathread.scheduling.groups import GroupRequest, group_size
from verbenathread.scheduling.messages import Queued, ReservationRequest
from verbenathread.scheduling.outliers import OutlierTracker
from verbenathread.scheduling.retries import Retry, RetryPolicy
from verbenathread.scheduling.tuning import Tuning
from verbenathread.schema import settings_pb2
from verbenathread.types import (
    Millis,
    NodeId,
    Outcome,
    Refusal,
    RefusalReason,
    Reservation,
    UpstreamId,
)

# Failures, by refusal or lost engine, after which a group request ends.
_MAX_GROUP_FAILURES = 6


class EntryComponents(NamedTuple):
    """The scheduling components of one entry."""

    chooser: EngineChooser
    admission: Admission
    retries: RetryPolicy
    outliers: OutlierTracker
    outputs: OutputEstimator
    policy: settings_pb2.PolicySettings
    tuning: Tuning
    limits_by_account: dict[str, settings_pb2.AccountSettings]


class Entry:
    """Admits requests, places their attempts and retries them."""

    def __init__(
        self,
        entry_id: NodeId,
        components: EntryComponents,
        environment: EntryEnvironment,
    ) -> None:
        """Create an entry without requests."""
        self.entry_id = entry_id
        self.alive = True
        self.components = components
        self._environment = environment
        self._owners = OwnerClient(entry_id, environment, components.chooser)
        self._group_renewer = GroupRenewer(
            environment, self._owners, self._send_request
        )
        self._pending_by_request: dict[str, PendingRequest] = {}

    def arrive(self, number: int, request: TraceRequest) -> None:
        """Admit or refuse a request from a client."""
        now = self._environment.now()
        work = new_work(number, request, self.components.outputs, now)
        pending = PendingRequest(request, work)
        refusal = self.components.admission.admit(
            work,
            self.components.limits_by_account[work.account],
            self.components.policy,
            self._environment.records(),
            now,
        )
        if refusal is not None:
            self._record_result(pending, RequestOutcome.REFUSED, refusal.reason)
            return
        self._pending_by_request[work.request_id] = pending
        self.components.retries.record_first_attempt()
        limit = request.time_limit
        self._environment.call_later(limit, lambda: self._time_out(pending))
        self._start_attempt(pending)

    def receive_answer(
        self, upstream_id: UpstreamId, attempt_id: str, answer: Answer
    ) -> None:
        """Handle an owner's answer to a reservation request."""
        pending = self._find_current(attempt_id)
        if pending is None or upstream_id not in pending.waiting_at:
            if isinstance(answer, Reservation):
                self._owners.cancel(upstream_id, attempt_id)
            return
        if isinstance(answer, Queued):
            pending.record_accepted(upstream_id)
            self._handle_queued(pending, upstream_id, answer)
            return
        pending.waiting_at.discard(upstream_id)
        if isinstance(answer, Refusal):
            self._handle_refusal(pending, upstream_id, answer)
            return
        pending.record_accepted(upstream_id)
        if pending.group is None:
            pending.reservations = (answer,)
            self._start_job(pending)
            return
        pending.group.record_grant(answer)
        pending.reservations = pending.group.member_reservations()
        if pending.group.complete_reservation() is not None:
            self._start_job(pending)

    def owner_lost(self, upstream_ids: Sequence[UpstreamId]) -> None:
        """Reroute the waiting requests that involve an owner that is gone."""
        gone = Refusal(RefusalReason.NO_UPSTREAM, 'The owner is gone.', 1000)
        for pending in tuple(self._pending_by_request.values()):
            involved = pending.waiting_at.union(pending.upstream_ids())
            if pending.run is None and not involved.isdisjoint(upstream_ids):
                # One refusal is enough: it reroutes the whole request.
                for waiting_at in tuple(pending.waiting_at)[:1]:
                    self.receive_answer(waiting_at, pending.attempt_id, gone)

    def prefilled(self, attempt_id: str) -> None:
        """Handle the first token of an attempt."""
        pending = self._find_current(attempt_id)
        if pending is None:
            return
        if pending.first_token_at is None:
            pending.first_token_at = self._environment.now()
        for reservation in pending.reservations:
            self._owners.update_ledger(
                reservation, first_token_update(reservation)
            )

    def finished(self, attempt_id: str) -> None:
        """Handle the last token of an attempt."""
        pending = self._find_current(attempt_id)
        if pending is None:
            return
        for upstream_id in pending.upstream_ids():
            self.components.outliers.record_success(upstream_id)
        output = pending.request.output_tokens
        self._owners.release(pending, output)
        self.components.outputs.observe(
            pending.work.account, pending.work.service, output
        )
        self._end(pending, RequestOutcome.COMPLETED)

    def broken(self, attempt_id: str) -> None:
        """Handle the loss of an engine; retry on another if allowed."""
        pending = self._find_current(attempt_id)
        if pending is None:
            return
        now = self._environment.now()
        for upstream_id in pending.upstream_ids():
            self.components.outliers.record_failure(upstream_id, now)
            pending.failed_engines.add(upstream_id)
        self._owners.release(pending, 0)
        pending.failures += 1
        decision = self.components.retries.decide(
            pending.work.deadline,
            pending.failures,
            Outcome.UNKNOWN,
            now,
            repeatable=True,
        )
        if isinstance(decision, Retry):
            self._environment.call_later(
                decision.delay, lambda: self._start_attempt(pending)
            )
            return
        self._end(pending, RequestOutcome.FAILED, decision.reason)

    def die(self) -> None:
        """Stop the entry; every request in progress is lost."""
        for pending in tuple(self._pending_by_request.values()):
            self._end(pending, RequestOutcome.LOST)
        self.alive = False

    def _find_current(self, attempt_id: str) -> PendingRequest | None:
        pending = self._pending_by_request.get(attempt_id.split('.')[0])
        if pending is None or pending.attempt_id != attempt_id:
            return None
        return pending

    def _start_attempt(self, pending: PendingRequest) -> None:
        """Choose engines and send the first reservation requests."""
        if pending.is_over:
            return
        pending.attempts += 1
        pending.group = None
        pending.reservations = ()
        work = pending.work
        records = self._environment.records()
        size = group_size(
            memory_needed(work),
            records[0].memory_tokens if records else 0,
            self.components.policy,
        )
        ejected = self.components.outliers.ejected(self._environment.now())
        candidates = self.components.chooser.choose(
            work,
            records,
            self._environment.now(),
            pending.failed_engines | ejected,
            size,
        )
        if size == 1:
            wait_threshold = self.components.tuning.wait_threshold
            pending.candidates = CandidateIterator(candidates, wait_threshold)
            self._try_next_candidate(pending)
            return
        self._request_group(pending, candidates, size)

    def _try_next_candidate(self, pending: PendingRequest) -> None:
        upstream_id = pending.candidates.next()
        if upstream_id is None:
            self._end_unplaced(pending)
            return
        work = pending.work
        request = ReservationRequest(
            work,
            pending.attempt_id,
            self.entry_id,
            memory_needed(work),
            self.components.limits_by_account[work.account].weight,
            admitted=pending.is_admitted,
        )
        self._send_request(pending, upstream_id, request)

    def _handle_queued(
        self, pending: PendingRequest, upstream_id: UpstreamId, answer: Queued
    ) -> None:
        """Wait in the queue, or try the next candidate."""
        if pending.group is not None:
            return
        if pending.candidates.accepts_wait(upstream_id, answer.expected_wait):
            self._schedule_reroute(pending, answer.expected_wait)
            return
        pending.waiting_at.discard(upstream_id)
        self._owners.cancel(upstream_id, pending.attempt_id)
        self.components.chooser.record_done(upstream_id, pending.work)
        self._try_next_candidate(pending)

    def _schedule_reroute(self, pending: PendingRequest, wait: Millis) -> None:
        """Reroute the request if it is not granted within a delay."""
        components = self.components
        delay = reroute_delay(
            pending.work, wait, components.policy, components.tuning
        )
        if delay is None:
            return
        candidates = pending.candidates
        self._environment.call_later(
            delay, lambda: self._reroute(pending, candidates)
        )

    def _reroute(
        self, pending: PendingRequest, candidates: CandidateIterator
    ) -> None:
        if pending.is_over or pending.candidates is not candidates:
            return
        if not pending.waiting_at:
            return
        self._owners.cancel_all(pending)
        self._start_attempt(pending)

    def _request_group(
        self,
        pending: PendingRequest,
        candidates: Sequence[UpstreamId],
        size: int,
    ) -> None:
        if len(candidates) < size:
            self._end_unplaced(pending)
            return
        work = pending.work
        group = GroupRequest(
            work,
            pending.attempt_id,
            self.entry_id,
            candidates[:size],
            memory_needed(work),
            work.arrival,
            admitted=pending.is_admitted,
        )
        pending.group = group
        self._group_renewer.start(pending, group)
        for member in group.members:
            self._send_request(pending, member, group.member_request)

    def _send_request(
        self,
        pending: PendingRequest,
        upstream_id: UpstreamId,
        request: ReservationRequest,
    ) -> None:
        pending.waiting_at.add(upstream_id)
        now = self._environment.now()
        self.components.chooser.record_sent(upstream_id, request.work, now)
        self.components.outliers.record_sent(upstream_id, now)
        self._environment.request_reservation(
            self.entry_id, upstream_id, request
        )

    def _handle_refusal(
        self, pending: PendingRequest, upstream_id: UpstreamId, refusal: Refusal
    ) -> None:
        pending.refusal = refusal
        self.components.chooser.record_done(upstream_id, pending.work)
        if pending.group is None:
            self._try_next_candidate(pending)
            return
        self._owners.cancel_all(pending)
        pending.failed_engines.add(upstream_id)
        pending.failures += 1
        if pending.failures < _MAX_GROUP_FAILURES:
            self._start_attempt(pending)
            return
        self._end_unplaced(pending)

    def _end_unplaced(self, pending: PendingRequest) -> None:
        """End a request that no engine accepts."""
        reason = RefusalReason.NO_UPSTREAM
        if pending.refusal is not None:
            reason = pending.refusal.reason
        outcome = (
            RequestOutcome.FAILED
            if pending.is_admitted
            else RequestOutcome.REFUSED
        )
        self._end(pending, outcome, reason)

    def _start_job(self, pending: PendingRequest) -> None:
        now = self._environment.now()
        if any(
            reservation.start_by <= now for reservation in pending.reservations
        ):
            self._owners.cancel_all(pending)
            self._start_attempt(pending)
            return
        for reservation in pending.reservations:
            self._owners.update_ledger(reservation, start_update(reservation))
        work = pending.work
        job = Job(
            attempt_id=pending.attempt_id,
            request_id=work.request_id,
            entry_id=self.entry_id,
            prompt_tokens=work.prompt_tokens,
            output_tokens=pending.request.output_tokens,
            memory_tokens=pending.reservations[0].memory_tokens,
            priority=pending.reservations[0].priority,
            prefix_hashes=work.prefix_hashes,
            group_size=len(pending.reservations),
        )
        pending.run = self._environment.start_job(pending.upstream_ids(), job)

    def _time_out(self, pending: PendingRequest) -> None:
        """Cancel a request that misses its time limit."""
        if pending.is_over:
            return
        if pending.run is None:
            self._owners.cancel_all(pending)
        else:
            self._environment.cancel_job(
                pending.run, lambda: self._owners.release(pending, 0)
            )
        self._end(pending, RequestOutcome.MISSED)

    def _end(
        self,
        pending: PendingRequest,
        outcome: RequestOutcome,
        reason: RefusalReason | None = None,
    ) -> None:
        self._pending_by_request.pop(pending.work.request_id, None)
        pending.is_over = True
        output = 0
        if outcome is RequestOutcome.COMPLETED:
            output = pending.request.output_tokens
        self.components.admission.finish(
            pending.work,
            self.components.policy,
            output,
            self._environment.now(),
        )
        self._record_result(pending, outcome, reason)

    def _record_result(
        self,
        pending: PendingRequest,
        outcome: RequestOutcome,
        reason: RefusalReason | None,
    ) -> None:
        now = self._environment.now()
        arrival = pending.work.arrival
        first = pending.first_token_at
        self._environment.record_result(
            RequestResult(
                int(pending.work.request_id.removeprefix('r')),
                pending.request,
                outcome,
                now - arrival,
                None if first is None else first - arrival,
                pending.attempts,
                reason,
            )
        )
