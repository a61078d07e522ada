"""What callers, workers and the operator saw, and which promises broke."""

import collections
from typing import NamedTuple

from verbenathread.clock import Clock
from verbenathread.types import Millis

# Statuses by which a gateway promises that a request never runs.
NOT_RUN = frozenset((408, 421, 429, 503))
# The platform's rule on final answers: so many that are late, and over a
# quarter of all that reached their limit.
_FEW = 8
_QUARTER = 4


class Harm(NamedTuple):
    """A fault, from its begin to its end."""

    target: str
    since: Millis
    # None while it lasts.
    until: Millis | None
    planned: bool

    def touches(self, since: Millis, until: Millis) -> bool:
        """Tell whether it lasted at any moment of a span."""
        ended = self.until is not None and self.until < since
        return self.since <= until and not ended


class Findings:
    """Faults that were played, runs at workers, and broken promises."""

    def __init__(self, clock: Clock) -> None:
        """Start without any."""
        self._clock = clock
        self.breaches: list[str] = []
        self._harm_by_id: dict[int, Harm] = {}
        # Attempts that reached a worker.
        self.arrived: set[str] = set()
        # How often workers ran each attempt of a caller that may run once.
        self.runs: collections.Counter[str] = collections.Counter()
        self._promised: set[str] = set()
        self.outcomes: collections.Counter[str] = collections.Counter()
        self._late = 0
        self._timed = 0

    def breach(self, rule: str, detail: str) -> None:
        """Note a broken promise."""
        self.breaches.append(f'{self._clock.now()} {rule}: {detail}')

    def begin(self, target: str, *, planned: bool = False) -> int:
        """Note that a fault begins; return what ends it."""
        harm_id = len(self._harm_by_id)
        self._harm_by_id[harm_id] = Harm(
            target, self._clock.now(), None, planned
        )
        return harm_id

    def end(self, harm_id: int) -> None:
        """Note that a fault has ended."""
        harm = self._harm_by_id[harm_id]
        self._harm_by_id[harm_id] = harm._replace(until=self._clock.now())

    def is_calm(
        self, since: Millis, until: Millis, *, but_planned: bool = False
    ) -> bool:
        """Tell whether no fault touched the span, planned work aside."""
        for harm in self._harm_by_id.values():
            if but_planned and harm.planned:
                continue
            if harm.touches(since, until):
                return False
        return True

    def ran(self, attempt_id: str) -> None:
        """Count a run of an attempt that may run once."""
        self.runs[attempt_id] += 1
        if self.runs[attempt_id] > 1:
            self.breach('TWICE', attempt_id)

    def answered(self, attempt_id: str, status: int) -> None:
        """Note the answer to an attempt that may run once."""
        if status in NOT_RUN:
            self._promised.add(attempt_id)

    def timed(self, *, late: bool) -> None:
        """Count a request that reached its route's time limit."""
        self._timed += 1
        self._late += late

    def close(self) -> None:
        """Check what can be told at the end only."""
        for attempt_id in self._promised:
            if self.runs[attempt_id]:
                self.breach('REFUSED', f'{attempt_id} ran')
        if self._late >= _FEW and self._late * _QUARTER > self._timed:
            self.breach('CONFIG', f'{self._late} of {self._timed} are late')
