"""Memory and queue of one engine, kept by the entry that owns its lease.

The ledger grants each token of memory only once. It is not thread-safe, and
no call blocks.
"""

from collections.abc import Iterable

from verbenathread.clock import Clock
from verbenathread.scheduling import forecast
from verbenathread.scheduling.estimates import PrefillCost
from verbenathread.scheduling.granting import (
    GrantPass,
    ProtectedStart,
    memory_ahead,
    must_yield,
    required_headroom,
)
from verbenathread.scheduling.holds import (
    Hold,
    HoldTable,
    make_hold,
    make_reservation_id,
)
from verbenathread.scheduling.messages import (
    EngineHold,
    EngineReport,
    Queued,
    ReservationRequest,
)
from verbenathread.scheduling.prefill_usage import BusyPeriodMeter, PrefillUsage
from verbenathread.scheduling.queueing import (
    QueuedRequest,
    RequestQueue,
    make_queued_request,
)
from verbenathread.scheduling.tuning import CURRENT, Tuning
from verbenathread.schema import settings_pb2
from verbenathread.types import (
    LengthClass,
    Millis,
    NodeId,
    Refusal,
    RefusalReason,
    Reservation,
    UpstreamId,
    Work,
)

# A granted attempt that has not started within this time loses its memory.
START_TIMEOUT: Millis = 2000
# A hold of a group expires after this time unless its entry renews it.
GROUP_LEASE: Millis = 6000
# Interval between passes over the queue while no event triggers one.
TICK_INTERVAL: Millis = 250
_US_PER_MS = 1000
# Tokens whose prefill time a load report states.
_REPORTED_PREFILL_TOKENS = 1000


class EngineLedger:
    """Exact accounting of the memory and the queue of one engine."""

    def __init__(
        self,
        upstream_id: UpstreamId,
        memory_tokens: int,
        policy: settings_pb2.PolicySettings,
        clock: Clock,
        tuning: Tuning = CURRENT,
    ) -> None:
        """Start with all memory free and an empty queue."""
        self.upstream_id = upstream_id
        self.memory_tokens = memory_tokens
        self.policy = policy
        self.cost = PrefillCost()
        self._clock = clock
        self._tuning = tuning
        self._holds = HoldTable(memory_tokens)
        self._queue = RequestQueue(tuning)
        self._granted: list[Reservation] = []
        self._protected_start = ProtectedStart()
        self._prefill_usage = PrefillUsage()
        self._busy_periods = BusyPeriodMeter(self.cost)
        self._sequence = 0

    @property
    def free_tokens(self) -> int:
        """Return the free memory in tokens."""
        return self._holds.free_tokens

    def reserve(
        self, request: ReservationRequest
    ) -> Reservation | Queued | Refusal:
        """Grant a request, queue it, or refuse it for good.

        A resent request returns the state of the first one.
        """
        now = self._clock.now()
        held = self._holds.get(
            make_reservation_id(self.upstream_id, request.attempt_id)
        )
        if held is not None:
            return held.reservation
        queued = self._queue.get(request.attempt_id)
        if queued is None:
            queued = make_queued_request(
                request, self.cost, self.policy, self._tuning, now
            )
            queued = self._queue.with_virtual_finish(queued)
            refusal = self._refusal(queued, now)
            if refusal is not None:
                return refusal
            self._queue.add(queued)
        return self._grant_or_queue(queued, now)

    def cancel(self, attempt_id: str) -> None:
        """Remove a queued request, or a grant that has not started."""
        self._queue.remove(attempt_id)
        self._granted = [
            granted
            for granted in self._granted
            if granted.attempt_id != attempt_id
        ]
        hold = self._holds.get(
            make_reservation_id(self.upstream_id, attempt_id)
        )
        if hold is not None and hold.started_at is None:
            self._remove_hold(hold)

    def mark_started(self, reservation_id: str) -> None:
        """Record that the engine has accepted the attempt."""
        hold = self._holds.get(reservation_id)
        if hold is None or hold.started_at is not None:
            return
        now = self._clock.now()
        self._busy_periods.record_start(now)
        self._holds.put(hold._replace(started_at=now))

    def renew(self, reservation_id: str) -> Millis | None:
        """Renew the lease of a group's hold.

        Returns the new start deadline. None if the hold has expired or
        yields to a group that precedes its own; the entry then requests it
        again.
        """
        hold = self._holds.get(reservation_id)
        if hold is None:
            return None
        if hold.started_at is None and must_yield(hold, self._queue):
            self._remove_hold(hold)
            return None
        start_by = self._clock.now() + GROUP_LEASE
        renewed = hold.reservation._replace(start_by=start_by)
        self._holds.put(hold._replace(reservation=renewed))
        return start_by

    def record_progress(self, reservation_id: str, output_tokens: int) -> None:
        """Record the output so far; the first token ends the prefill."""
        hold = self._holds.get(reservation_id)
        if hold is None:
            return
        now = self._clock.now()
        if hold.first_token_at is None:
            self._busy_periods.record_first_token(hold, now)
            hold = hold._replace(first_token_at=now)
        self._holds.put(hold._replace(output_tokens=output_tokens))

    def release(self, reservation_id: str, output_tokens: int) -> None:
        """Free the memory of a hold; releasing it again has no effect."""
        hold = self._holds.get(reservation_id)
        if hold is None:
            return
        if hold.first_token_at is not None:
            duration = self._clock.now() - hold.first_token_at
            self.cost.observe_output(duration, output_tokens - 1)
        self._remove_hold(hold)

    def take_grants(self) -> list[Reservation]:
        """Grant what can be granted; return all grants since the last call."""
        now = self._clock.now()
        for expired in self._holds.expired(now):
            self._remove_hold(expired)
        self._grant_queued(now)
        granted = self._granted
        self._granted = []
        return granted

    def next_tick(self) -> Millis | None:
        """Return when to call :meth:`take_grants` if nothing else happens."""
        deadlines = [
            hold.reservation.start_by
            for hold in self._holds
            if hold.started_at is None
        ]
        if len(self._queue):
            deadlines.append(self._clock.now() + TICK_INTERVAL)
        return min(deadlines, default=None)

    def drop_entry(self, entry_id: NodeId) -> list[Reservation]:
        """Remove the requests and unstarted holds of an entry that is gone.

        Returns its started reservations: the caller cancels each at the
        engine and releases it once the engine confirms.
        """
        for queued in self._queue.ordered():
            if queued.request.entry_id == entry_id:
                self._queue.remove(queued.request.attempt_id)
        started = []
        for hold in self._holds:
            if hold.request.entry_id != entry_id:
                continue
            if hold.started_at is None:
                self._remove_hold(hold)
                continue
            started.append(hold.reservation)
        return started

    def restore(self, engine_holds: Iterable[EngineHold]) -> None:
        """Load what the engine holds, at takeover of its lease."""
        now = self._clock.now()
        for listed in engine_holds:
            work = Work(
                request_id=listed.attempt_id,
                account='',
                service='',
                prompt_tokens=listed.prompt_tokens,
                most_output_tokens=0,
                expected_output_tokens=listed.output_tokens,
                deadline=now,
                arrival=now,
            )
            request = ReservationRequest(
                work, listed.attempt_id, listed.entry_id, listed.memory_tokens
            )
            hold = self._make_hold(
                make_queued_request(
                    request, self.cost, self.policy, self._tuning, now
                ),
                now,
            )
            first_token_at = now if listed.output_tokens else None
            self._holds.put(
                hold._replace(started_at=now, first_token_at=first_token_at)
            )

    def report(self) -> EngineReport:
        """Return the load report that the owner gossips."""
        now = self._clock.now()
        self._sequence += 1
        backlog = forecast.backlog_by_class(self._holds, self._queue, now)
        return EngineReport(
            upstream_id=self.upstream_id,
            sequence=self._sequence,
            memory_tokens=self.memory_tokens,
            free_tokens=self._holds.free_tokens,
            running=len(self._holds),
            queued=len(self._queue),
            backlog_by_class=backlog,
            granted_by_class=self._prefill_usage.granted_by_class(),
            prefill_us=int(
                self.cost.prefill(_REPORTED_PREFILL_TOKENS) * _US_PER_MS
            ),
            output_us=int(self.cost.output(1) * _US_PER_MS),
        )

    def _refusal(self, queued: QueuedRequest, now: Millis) -> Refusal | None:
        request = queued.request
        if request.memory_tokens > self._max_memory(queued.length):
            return Refusal(
                RefusalReason.TOO_LONG,
                'The prompt and its maximum output do not fit in the memory of'
                ' one engine; shorten them.',
                0,
            )
        if request.admitted:
            return None
        wait_forecast = self._forecast(now)
        wait = wait_forecast.wait(queued, self._required_memory(queued))
        if len(self._queue) >= self.policy.queue_limit:
            return Refusal(
                RefusalReason.OVERLOADED,
                'The queue of the engine is full; retry later.',
                wait_forecast.half_drain_time(),
            )
        expected = wait + wait_forecast.prefill_time(queued) + queued.output_ms
        late = int(now + expected) - request.work.deadline
        if self._tuning.refuse_late and late > 0:
            return Refusal(
                RefusalReason.DEADLINE,
                'The time limit cannot be met; retry later or allow more.',
                late,
            )
        return None

    def _grant_or_queue(
        self, queued: QueuedRequest, now: Millis
    ) -> Reservation | Queued:
        self._grant_queued(now)
        for reservation in self._granted:
            if reservation.attempt_id == queued.request.attempt_id:
                self._granted.remove(reservation)
                return reservation
        wait_forecast = self._forecast(now)
        return Queued(
            int(wait_forecast.wait(queued, self._required_memory(queued)))
        )

    def _forecast(self, now: Millis) -> forecast.WaitForecast:
        return forecast.WaitForecast(
            self._holds, self._queue, self._prefill_usage, self._tuning, now
        )

    def _max_memory(self, length: LengthClass) -> int:
        """Return the maximum memory for one prompt of a class."""
        if length == LengthClass.SHORT:
            return self.memory_tokens
        return int(self.memory_tokens * (1 - self.policy.short_headroom))

    def _required_memory(self, queued: QueuedRequest) -> int:
        """Return the memory that must be free before a request's turn."""
        headroom = required_headroom(self._holds, queued.length, self.policy)
        ahead = memory_ahead(self._queue, queued)
        return queued.request.memory_tokens + headroom + ahead

    def _grant_queued(self, now: Millis) -> None:
        """Run one pass over the queue and grant what may be granted."""
        if not len(self._queue):
            return
        grant_pass = GrantPass(self._holds, self.policy, self._tuning, now)
        grant_pass.protect_oldest(self._queue, self._protected_start)
        for queued in self._queue.ordered():
            if grant_pass.is_closed:
                break
            if grant_pass.accept(queued):
                self._grant(queued, now)

    def _grant(self, queued: QueuedRequest, now: Millis) -> None:
        self._queue.remove(queued.request.attempt_id)
        hold = self._make_hold(queued, now)
        self._holds.put(hold)
        self._prefill_usage.record(queued, now)
        self._granted.append(hold.reservation)

    def _make_hold(self, queued: QueuedRequest, now: Millis) -> Hold:
        lease = GROUP_LEASE if queued.request.group else START_TIMEOUT
        priority = queued.level if self._tuning.engine_priority else 0
        return make_hold(queued, self.upstream_id, priority, now, now + lease)

    def _remove_hold(self, hold: Hold) -> None:
        self._holds.remove(hold)
        self._busy_periods.record_drop(hold, self._clock.now())
