"""Keeps prompts from workers if a part of them crashes whoever answers it.

Every gateway collects the crashes and the complete answers of all gateways,
from their notices, and so finds the same parts within milliseconds. What one
of them finds goes to the directory's log, which lists it to all gateways, also
to those that start later or missed a notice.
"""

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from verbenathread.clock import Clock, seconds
from verbenathread.observability.logs import get_logger
from verbenathread.serving.crash_evidence import (
    MAX_GROUPS,
    QUARANTINE_TIME,
    Crash,
    CrashEvidence,
    PartGroup,
)
from verbenathread.serving.types import Prompt
from verbenathread.types import Millis

_log = get_logger('gateway')

# All sends that one crash ended are recorded within this time.
SETTLE_TIME: Millis = 50
# The gateway that saw the last crash reports at once; others wait this long,
# up to twice as long, in case it could not.
_REPORT_DELAY: Millis = 1000


class PromptQuarantine:
    """The groups of parts under which workers crash."""

    def __init__(self, clock: Clock, random: Random) -> None:
        """Start without any; ``random`` spreads the reports."""
        self._clock = clock
        self._random = random
        self._evidence = CrashEvidence()
        self._listed: frozenset[PartGroup] = frozenset()
        # Found here and not listed yet: when to report them.
        self._report_at_by_group: dict[PartGroup, Millis] = {}
        self._known_since_by_group: dict[PartGroup, Millis] = {}
        self._observed_at: Millis | None = None
        self._find_scheduled = False
        # Called when a group was found.
        self.on_found: Callable[[], None] | None = None

    @property
    def groups(self) -> Iterable[PartGroup]:
        """Return the groups that are kept from workers."""
        return self._known_since_by_group.keys()

    def retry_after(self, prompt: Prompt | None) -> Millis | None:
        """Return how long this prompt is not served; None if it is now."""
        if prompt is None or not self._known_since_by_group:
            return None
        parts = frozenset(prompt.shared_parts)
        now = self._clock.now()
        for group, known_since in self._known_since_by_group.items():
            if group <= parts:
                return max(1, known_since + QUARANTINE_TIME - now)
        return None

    def is_suspect(self, prompt: Prompt) -> bool:
        """Return whether several workers crashed under a part of it."""
        return self._evidence.is_suspect(prompt.shared_parts, self._clock.now())

    def record_completion(self, parts: Iterable[str]) -> None:
        """Record a complete answer to a prompt with these shared parts."""
        self._evidence.record_completion(parts, self._clock.now())

    def record_crash(
        self,
        worker_id: str,
        started_at: int,
        parts: Iterable[str],
        *,
        observed: bool = False,
    ) -> None:
        """Record that a worker crashed as it answered such a prompt.

        ``observed`` tells that this gateway sent the prompt.
        """
        now = self._clock.now()
        crash = Crash((worker_id, started_at), now, frozenset(parts))
        self._evidence.record_crash(crash, self.groups)
        if observed:
            self._observed_at = now
        if not self._find_scheduled:
            self._find_scheduled = True
            asyncio.get_running_loop().call_later(
                seconds(SETTLE_TIME), self._find
            )

    def apply_list(self, groups: Iterable[PartGroup]) -> None:
        """Apply the groups that the directory lists now."""
        listed = frozenset(groups)
        now = self._clock.now()
        for group in self._listed - listed:
            self._known_since_by_group.pop(group, None)
            _log.info(
                'Prompts with these parts are served.', parts=_show(group)
            )
        for group in listed:
            self._report_at_by_group.pop(group, None)
            if group not in self._known_since_by_group:
                self._known_since_by_group[group] = now
                _log.warning(
                    'The directory lists parts that crash workers.',
                    parts=_show(group),
                )
        self._listed = listed

    def has_unlisted(self) -> bool:
        """Return whether the directory does not list all groups yet."""
        return bool(self._report_at_by_group)

    def unreported(self) -> list[PartGroup]:
        """Return the groups to report to the directory now."""
        now = self._clock.now()
        return [
            group
            for group, report_at in self._report_at_by_group.items()
            if report_at <= now
        ]

    def drop_expired(self) -> None:
        """Drop groups that the directory could not be told for too long."""
        now = self._clock.now()
        for group, known_since in tuple(self._known_since_by_group.items()):
            if group in self._listed or now - known_since < QUARANTINE_TIME:
                continue
            self._known_since_by_group.pop(group)
            self._report_at_by_group.pop(group, None)

    def _find(self) -> None:
        self._find_scheduled = False
        while True:
            group = self._evidence.find(self._clock.now(), self.groups)
            if group is None:
                return
            self._add(group)

    def _add(self, group: PartGroup) -> None:
        """Keep a group that was found here from workers, and report it."""
        now = self._clock.now()
        has_observed = (
            self._observed_at is not None
            and now - self._observed_at <= 2 * SETTLE_TIME
        )
        delay = self._random.randint(_REPORT_DELAY, 2 * _REPORT_DELAY)
        self._known_since_by_group[group] = now
        self._report_at_by_group[group] = now if has_observed else now + delay
        while len(self._known_since_by_group) > MAX_GROUPS:
            oldest = next(iter(self._known_since_by_group))
            self._known_since_by_group.pop(oldest)
            self._report_at_by_group.pop(oldest, None)
        _log.warning(
            'Workers crash under prompts with these parts.',
            parts=_show(group),
            observed=has_observed,
        )
        if self.on_found is not None:
            self.on_found()


def _show(group: PartGroup) -> list[str]:
    return sorted(group)
