"""Finds the part of prompts under which workers crash.

Designed for one part that crashes every worker that answers a prompt with it,
beside sound prompts that share the other parts, and beside workers that crash
on their own. Several prompts run on a worker, so one crash ends sound sends
too. A part is found by what the crashes have in common and no complete answer
has:

- Only crashes since the last complete answer to a prompt with a part count
  against that part. Widely used parts are completed all the time.
- A crash counts once per incarnation of a worker. Crashes at the same moment,
  as after the loss of a rack, count as one observation.
- Of several parts, the one that explains most crashes is found. Parts that
  explain the same crashes are found as a group: only prompts with all of them
  are concerned, and later crashes or complete answers tell them apart.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from verbenathread.types import Millis

# How long a found group of parts is kept from workers.
QUARANTINE_TIME: Millis = 3_600_000
# Found groups that are kept; the oldest are dropped first.
MAX_GROUPS = 64
# Crashed workers, and moments at which they crashed, that a finding needs: one
# of these pairs. Prompts that come in a burst crash many workers at few moments.
_SUFFICIENT = ((4, 3), (5, 2))
# The same for a part of a group that was found before.
_MIN_FOLLOWERS = 2
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
    """Crashes and complete answers, as far as they concern shared parts."""

    def __init__(self) -> None:
        """Start without any."""
        self._crashes: deque[Crash] = deque(maxlen=_MAX_CRASHES)
        # Time of the last complete answer by part, the oldest first.
        self._completed_at_by_part: dict[str, Millis] = {}
        # Incarnations whose crash a found group explains, the oldest first.
        self._explained: dict[IncarnationKey, None] = {}

    def record_completion(self, parts: Iterable[str], now: Millis) -> None:
        """Record a complete answer to a prompt with these parts."""
        for part in parts:
            self._completed_at_by_part.pop(part, None)
            self._completed_at_by_part[part] = now
        while len(self._completed_at_by_part) > _MAX_COMPLETED_PARTS:
            oldest = next(iter(self._completed_at_by_part))
            self._completed_at_by_part.pop(oldest)

    def record_crash(self, crash: Crash, found: Iterable[PartGroup]) -> None:
        """Record a crash unless one of the groups ``found`` explains it."""
        if crash.incarnation in self._explained:
            return
        for group in found:
            if group <= crash.parts:
                self._explain({crash.incarnation})
                return
        self._crashes.append(crash)

    def is_suspect(self, parts: Iterable[str], now: Millis) -> bool:
        """Return whether several workers crashed under one of ``parts``."""
        crashes_by_part = self._crashes_by_part(now)
        for part in parts:
            crashed_at = _by_incarnation(crashes_by_part.get(part, ()))
            if len(crashed_at) >= _MIN_FOLLOWERS:
                return True
        return False

    def find(self, now: Millis, found: Iterable[PartGroup]) -> PartGroup | None:
        """Return the group of parts that explains most crashes, if any.

        ``found`` are the groups found before. The crashes that the new one
        explains count against no other part any more.
        """
        known_parts = frozenset().union(*found)
        parts_by_crashes: dict[frozenset[IncarnationKey], set[str]] = {}
        for part, crashes in self._crashes_by_part(now).items():
            crashed_at = _by_incarnation(crashes)
            if _suffices(crashed_at.values(), part in known_parts):
                explained = frozenset(crashed_at)
                parts_by_crashes.setdefault(explained, set()).add(part)
        most = max(map(len, parts_by_crashes), default=0)
        best = [each for each in parts_by_crashes if len(each) == most]
        if len(best) != 1:
            # None, or several: the next crash tells them apart.
            return None
        group = frozenset(parts_by_crashes[best[0]])
        if not self._occurs(group):
            # Parts of different prompts that met at the same workers.
            return None
        self._explain(best[0])
        return group

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
        """Return whether one of the crashed prompts had all these parts."""
        return any(group <= crash.parts for crash in self._crashes)

    def _explain(self, incarnations: Iterable[IncarnationKey]) -> None:
        """Let these crashes count against no part."""
        for incarnation in incarnations:
            self._explained[incarnation] = None
        while len(self._explained) > _MAX_EXPLAINED:
            self._explained.pop(next(iter(self._explained)))
        self._crashes = deque(
            (
                crash
                for crash in self._crashes
                if crash.incarnation not in self._explained
            ),
            maxlen=_MAX_CRASHES,
        )


def _by_incarnation(crashes: Iterable[Crash]) -> dict[IncarnationKey, Millis]:
    """Return when each incarnation crashed."""
    return {crash.incarnation: crash.crashed_at for crash in crashes}


def _suffices(crash_times: Iterable[Millis], is_known: bool) -> bool:  # noqa: FBT001
    """Return whether crashes at these times are enough for a finding.

    ``is_known`` tells that the part belongs to a group that was found before.
    """
    moments = 0
    count = 0
    moment_began: Millis | None = None
    for crashed_at in sorted(crash_times):
        count += 1
        if moment_began is None or crashed_at - moment_began >= _MOMENT:
            moments += 1
            moment_began = crashed_at
    if is_known:
        return min(count, moments) >= _MIN_FOLLOWERS
    return any(
        count >= workers and moments >= least for workers, least in _SUFFICIENT
    )
