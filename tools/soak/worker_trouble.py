"""Workers that crash under one part of prompts, or that name a limit."""

from tools.soak.findings import Findings
from verbenathread.clock import Clock
from verbenathread.types import Millis

# Workers crash as they begin to answer a prompt with this part.
CRASHING_PART = 'bad0'
# The fault that such a crash is for everything else.
CRASH_FAULT = 'crashing part'
# All gateways that no fault affects know of either trouble after this time.
_CONTACT_TIME: Millis = 3000
_COUNTED_CRASHES = 5
_MAX_LATER_SENDS = 3
# A worker may get so much more than its limit in a span of this length.
_LIMIT_SPAN: Millis = 4000
_LIMIT_TOLERANCE = 1.5
_EXTRA_REQUESTS = 5
_MS_PER_SECOND = 1000


class CrashingPart:
    """Counts the sends with the crashing part after the fifth crash."""

    def __init__(self, findings: Findings, clock: Clock) -> None:
        """Report to ``findings``."""
        self._findings = findings
        self._clock = clock
        self._crash_times: list[Millis] = []
        self._later_sends = 0

    def record_arrival(self, attempt_id: str) -> None:
        """Check a request with the part that reached a worker."""
        now = self._clock.now()
        if len(self._crash_times) < _COUNTED_CRASHES:
            return
        known_at = self._crash_times[_COUNTED_CRASHES - 1] + _CONTACT_TIME
        is_calm = self._findings.is_fault_free(
            now - _CONTACT_TIME, now, ignored_target=CRASH_FAULT
        )
        if now <= known_at or not is_calm:
            return
        self._later_sends += 1
        if self._later_sends > _MAX_LATER_SENDS:
            self._findings.report_violation('BUDGET', attempt_id)

    def record_crash(self) -> None:
        """Record that a worker crashed under the part."""
        self._crash_times.append(self._clock.now())


class NamedLimit:
    """The limit that one worker names, and what it gets."""

    def __init__(
        self, worker_id: str, rate: float, findings: Findings, clock: Clock
    ) -> None:
        """Name ``rate`` requests a second from now on."""
        self.rate = rate
        self._worker_id = worker_id
        self._findings = findings
        self._clock = clock
        self._named_at = clock.now()
        self._arrivals: list[Millis] = []

    def record_arrival(self) -> None:
        """Check the span that ends with this request."""
        now = self._clock.now()
        if now < self._named_at + _CONTACT_TIME:
            return
        self._arrivals.append(now)
        begin = now - _LIMIT_SPAN
        count = sum(1 for arrived_at in self._arrivals if arrived_at > begin)
        rate = self.rate * _LIMIT_SPAN / _MS_PER_SECOND
        allowed = _LIMIT_TOLERANCE * rate + _EXTRA_REQUESTS
        is_calm = self._findings.is_fault_free(
            begin - _CONTACT_TIME, now, ignore_planned=True
        )
        if count > allowed and is_calm:
            self._findings.report_violation(
                'LIMIT', f'{self._worker_id} got {count}, allowed {allowed}'
            )
