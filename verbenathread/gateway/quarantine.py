"""Keeps requests from workers that crash whoever answers them.

A request is kept if it, or a part of its prompt, crashes workers.

Every gateway collects the crashes and the complete answers of all gateways,
from their notices, and so finds the same parts within milliseconds. What one
of them finds goes to the directory's log, which lists it to all gateways, also
to those that start later or missed a notice.
"""

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from verbenathread.clock import Clock, seconds
from verbenathread.gateway.probation import Probation
from verbenathread.observability.logs import get_logger
from verbenathread.serving.crash_evidence import (
    MAX_GROUPS,
    Crash,
    CrashEvidence,
    PartGroup,
    quarantine_time,
)
from verbenathread.serving.request_key import RequestIdentity, is_request_key
from verbenathread.types import Millis

_log = get_logger('gateway')

# All sends that one crash ended are recorded within this time.
SETTLE_TIME: Millis = 50
# The gateway that saw the last crash reports at once; others wait this long,
# up to twice as long, in case it could not.
_REPORT_DELAY: Millis = 1000


def _is_chosen_alone(key: str) -> bool:
    """Return whether the only gateway tries a request first: always."""
    return True


class Quarantine:
    """The groups of parts under which workers crash."""

    def __init__(
        self,
        clock: Clock,
        random: Random,
        is_chosen: Callable[[str], bool] = _is_chosen_alone,
    ) -> None:
        """Start without any; ``random`` spreads the reports.

        ``is_chosen`` returns whether this gateway tries a request first, by its
        key, once its quarantine has ended.
        """
        self._clock = clock
        self._random = random
        self._evidence = CrashEvidence()
        self._listed: frozenset[PartGroup] = frozenset()
        # Found here and not listed yet: when to report them.
        self._report_at_by_group: dict[PartGroup, Millis] = {}
        self._known_since_by_group: dict[PartGroup, Millis] = {}
        self._probation = Probation(clock, is_chosen)
        self._observed_at: Millis | None = None
        self._find_scheduled = False
        # Called when a group was found.
        self.on_found: Callable[[], None] | None = None

    @property
    def groups(self) -> Iterable[PartGroup]:
        """Return the groups that are kept from workers."""
        return self._known_since_by_group.keys()

    def retry_after(self, identity: RequestIdentity) -> Millis | None:
        """Return how long this request is not served; None if it is now."""
        now = self._clock.now()
        for group, known_since in self._known_since_by_group.items():
            if identity.has_all(group):
                return max(1, known_since + quarantine_time(group) - now)
        return self._probation.retry_after(identity)

    def is_suspect(self, identity: RequestIdentity) -> bool:
        """Return whether several workers crashed under a part of it."""
        if self._probation.includes(identity):
            return True
        return self._evidence.is_suspect(identity.parts, self._clock.now())

    def counted_parts(self, identity: RequestIdentity) -> list[str]:
        """Return the parts that a complete answer counts for.

        Shared parts always do; other gateways may have seen the crashes. A
        request does after a crash under it.
        """
        parts = list(identity.shared_parts)
        evidence = self._evidence
        if self._probation.includes(identity) or (
            not evidence.is_empty() and evidence.has_crashes(identity.key)
        ):
            parts.append(identity.key)
        return parts

    def record_completion(self, parts: Iterable[str]) -> None:
        """Record a complete answer to a request with these parts."""
        completed = frozenset(parts)
        self._evidence.record_completion(completed, self._clock.now())
        self._probation.record_completion(completed)

    def record_crash(
        self,
        worker_id: str,
        started_at: int,
        parts: Iterable[str],
        *,
        observed: bool = False,
    ) -> None:
        """Record that a worker crashed as it answered such a request.

        ``observed`` tells that this gateway sent the request.
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
        # Every request has all parts of an empty group.
        listed = frozenset(filter(None, groups))
        now = self._clock.now()
        for group in self._listed - listed:
            self._release(group)
            _log.info(
                'Requests with these parts are served.', parts=_show(group)
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
            age = now - known_since
            if group in self._listed or age < quarantine_time(group):
                continue
            self._release(group)
            self._report_at_by_group.pop(group, None)

    def _release(self, group: PartGroup) -> None:
        """End the quarantine of a group; a request is on probation then."""
        self._known_since_by_group.pop(group, None)
        if all(map(is_request_key, group)):
            self._probation.add(group)

    def _find(self) -> None:
        self._find_scheduled = False
        while True:
            group = self._evidence.find(
                self._clock.now(), self.groups, self._probation.groups
            )
            if group is None:
                return
            self._add(group)

    def _add(self, group: PartGroup) -> None:
        """Keep a group that was found here from workers, and report it."""
        self._probation.remove(group)
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
            'Workers crash under requests with these parts.',
            parts=_show(group),
            observed=has_observed,
        )
        if self.on_found is not None:
            self.on_found()


def _show(group: PartGroup) -> list[str]:
    return sorted(group)
