"""One entry of a replay: the real decision parts, driven in virtual time."""

from collections.abc import Sequence
from typing import NamedTuple

from verbenathread.replay.engine import Job
from verbenathread.replay.group_keeper import GroupKeeper
from verbenathread.replay.owner import Answer
from verbenathread.replay.pending import (
    EntryPlace,
    Grants,
    Pending,
    begin,
    new_work,
    progress,
)
from verbenathread.replay.policies import EngineChooser
from verbenathread.replay.results import Ending, RequestResult
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

# Sets of engines tried for one group.
_GROUP_TRIES = 6


class EntryParts(NamedTuple):
    """The decision parts of one entry."""

    chooser: EngineChooser
    admission: Admission
    retries: RetryPolicy
    outliers: OutlierTracker
    outputs: OutputEstimator
    policy: settings_pb2.PolicySettings
    tuning: Tuning
    limits_by_account: dict[str, settings_pb2.AccountSettings]


class Entry:
    """Takes requests, places attempts, and retries them."""

    def __init__(
        self, entry_id: NodeId, parts: EntryParts, place: EntryPlace
    ) -> None:
        """Start with nothing in progress."""
        self.entry_id = entry_id
        self.alive = True
        self.parts = parts
        self._place = place
        self._grants = Grants(entry_id, place, parts.chooser)
        self._groups = GroupKeeper(place, self._grants, self._send)
        self._pending_by_request: dict[str, Pending] = {}

    def arrive(self, number: int, request: TraceRequest) -> None:
        """Take one request from a caller."""
        now = self._place.now()
        work = new_work(number, request, self.parts.outputs, now)
        pending = Pending(request, work)
        refusal = self.parts.admission.admit(
            work,
            self.parts.limits_by_account[work.account],
            self.parts.policy,
            self._place.records(),
            now,
        )
        if refusal is not None:
            self._note(pending, Ending.REFUSED, refusal.reason)
            return
        self._pending_by_request[work.request_id] = pending
        self.parts.retries.record_first_attempt()
        limit = request.time_limit
        self._place.later(limit, lambda: self._time_out(pending))
        self._attempt(pending)

    def answered(
        self, upstream_id: UpstreamId, attempt_id: str, answer: Answer
    ) -> None:
        """Take the answer of an engine's owner."""
        pending = self._current(attempt_id)
        if pending is None or upstream_id not in pending.waits_at:
            if isinstance(answer, Reservation):
                self._grants.give_back(upstream_id, attempt_id)
            return
        if isinstance(answer, Queued):
            pending.note_accepted(upstream_id)
            self._queued(pending, upstream_id, answer)
            return
        pending.waits_at.discard(upstream_id)
        if isinstance(answer, Refusal):
            self._turned_away(pending, upstream_id, answer)
            return
        pending.note_accepted(upstream_id)
        if pending.claim is None:
            pending.held = (answer,)
            self._start(pending)
            return
        pending.claim.record_grant(answer)
        pending.held = pending.claim.member_reservations()
        if pending.claim.complete_reservation() is not None:
            self._start(pending)

    def owner_lost(self, upstream_ids: Sequence[UpstreamId]) -> None:
        """Ask elsewhere for what waits at an owner that is gone."""
        gone = Refusal(RefusalReason.NO_UPSTREAM, 'The owner is gone.', 1000)
        for pending in tuple(self._pending_by_request.values()):
            concerned = pending.waits_at.union(pending.upstream_ids())
            if pending.run is None and not concerned.isdisjoint(upstream_ids):
                for waits_at in tuple(pending.waits_at)[:1]:
                    self.answered(waits_at, pending.attempt_id, gone)

    def prefilled(self, attempt_id: str) -> None:
        """Take the first token of an attempt."""
        pending = self._current(attempt_id)
        if pending is None:
            return
        if pending.first_token_at is None:
            pending.first_token_at = self._place.now()
        for held in pending.held:
            self._grants.tell(held, progress(held))

    def finished(self, attempt_id: str) -> None:
        """Take the last token of an attempt."""
        pending = self._current(attempt_id)
        if pending is None:
            return
        for upstream_id in pending.upstream_ids():
            self.parts.outliers.record_success(upstream_id)
        output = pending.request.output_tokens
        self._grants.release(pending, output)
        self.parts.outputs.observe(
            pending.work.account, pending.work.service, output
        )
        self._end(pending, Ending.COMPLETED)

    def broken(self, attempt_id: str) -> None:
        """Take the loss of an engine; begin again on another."""
        pending = self._current(attempt_id)
        if pending is None:
            return
        now = self._place.now()
        for upstream_id in pending.upstream_ids():
            self.parts.outliers.record_failure(upstream_id, now)
            pending.failed.add(upstream_id)
        self._grants.release(pending, 0)
        pending.failures += 1
        step = self.parts.retries.decide(
            pending.work.deadline,
            pending.failures,
            Outcome.UNKNOWN,
            now,
            repeatable=True,
        )
        if isinstance(step, Retry):
            self._place.later(step.delay, lambda: self._attempt(pending))
            return
        self._end(pending, Ending.FAILED, step.reason)

    def die(self) -> None:
        """Lose every request in progress."""
        for pending in tuple(self._pending_by_request.values()):
            self._end(pending, Ending.LOST)
        self.alive = False

    def _current(self, attempt_id: str) -> Pending | None:
        pending = self._pending_by_request.get(attempt_id.split('.')[0])
        if pending is None or pending.attempt_id != attempt_id:
            return None
        return pending

    def _attempt(self, pending: Pending) -> None:
        """Choose engines for the next attempt, and ask the first."""
        if pending.is_over:
            return
        pending.attempts += 1
        pending.claim = None
        pending.held = ()
        work = pending.work
        records = self._place.records()
        size = group_size(
            memory_needed(work),
            records[0].memory_tokens if records else 0,
            self.parts.policy,
        )
        aside = self.parts.outliers.ejected(self._place.now())
        candidates = self.parts.chooser.choose(
            work, records, self._place.now(), pending.failed | aside, size
        )
        if size == 1:
            patience = self.parts.tuning.wait_threshold
            pending.walk = CandidateIterator(candidates, patience)
            self._ask_next(pending)
            return
        self._ask_group(pending, candidates, size)

    def _ask_next(self, pending: Pending) -> None:
        upstream_id = pending.walk.next()
        if upstream_id is None:
            self._nowhere(pending)
            return
        work = pending.work
        ask = ReservationRequest(
            work,
            pending.attempt_id,
            self.entry_id,
            memory_needed(work),
            self.parts.limits_by_account[work.account].weight,
            admitted=pending.is_admitted,
        )
        self._send(pending, upstream_id, ask)

    def _queued(
        self, pending: Pending, upstream_id: UpstreamId, answer: Queued
    ) -> None:
        """Wait there, or ask the next one."""
        if pending.claim is not None:
            return
        if pending.walk.accepts_wait(upstream_id, answer.expected_wait):
            self._look_again_later(pending, answer.expected_wait)
            return
        pending.waits_at.discard(upstream_id)
        self._grants.give_back(upstream_id, pending.attempt_id)
        self.parts.chooser.record_done(upstream_id, pending.work)
        self._ask_next(pending)

    def _look_again_later(self, pending: Pending, wait: Millis) -> None:
        """Look for another engine if this one does not grant in time."""
        parts = self.parts
        delay = reroute_delay(pending.work, wait, parts.policy, parts.tuning)
        if delay is None:
            return
        walk = pending.walk
        self._place.later(delay, lambda: self._look_again(pending, walk))

    def _look_again(self, pending: Pending, walk: CandidateIterator) -> None:
        if pending.is_over or pending.walk is not walk:
            return
        if not pending.waits_at:
            return
        self._grants.give_all_back(pending)
        self._attempt(pending)

    def _ask_group(
        self, pending: Pending, candidates: Sequence[UpstreamId], size: int
    ) -> None:
        if len(candidates) < size:
            self._nowhere(pending)
            return
        work = pending.work
        claim = GroupRequest(
            work,
            pending.attempt_id,
            self.entry_id,
            candidates[:size],
            memory_needed(work),
            work.arrival,
            admitted=pending.is_admitted,
        )
        pending.claim = claim
        self._groups.keep(pending, claim)
        for member in claim.members:
            self._send(pending, member, claim.member_request)

    def _send(
        self, pending: Pending, upstream_id: UpstreamId, ask: ReservationRequest
    ) -> None:
        pending.waits_at.add(upstream_id)
        now = self._place.now()
        self.parts.chooser.record_sent(upstream_id, ask.work, now)
        self.parts.outliers.record_sent(upstream_id, now)
        self._place.ask(self.entry_id, upstream_id, ask)

    def _turned_away(
        self, pending: Pending, upstream_id: UpstreamId, refusal: Refusal
    ) -> None:
        pending.refusal = refusal
        self.parts.chooser.record_done(upstream_id, pending.work)
        if pending.claim is None:
            self._ask_next(pending)
            return
        self._grants.give_all_back(pending)
        pending.failed.add(upstream_id)
        pending.failures += 1
        if pending.failures < _GROUP_TRIES:
            self._attempt(pending)
            return
        self._nowhere(pending)

    def _nowhere(self, pending: Pending) -> None:
        """End a request that no engine takes."""
        reason = RefusalReason.NO_UPSTREAM
        if pending.refusal is not None:
            reason = pending.refusal.reason
        ending = Ending.FAILED if pending.is_admitted else Ending.REFUSED
        self._end(pending, ending, reason)

    def _start(self, pending: Pending) -> None:
        now = self._place.now()
        if any(held.start_by <= now for held in pending.held):
            self._grants.give_all_back(pending)
            self._attempt(pending)
            return
        for held in pending.held:
            self._grants.tell(held, begin(held))
        work = pending.work
        job = Job(
            attempt_id=pending.attempt_id,
            request_id=work.request_id,
            entry_id=self.entry_id,
            prompt_tokens=work.prompt_tokens,
            output_tokens=pending.request.output_tokens,
            memory_tokens=pending.held[0].memory_tokens,
            priority=pending.held[0].priority,
            prefix_hashes=work.prefix_hashes,
            parts=len(pending.held),
        )
        pending.run = self._place.start(pending.upstream_ids(), job)

    def _time_out(self, pending: Pending) -> None:
        """Give up a request whose time limit has come."""
        if pending.is_over:
            return
        if pending.run is None:
            self._grants.give_all_back(pending)
        else:
            self._place.end(
                pending.run, lambda: self._grants.release(pending, 0)
            )
        self._end(pending, Ending.MISSED)

    def _end(
        self,
        pending: Pending,
        ending: Ending,
        reason: RefusalReason | None = None,
    ) -> None:
        self._pending_by_request.pop(pending.work.request_id, None)
        pending.is_over = True
        output = 0
        if ending is Ending.COMPLETED:
            output = pending.request.output_tokens
        self.parts.admission.finish(
            pending.work, self.parts.policy, output, self._place.now()
        )
        self._note(pending, ending, reason)

    def _note(
        self, pending: Pending, ending: Ending, reason: RefusalReason | None
    ) -> None:
        now = self._place.now()
        arrival = pending.work.arrival
        first = pending.first_token_at
        self._place.note(
            RequestResult(
                int(pending.work.request_id.removeprefix('r')),
                pending.request,
                ending,
                now - arrival,
                None if first is None else first - arrival,
                pending.attempts,
                reason,
            )
        )
