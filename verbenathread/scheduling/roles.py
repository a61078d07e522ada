"""Which engines take long prompts, adapting to the mix of lengths.

Every entry works this out from the same load reports and the same order of
engines, so that entries agree but for the age of what they heard.
"""

import math

from verbenathread.scheduling.messages import EngineReport
from verbenathread.types import LengthClass, Millis, UpstreamId

_HALF_LIFE_MS = 30000.0
# A change of the wanted count by less than this part of one engine is noise.
_SLACK = 0.75


class EngineRoles:
    """Share of the prefill that long prompts take, over all engines."""

    def __init__(self) -> None:
        """Know of no work yet."""
        self._granted_by_id: dict[UpstreamId, tuple[Millis, ...]] = {}
        self._all: float = 0
        self._long: float = 0
        self._at: Millis = 0
        self._count: float = 0

    def note(self, report: EngineReport, now: Millis) -> None:
        """Count the prefill that an engine was given since its last report."""
        granted = report.granted_by_class
        last = self._granted_by_id.get(report.upstream_id, granted)
        self._granted_by_id[report.upstream_id] = granted
        kept = 0.5 ** (max(0, now - self._at) / _HALF_LIFE_MS)
        self._at = max(now, self._at)
        # A new owner counts from zero again.
        fresh = [
            max(0, new - old) for new, old in zip(granted, last, strict=True)
        ]
        self._all = self._all * kept + sum(fresh)
        self._long = self._long * kept + fresh[LengthClass.LONG]

    def forget(self, upstream_id: UpstreamId) -> None:
        """Drop what is known of an engine that is gone."""
        self._granted_by_id.pop(upstream_id, None)

    def long_count(self, engines: int, least: int) -> int:
        """Return how many of the engines take long prompts.

        At least ``least``, so that the longest prompt finds its group, and
        never all of them.
        """
        if self._all <= 0:
            return 0
        wanted = engines * self._long / self._all
        if abs(wanted - self._count) > _SLACK:
            self._count = wanted
        most = max(0, engines - 1)
        return min(most, max(least, math.ceil(self._count)))
