"""Finds what requests have in common under which workers crash.

Designed for one part of prompts, or one repeated request, that crashes every
worker that answers it, beside sound requests that share the other parts, and
beside workers that crash on their own. Several requests run on a worker, so one
crash ends sound sends too. A whole request, by its key, counts as one more
part. A part is found by what the crashes have in common and no complete answer
has:

- Only crashes since the last complete answer to a prompt with a part count
  against that part. Widely used parts are completed all the time.
- A crash counts once per incarnation of a worker. Crashes at the same moment,
  as after the loss of a rack, count as one observation.
- Of several parts, the one that explains most crashes is found. Parts that
  explain the same crashes are found as a group: only requests with all of them
  are concerned, and later crashes or complete answers tell them apart.
- A found request explains crashes under other requests that ran on the same
  workers, but not under shared parts, which may be the cause of several.
"""

from collections import deque
from collections.abc import Container, Iterable
from typing import NamedTuple

from verbenathread.serving.request_key import is_request_key
from verbenathread.types import Millis

# How long a found group of parts is kept from workers.
QUARANTINE_TIME: Millis = 3_600_000
# The same for a request. A single crash afterwards, before a complete answer,
# finds it again, so a trial costs a worker if the finding was right, and a wrong
# one ends soon.
REQUEST_QUARANTINE_TIME: Millis = 60_000
# The same for a request that was found again.
_REPEATED_QUARANTINE_TIME: Millis = 600_000
# Found groups that are kept; the oldest are dropped first.
MAX_GROUPS = 64
# Crashed workers, and moments at which they crashed, that a finding needs: one
# of these pairs. Prompts that come in a burst crash many workers at few moments.
_SUFFICIENT = ((4, 3), (5, 2))
# The same for a request: sound ones rarely run on several crashing workers.
_SUFFICIENT_FOR_REQUEST = ((3, 2),)
# The same for a part of a group that was found before.
_SUFFICIENT_FOR_KNOWN = ((2, 2),)
# The same for a request that was found before and is tried again.
_SUFFICIENT_ON_PROBATION = ((1, 1),)
# Crashed workers that make a part suspect.
_SUSPECT_CRASHES = 2
# Crashes within this time count as one moment.
_MOMENT: Millis = 100
# Crashes against a part without any complete answer are kept this long.
_CRASH_RETENTION: Millis = 600_000
_MAX_CRASHES = 256
_MAX_COMPLETED_PARTS = 4096
_MAX_EXPLAINED = 1024

# Parts that a prompt must all have.
PartGroup = frozenset[str]
# Worker id and start time.
IncarnationKey = tuple[str, int]


class Crash(NamedTuple):
    """A send that ended because its worker crashed."""

    incarnation: IncarnationKey
    crashed_at: Millis
    parts: PartGroup


class CrashEvidence:
    """Crashes, and complete answers by part."""

    def __init__(self) -> None:
        """Start without any."""
        self._crashes: deque[Crash] = deque(maxlen=_MAX_CRASHES)
        # Time of the last complete answer by part, the oldest first.
        self._completed_at_by_part: dict[str, Millis] = {}
        # Incarnations whose crash a found group explains, and those whose
        # crash a found request explains, the oldest first.
        self._explained: dict[IncarnationKey, None] = {}
        self._explained_by_request: dict[IncarnationKey, None] = {}

    def has_crashes(self, part: str) -> bool:
        """Return whether a worker crashed under ``part``."""
        return any(part in crash.parts for crash in self._crashes)

    def is_empty(self) -> bool:
        """Return whether no crash is recorded."""
        return not self._crashes

    def record_completion(self, parts: Iterable[str], now: Millis) -> None:
        """Record a complete answer to a request with these parts."""
        for part in parts:
            self._completed_at_by_part.pop(part, None)
            self._completed_at_by_part[part] = now
        while len(self._completed_at_by_part) > _MAX_COMPLETED_PARTS:
            oldest = next(iter(self._completed_at_by_part))
            self._completed_at_by_part.pop(oldest)

    def record_crash(self, crash: Crash, found: Iterable[PartGroup]) -> None:
        """Record a crash unless one of the groups ``found`` explains it."""
        for group in found:
            if group <= crash.parts:
                self._explain({crash.incarnation}, group)
        unexplained = self._unexplained(crash)
        if unexplained.parts:
            self._crashes.append(unexplained)

    def is_suspect(self, parts: Iterable[str], now: Millis) -> bool:
        """Return whether several workers crashed under one of ``parts``."""
        crashes_by_part = self._crashes_by_part(now)
        for part in parts:
            crashed_at = _by_incarnation(crashes_by_part.get(part, ()))
            if len(crashed_at) >= _SUSPECT_CRASHES:
                return True
        return False

    def find(
        self,
        now: Millis,
        found: Iterable[PartGroup],
        on_probation: Iterable[PartGroup] = (),
    ) -> PartGroup | None:
        """Return the group of parts that explains most crashes, if any.

        ``found`` are the groups found before, and ``on_probation`` the requests
        whose quarantine has ended. The crashes that the new group explains
        count against no other part any more.
        """
        tried_parts = frozenset().union(*on_probation)
        known_parts = frozenset().union(*found)
        parts_by_crashes: dict[frozenset[IncarnationKey], set[str]] = {}
        for part, crashes in self._crashes_by_part(now).items():
            crashed_at = _by_incarnation(crashes)
            sufficient = _sufficient_crashes(part, known_parts)
            if part in tried_parts:
                sufficient = _SUFFICIENT_ON_PROBATION
            if _suffices(crashed_at.values(), sufficient):
                explained = frozenset(crashed_at)
                parts_by_crashes.setdefault(explained, set()).add(part)
        most = max(map(len, parts_by_crashes), default=0)
        best = [each for each in parts_by_crashes if len(each) == most]
        for explained in best:
            if any(explained & other for other in best if other != explained):
                # The next crash tells them apart.
                continue
            group = frozenset(parts_by_crashes[explained])
            if self._occurs(group):
                self._explain(explained, group)
                return group
            # Else parts of different requests met at the same workers.
        return None

    def _crashes_by_part(self, now: Millis) -> dict[str, list[Crash]]:
        """Return the crashes since the last complete answer, by part."""
        while (
            self._crashes
            and now - self._crashes[0].crashed_at > _CRASH_RETENTION
        ):
            self._crashes.popleft()
        crashes_by_part: dict[str, list[Crash]] = {}
        for crash in self._crashes:
            for part in crash.parts:
                completed_at = self._completed_at_by_part.get(part)
                if completed_at is None or crash.crashed_at > completed_at:
                    crashes_by_part.setdefault(part, []).append(crash)
        return crashes_by_part

    def _occurs(self, group: PartGroup) -> bool:
        """Return whether one of the crashed requests had all these parts."""
        return any(group <= crash.parts for crash in self._crashes)

    def _explain(
        self, incarnations: Iterable[IncarnationKey], group: PartGroup
    ) -> None:
        """Let these crashes count against no part, or no request."""
        explained = self._explained
        if all(map(is_request_key, group)):
            explained = self._explained_by_request
        for incarnation in incarnations:
            explained[incarnation] = None
        while len(explained) > _MAX_EXPLAINED:
            explained.pop(next(iter(explained)))
        unexplained = map(self._unexplained, self._crashes)
        self._crashes = deque(
            (crash for crash in unexplained if crash.parts),
            maxlen=_MAX_CRASHES,
        )

    def _unexplained(self, crash: Crash) -> Crash:
        """Return a crash with those parts only that it counts against."""
        parts = crash.parts
        if crash.incarnation in self._explained:
            parts = frozenset()
        elif crash.incarnation in self._explained_by_request:
            parts = frozenset(
                part for part in parts if not is_request_key(part)
            )
        return crash._replace(parts=parts)


def quarantine_time(group: PartGroup, *, is_repeated: bool = False) -> Millis:
    """Return how long a found group is kept from workers.

    ``is_repeated`` tells that it was found before.
    """
    if not any(map(is_request_key, group)):
        return QUARANTINE_TIME
    if is_repeated:
        return _REPEATED_QUARANTINE_TIME
    return REQUEST_QUARANTINE_TIME


def _by_incarnation(crashes: Iterable[Crash]) -> dict[IncarnationKey, Millis]:
    """Return when each incarnation crashed."""
    return {crash.incarnation: crash.crashed_at for crash in crashes}


def _sufficient_crashes(
    part: str, known_parts: Container[str]
) -> Iterable[tuple[int, int]]:
    """Return pairs of workers and moments, one of which a finding needs."""
    if part in known_parts:
        return _SUFFICIENT_FOR_KNOWN
    if is_request_key(part):
        return _SUFFICIENT_FOR_REQUEST
    return _SUFFICIENT


def _suffices(
    crash_times: Iterable[Millis], sufficient: Iterable[tuple[int, int]]
) -> bool:
    """Return whether crashes at these times are enough for a finding."""
    moments = 0
    count = 0
    moment_began: Millis | None = None
    for crashed_at in sorted(crash_times):
        count += 1
        if moment_began is None or crashed_at - moment_began >= _MOMENT:
            moments += 1
            moment_began = crashed_at
    return any(
        count >= workers and moments >= least for workers, least in sufficient
    )
