"""Memory and queue of one engine, kept by the entry that owns its lease.

The ledger promises each token of memory once. It is a plain object: one
thread calls it, and it waits for nothing.
"""

from collections.abc import Iterable

from verbenathread.clock import Clock
from verbenathread.scheduling import forecast
from verbenathread.scheduling.estimates import PrefillCost
from verbenathread.scheduling.granting import (
    Granter,
    Promise,
    ahead_of,
    kept_for_short,
    must_yield,
)
from verbenathread.scheduling.holds import (
    Hold,
    HoldBook,
    make_hold,
    reservation_id,
)
from verbenathread.scheduling.messages import (
    EngineHold,
    EngineReport,
    Queued,
    ReservationRequest,
)
from verbenathread.scheduling.queueing import Waiting, WaitQueue, make_waiting
from verbenathread.scheduling.tuning import CURRENT, Tuning
from verbenathread.scheduling.usage import BusyMeter, ClassUse
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

# A granted attempt must reach the engine within this time.
START_TIMEOUT: Millis = 2000
# A hold of a group lives this long unless its entry renews it.
GROUP_LEASE: Millis = 6000
# How often waiting asks are looked at when nothing else happens.
TICK: Millis = 250
_US_PER_MS = 1000
_SAMPLE_TOKENS = 1000


class EngineLedger:
    """Exact memory and queue of one engine."""

    def __init__(
        self,
        upstream_id: UpstreamId,
        memory_tokens: int,
        policy: settings_pb2.PolicySettings,
        clock: Clock,
        tuning: Tuning = CURRENT,
    ) -> None:
        """Start with all memory free and nobody waiting."""
        self.upstream_id = upstream_id
        self.memory_tokens = memory_tokens
        self.policy = policy
        self.cost = PrefillCost()
        self._clock = clock
        self._tuning = tuning
        self._book = HoldBook(memory_tokens)
        self._queue = WaitQueue(tuning)
        self._granted: list[Reservation] = []
        self._promise = Promise()
        self._use = ClassUse()
        self._busy = BusyMeter(self.cost)
        self._sequence = 0

    @property
    def free_tokens(self) -> int:
        """Return the memory that nobody holds."""
        return self._book.free

    def reserve(
        self, request: ReservationRequest
    ) -> Reservation | Queued | Refusal:
        """Grant memory, queue the ask, or refuse it for good.

        A resent ask gets the state of the first one.
        """
        now = self._clock.now()
        held = self._book.get(
            reservation_id(self.upstream_id, request.attempt_id)
        )
        if held is not None:
            return held.reservation
        waiting = self._queue.get(request.attempt_id)
        if waiting is None:
            waiting = make_waiting(
                request, self.cost, self.policy, self._tuning, now
            )
            waiting = self._queue.placed(waiting)
            refusal = self._refusal(waiting, now)
            if refusal is not None:
                return refusal
            self._queue.add(waiting)
        return self._grant_or_queue(waiting, now)

    def cancel(self, attempt_id: str) -> None:
        """Forget an ask that waits, and a grant that never started."""
        self._queue.remove(attempt_id)
        self._granted = [
            granted
            for granted in self._granted
            if granted.attempt_id != attempt_id
        ]
        hold = self._book.get(reservation_id(self.upstream_id, attempt_id))
        if hold is not None and hold.started_at is None:
            self._drop(hold)

    def mark_started(self, reservation: str) -> None:
        """Note that the engine has taken the attempt."""
        hold = self._book.get(reservation)
        if hold is None or hold.started_at is not None:
            return
        now = self._clock.now()
        self._busy.begin(now)
        self._book.keep(hold._replace(started_at=now))

    def renew(self, reservation: str) -> Millis | None:
        """Renew the lease of a group's hold.

        None if it has run out, or if it yields to a group that comes before
        it; the entry then asks for it again.
        """
        hold = self._book.get(reservation)
        if hold is None:
            return None
        if hold.started_at is None and must_yield(hold, self._queue):
            self._drop(hold)
            return None
        start_by = self._clock.now() + GROUP_LEASE
        renewed = hold.reservation._replace(start_by=start_by)
        self._book.keep(hold._replace(reservation=renewed))
        return start_by

    def record_progress(self, reservation: str, output_tokens: int) -> None:
        """Note the output so far; the first token ends the prefill."""
        hold = self._book.get(reservation)
        if hold is None:
            return
        now = self._clock.now()
        if hold.first_token_at is None:
            self._busy.prefilled(hold, now)
            hold = hold._replace(first_token_at=now)
        self._book.keep(hold._replace(output_tokens=output_tokens))

    def release(self, reservation: str, output_tokens: int) -> None:
        """Take the memory back; a second release changes nothing."""
        hold = self._book.get(reservation)
        if hold is None:
            return
        if hold.first_token_at is not None:
            duration = self._clock.now() - hold.first_token_at
            self.cost.observe_output(duration, output_tokens - 1)
        self._drop(hold)

    def take_grants(self) -> list[Reservation]:
        """Return the grants made since the last call."""
        now = self._clock.now()
        for late in self._book.expired(now):
            # It can't start any more.
            self._drop(late)
        self._pump(now)
        granted = self._granted
        self._granted = []
        return granted

    def next_tick(self) -> Millis | None:
        """Return when to call :meth:`ready` again, if nothing happens."""
        moments = [
            hold.reservation.start_by
            for hold in self._book
            if hold.started_at is None
        ]
        if len(self._queue):
            moments.append(self._clock.now() + TICK)
        return min(moments, default=None)

    def drop_entry(self, entry_id: NodeId) -> list[Reservation]:
        """Forget the asks of an entry that is gone.

        Returns what it had started: the caller cancels each at the engine
        and releases it once the engine confirms.
        """
        for waiting in self._queue.ordered():
            if waiting.ask.entry_id == entry_id:
                self._queue.remove(waiting.ask.attempt_id)
        started = []
        for hold in self._book:
            if hold.ask.entry_id != entry_id:
                continue
            if hold.started_at is None:
                self._drop(hold)
                continue
            started.append(hold.reservation)
        return started

    def restore(self, holds: Iterable[EngineHold]) -> None:
        """Start from what the engine holds, at takeover of its lease."""
        now = self._clock.now()
        for listed in holds:
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
            ask = ReservationRequest(
                work, listed.attempt_id, listed.entry_id, listed.memory_tokens
            )
            hold = self._hold(
                make_waiting(ask, self.cost, self.policy, self._tuning, now),
                now,
            )
            first_token_at = now if listed.output_tokens else None
            self._book.keep(
                hold._replace(started_at=now, first_token_at=first_token_at)
            )

    def report(self) -> EngineReport:
        """Return the load digest that the owner gossips."""
        now = self._clock.now()
        self._sequence += 1
        backlog = forecast.backlog_by_class(self._book, self._queue, now)
        return EngineReport(
            upstream_id=self.upstream_id,
            sequence=self._sequence,
            memory_tokens=self.memory_tokens,
            free_tokens=self._book.free,
            running=len(self._book),
            queued=len(self._queue),
            backlog_by_class=backlog,
            granted_by_class=self._use.granted_by_class(),
            prefill_us=int(self.cost.prefill(_SAMPLE_TOKENS) * _US_PER_MS),
            output_us=int(self.cost.output(1) * _US_PER_MS),
        )

    def _refusal(self, waiting: Waiting, now: Millis) -> Refusal | None:
        ask = waiting.ask
        if ask.memory_tokens > self._most_for(waiting.length):
            return Refusal(
                RefusalReason.TOO_LONG,
                'The prompt is longer than the engine; split it.',
                0,
            )
        if ask.admitted:
            return None
        outlook = self._outlook(now)
        wait = outlook.wait(waiting, self._needed(waiting))
        if len(self._queue) >= self.policy.queue_limit:
            return Refusal(
                RefusalReason.OVERLOADED,
                'The queue of the engine is full; retry later.',
                outlook.drain(),
            )
        expected = wait + outlook.service(waiting) + waiting.output
        late = int(now + expected) - ask.work.deadline
        if self._tuning.refuse_late and late > 0:
            return Refusal(
                RefusalReason.DEADLINE,
                'The time limit cannot be met; retry later or allow more.',
                late,
            )
        return None

    def _grant_or_queue(
        self, waiting: Waiting, now: Millis
    ) -> Reservation | Queued:
        self._pump(now)
        for reservation in self._granted:
            if reservation.attempt_id == waiting.ask.attempt_id:
                self._granted.remove(reservation)
                return reservation
        outlook = self._outlook(now)
        return Queued(int(outlook.wait(waiting, self._needed(waiting))))

    def _outlook(self, now: Millis) -> forecast.Outlook:
        return forecast.Outlook(
            self._book, self._queue, self._use, self._tuning, now
        )

    def _most_for(self, length: LengthClass) -> int:
        """Return the most memory that one prompt of a class may hold."""
        if length == LengthClass.SHORT:
            return self.memory_tokens
        return int(self.memory_tokens * (1 - self.policy.short_headroom))

    def _needed(self, waiting: Waiting) -> int:
        """Return the memory that must be free before an ask has its turn."""
        kept = kept_for_short(self._book, waiting.length, self.policy)
        ahead = ahead_of(self._queue, waiting)
        return waiting.ask.memory_tokens + kept + ahead

    def _pump(self, now: Millis) -> None:
        """Grant memory to those that may have it now."""
        if not len(self._queue):
            return
        granter = Granter(self._book, self.policy, self._tuning, now)
        granter.protect(self._queue, self._promise)
        for waiting in self._queue.ordered():
            if granter.is_shut:
                break
            if granter.may_have(waiting):
                self._grant(waiting, now)

    def _grant(self, waiting: Waiting, now: Millis) -> None:
        self._queue.remove(waiting.ask.attempt_id)
        hold = self._hold(waiting, now)
        self._book.keep(hold)
        self._use.note(waiting, now)
        self._granted.append(hold.reservation)

    def _hold(self, waiting: Waiting, now: Millis) -> Hold:
        lease = GROUP_LEASE if waiting.ask.group else START_TIMEOUT
        priority = waiting.level if self._tuning.engine_priority else 0
        return make_hold(waiting, self.upstream_id, priority, now, now + lease)

    def _drop(self, hold: Hold) -> None:
        self._book.drop(hold)
        self._busy.dropped(hold, self._clock.now())
