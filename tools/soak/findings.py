"""Observations of callers, workers and the operator; violations found.

A violation begins with its time in ms and the name of its rule:

BUDGET: workers got prompts with a part under which five had crashed, or a
    request under which three had
CONFIG: a change of the configuration was lost, late, undone or wrongly
    accepted, or too many final responses came after the time limit
DENIED: a valid request got a 4xx status that is not a refusal
DRAIN: a worker got a request long after its leave was acknowledged
ENDED: a process exited on its own
LEAK: an engine still holds a reservation at the end
LIMIT: two requests used the same reservation at once, or a worker got far more
    requests than the limit that it named
LOG: a log has a traceback or an unexpected error
LOST: a request got no complete response, and no unplanned fault explains it
MIXED: a response belongs to another request
ORDER: events of a stream are missing or out of order
RECOVER: a request fails although all faults have ended
REFUSED: a request ran although its response says that it never will
SOAK: the soak itself failed or hangs
STOP: a process did not end in time after SIGTERM
TWICE: a request that may run at most once ran again
UNASKED: a worker got the wrong account, or the key of a caller
"""

import collections
from typing import NamedTuple

from verbenathread.clock import Clock
from verbenathread.types import Millis

# Statuses by which a gateway guarantees that a request never runs.
NOT_RUN = frozenset((408, 421, 429, 503))
# Late final responses violate the platform's rule when there are at least
# _MIN_LATE of them and they are over a quarter of all requests that reached
# their time limit.
_MIN_LATE = 8
_LATE_DIVISOR = 4


class FaultSpan(NamedTuple):
    """The time span of a fault or of planned work."""

    target: str
    since: Millis
    # None while the fault lasts.
    until: Millis | None
    planned: bool

    def overlaps(self, since: Millis, until: Millis) -> bool:
        """Return whether the fault was active at any time in a span."""
        ended = self.until is not None and self.until < since
        return self.since <= until and not ended


class Findings:
    """Records injected faults, runs at workers, and violations."""

    def __init__(self, clock: Clock) -> None:
        """Start with no faults and no violations."""
        self._clock = clock
        self.violations: list[str] = []
        self._span_by_id: dict[int, FaultSpan] = {}
        # Ids of the attempts that reached a worker.
        self.arrived: set[str] = set()
        # Number of runs of each attempt that may run at most once.
        self.runs: collections.Counter[str] = collections.Counter()
        self._promised_not_run: set[str] = set()
        self.outcomes: collections.Counter[str] = collections.Counter()
        self._late_count = 0
        self._timed_out_count = 0

    def report_violation(self, rule: str, detail: str) -> None:
        """Record the violation of a guarantee."""
        self.violations.append(f'{self._clock.now()} {rule}: {detail}')

    def begin_fault(self, target: str, *, planned: bool = False) -> int:
        """Record the start of a fault; return the id for `end_fault`."""
        span_id = len(self._span_by_id)
        self._span_by_id[span_id] = FaultSpan(
            target, self._clock.now(), None, planned
        )
        return span_id

    def end_fault(self, span_id: int) -> None:
        """Record the end of a fault."""
        span = self._span_by_id[span_id]
        self._span_by_id[span_id] = span._replace(until=self._clock.now())

    def is_fault_free(
        self,
        since: Millis,
        until: Millis,
        *,
        ignore_planned: bool = False,
        ignored_target: str = '',
    ) -> bool:
        """Return whether no fault overlaps the span.

        ``ignore_planned`` leaves planned work out of account, and
        ``ignored_target`` the faults of this name.
        """
        for span in self._span_by_id.values():
            if ignore_planned and span.planned:
                continue
            if span.target == ignored_target:
                continue
            if span.overlaps(since, until):
                return False
        return True

    def record_run(self, attempt_id: str) -> None:
        """Count a run of an attempt that may run at most once."""
        self.runs[attempt_id] += 1
        if self.runs[attempt_id] > 1:
            self.report_violation('TWICE', attempt_id)

    def record_answer(self, attempt_id: str, status: int) -> None:
        """Record the response to an attempt that may run at most once."""
        if status in NOT_RUN:
            self._promised_not_run.add(attempt_id)

    def record_timed_out(self, *, late: bool) -> None:
        """Count a request that reached the time limit of its route."""
        self._timed_out_count += 1
        self._late_count += late

    def finish(self) -> None:
        """Check the guarantees that only the whole run can show."""
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
