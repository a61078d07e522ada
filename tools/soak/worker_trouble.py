"""Workers that crash under some requests, or that name a limit."""

from types import MappingProxyType

from tools.soak.findings import Findings
from verbenathread.clock import Clock
from verbenathread.types import Millis

# Workers crash as they begin to answer a prompt with this part.
CRASHING_PART = 'bad0'
# Workers crash as they run a request with this path.
CRASHING_PATH = '/check/bad'
# The fault that such a crash is for everything else.
CRASH_FAULT = 'crashing request'
# All gateways that no fault affects know of either trouble after this time.
_CONTACT_TIME: Millis = 3000
_COUNTED_CRASHES_BY_REASON = MappingProxyType(
    {CRASHING_PART: 5, CRASHING_PATH: 3}
)
_MAX_LATER_SENDS = 3
# A worker may get so much more than its limit in a span of this length.
_LIMIT_SPAN: Millis = 4000
_LIMIT_TOLERANCE = 1.5
_EXTRA_REQUESTS = 5
_MS_PER_SECOND = 1000


class CrashingRequests:
    """Counts the requests that workers get after enough have crashed.

    The reason of a crash is the part or the path that crashes workers.
    """

    def __init__(self, findings: Findings, clock: Clock) -> None:
        """Report to ``findings``."""
        self._findings = findings
        self._clock = clock
        self._crash_times_by_reason: dict[str, list[Millis]] = {}
        self._later_sends_by_reason: dict[str, int] = {}

    def record_arrival(self, reason: str, attempt_id: str) -> None:
        """Check a request that reached a worker."""
        now = self._clock.now()
        crash_times = self._crash_times_by_reason.get(reason, [])
        counted_crashes = _COUNTED_CRASHES_BY_REASON[reason]
        if len(crash_times) < counted_crashes:
            return
        known_at = crash_times[counted_crashes - 1] + _CONTACT_TIME
        is_calm = self._findings.is_fault_free(
            now - _CONTACT_TIME, now, ignored_target=CRASH_FAULT
        )
        if now <= known_at or not is_calm:
            return
        later_sends = self._later_sends_by_reason.get(reason, 0) + 1
        self._later_sends_by_reason[reason] = later_sends
        if later_sends > _MAX_LATER_SENDS:
            self._findings.report_violation('BUDGET', f'{reason} {attempt_id}')

    def record_crash(self, reason: str) -> None:
        """Record that a worker crashed."""
        self._crash_times_by_reason.setdefault(reason, []).append(
            self._clock.now()
        )


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
