"""Lets requests that crashed workers be tried again, one at a time.

A request is tried by one gateway first, chosen by a hash, so that a trial costs
one worker at most if the finding was right. A complete answer ends the
probation, a crash quarantines the request again.
"""

import weakref
from collections.abc import Callable, Iterable
from typing import NamedTuple

from verbenathread.clock import Clock
from verbenathread.serving.crash_evidence import MAX_GROUPS, PartGroup
from verbenathread.serving.request_key import RequestIdentity
from verbenathread.types import Millis

# Only the chosen gateway tries a request for this long, as it may be down.
_CHOSEN_TIME: Millis = 60_000
# A trial without a result for this long has none.
_TRIAL_TIME: Millis = 10_000
# Callers of other gateways, and during a trial, come back after this time.
_RETRY_AFTER: Millis = 1000


class _Trial(NamedTuple):
    # Weak, since the request holds its body, which may be large.
    request: weakref.ref[RequestIdentity]
    began_at: Millis


class Probation:
    """The requests whose quarantine has ended."""

    def __init__(self, clock: Clock, is_chosen: Callable[[str], bool]) -> None:
        """Start without any.

        ``is_chosen`` returns whether this gateway is the one to try a request,
        by its key.
        """
        self._clock = clock
        self._is_chosen = is_chosen
        # Oldest first.
        self._since_by_group: dict[PartGroup, Millis] = {}
        self._trial_by_group: dict[PartGroup, _Trial] = {}

    @property
    def groups(self) -> Iterable[PartGroup]:
        """Return the keys of the requests, each as a group."""
        return self._since_by_group.keys()

    def add(self, group: PartGroup) -> None:
        """Begin the probation of a request."""
        self._since_by_group[group] = self._clock.now()
        while len(self._since_by_group) > MAX_GROUPS:
            self.remove(next(iter(self._since_by_group)))

    def remove(self, group: PartGroup) -> None:
        """End the probation of a request."""
        self._since_by_group.pop(group, None)
        self._trial_by_group.pop(group, None)

    def record_completion(self, parts: frozenset[str]) -> None:
        """End the probation of a request that was answered."""
        for group in tuple(self._since_by_group):
            if group <= parts:
                self.remove(group)

    def includes(self, request: RequestIdentity) -> bool:
        """Return whether a request is on probation."""
        return self._group(request) is not None

    def retry_after(self, request: RequestIdentity) -> Millis | None:
        """Return how long a request is not tried; None if it is now."""
        group = self._group(request)
        if group is None:
            return None
        now = self._clock.now()
        trial = self._trial_by_group.get(group)
        if trial is not None and now - trial.began_at < _TRIAL_TIME:
            return None if trial.request() is request else _RETRY_AFTER
        is_open = now - self._since_by_group[group] >= _CHOSEN_TIME
        if not is_open and not self._is_chosen(request.key):
            return _RETRY_AFTER
        self._trial_by_group[group] = _Trial(weakref.ref(request), now)
        return None

    def _group(self, request: RequestIdentity) -> PartGroup | None:
        for group in self._since_by_group:
            if request.has_all(group):
                return group
        return None
