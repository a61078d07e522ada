"""What callers, workers and the operator saw, and which promises broke."""

import collections
from typing import NamedTuple

from verbenathread.clock import Clock
from verbenathread.types import Millis

# Statuses by which a gateway promises that a request never runs.
NOT_RUN = frozenset((408, 421, 429, 503))
# The platform's rule on final answers: so many that are late, and over a
# quarter of all that reached their limit.
_MIN_LATE = 8
_LATE_DIVISOR = 4


class FaultSpan(NamedTuple):
    """A fault, from its begin to its end."""

    target: str
    since: Millis
    # None while it lasts.
    until: Millis | None
    planned: bool

    def overlaps(self, since: Millis, until: Millis) -> bool:
        """Tell whether it lasted at any moment of a span."""
        ended = self.until is not None and self.until < since
        return self.since <= until and not ended


class Findings:
    """Faults that were played, runs at workers, and broken promises."""

    def __init__(self, clock: Clock) -> None:
        """Start without any."""
        self._clock = clock
        self.violations: list[str] = []
        self._span_by_id: dict[int, FaultSpan] = {}
        # Attempts that reached a worker.
        self.arrived: set[str] = set()
        # How often workers ran each attempt of a caller that may run once.
        self.runs: collections.Counter[str] = collections.Counter()
        self._promised_not_run: set[str] = set()
        self.outcomes: collections.Counter[str] = collections.Counter()
        self._late_count = 0
        self._timed_out_count = 0

    def report_violation(self, rule: str, detail: str) -> None:
        """Note a broken promise."""
        self.violations.append(f'{self._clock.now()} {rule}: {detail}')

    def begin_fault(self, target: str, *, planned: bool = False) -> int:
        """Note that a fault begins; return what ends it."""
        harm_id = len(self._span_by_id)
        self._span_by_id[harm_id] = FaultSpan(
            target, self._clock.now(), None, planned
        )
        return harm_id

    def end_fault(self, harm_id: int) -> None:
        """Note that a fault has ended."""
        harm = self._span_by_id[harm_id]
        self._span_by_id[harm_id] = harm._replace(until=self._clock.now())

    def is_fault_free(
        self, since: Millis, until: Millis, *, ignore_planned: bool = False
    ) -> bool:
        """Tell whether no fault touched the span, planned work aside."""
        for harm in self._span_by_id.values():
            if ignore_planned and harm.planned:
                continue
            if harm.overlaps(since, until):
                return False
        return True

    def record_run(self, attempt_id: str) -> None:
        """Count a run of an attempt that may run once."""
        self.runs[attempt_id] += 1
        if self.runs[attempt_id] > 1:
            self.report_violation('TWICE', attempt_id)

    def record_answer(self, attempt_id: str, status: int) -> None:
        """Note the answer to an attempt that may run once."""
        if status in NOT_RUN:
            self._promised_not_run.add(attempt_id)

    def record_timed_out(self, *, late: bool) -> None:
        """Count a request that reached its route's time limit."""
        self._timed_out_count += 1
        self._late_count += late

    def finish(self) -> None:
        """Check what can be told at the end only."""
        for attempt_id in self._promised_not_run:
            if self.runs[attempt_id]:
                self.report_violation('REFUSED', f'{attempt_id} ran')
        if (
            self._late_count >= _MIN_LATE
            and self._late_count * _LATE_DIVISOR > self._timed_out_count
        ):
            self.report_violation(
                'CONFIG',
                f'{self._late_count} of {self._timed_out_count} are late',
            )
