"""The policies that a replay can run: ours, the previous one, baselines."""

import itertools
import random
from collections.abc import Callable, Collection, Sequence
from types import MappingProxyType
from typing import NamedTuple, Protocol

from verbenathread.scheduling.messages import EngineReport
from verbenathread.scheduling.prefixes import PrefixIndex
from verbenathread.scheduling.router import Router
from verbenathread.scheduling.tuning import CURRENT, PREVIOUS, Tuning
from verbenathread.schema import settings_pb2
from verbenathread.types import Millis, UpstreamId, UpstreamRecord, Work


class EngineChooser(Protocol):
    """Orders engines for a prompt; :class:`Router` is the product's."""

    def choose(
        self,
        work: Work,
        records: Sequence[UpstreamRecord],
        now: Millis,
        failed: Collection[UpstreamId] = (),
        min_engines: int = 1,
    ) -> list[UpstreamId]:
        """Return engines, the best first."""

    def record_report(self, report: EngineReport, now: Millis) -> None:
        """Take a load report."""

    def record_sent(
        self, upstream_id: UpstreamId, work: Work, now: Millis
    ) -> None:
        """Count a send."""

    def record_done(self, upstream_id: UpstreamId, work: Work) -> None:
        """Count the end of a send."""


class RoundRobin:
    """Engines in turn, whatever their load."""

    def __init__(self, start: int) -> None:
        """Begin at ``start``, so that entries are not in step."""
        self._turns = itertools.count(start)

    def choose(
        self,
        work: Work,
        records: Sequence[UpstreamRecord],
        now: Millis,
        failed: Collection[UpstreamId] = (),
        min_engines: int = 1,
    ) -> list[UpstreamId]:
        """Return all engines from the next one on."""
        start = next(self._turns) % len(records)
        turned = (*records[start:], *records[:start])
        return [
            record.upstream_id
            for record in turned
            if record.upstream_id not in failed
        ]

    def record_report(self, report: EngineReport, now: Millis) -> None:
        """Take no notice."""

    def record_sent(
        self, upstream_id: UpstreamId, work: Work, now: Millis
    ) -> None:
        """Take no notice."""

    def record_done(self, upstream_id: UpstreamId, work: Work) -> None:
        """Take no notice."""


class LeastLoaded:
    """The engine with the fewest requests, whatever their lengths."""

    def __init__(self, rng: random.Random) -> None:
        """Break ties by ``rng``."""
        self._rng = rng
        self._count_by_id: dict[UpstreamId, int] = {}

    def choose(
        self,
        work: Work,
        records: Sequence[UpstreamRecord],
        now: Millis,
        failed: Collection[UpstreamId] = (),
        min_engines: int = 1,
    ) -> list[UpstreamId]:
        """Return all engines, the one with the fewest requests first."""
        ranked = [
            (
                self._count_by_id.get(record.upstream_id, 0),
                self._rng.random(),
                record.upstream_id,
            )
            for record in records
            if record.upstream_id not in failed
        ]
        return [upstream_id for _, _, upstream_id in sorted(ranked)]

    def record_report(self, report: EngineReport, now: Millis) -> None:
        """Take the count of requests."""
        count = report.running + report.queued
        self._count_by_id[report.upstream_id] = count

    def record_sent(
        self, upstream_id: UpstreamId, work: Work, now: Millis
    ) -> None:
        """Count one more until the next report."""
        count = self._count_by_id.get(upstream_id, 0)
        self._count_by_id[upstream_id] = count + 1

    def record_done(self, upstream_id: UpstreamId, work: Work) -> None:
        """Leave it to the next report."""


class ChooserInputs(NamedTuple):
    """What an entry gives to its chooser."""

    position: int
    policy: settings_pb2.PolicySettings
    rng: random.Random
    prefixes: PrefixIndex


class Policy(NamedTuple):
    """A way to choose and to queue, under one name."""

    name: str
    make_chooser: Callable[[ChooserInputs], EngineChooser]
    tuning: Tuning


def _round_robin(parts: ChooserInputs) -> EngineChooser:
    return RoundRobin(parts.position)


def _least_loaded(parts: ChooserInputs) -> EngineChooser:
    return LeastLoaded(parts.rng)


def tuned_policy(name: str, tuning: Tuning) -> Policy:
    """Return the product's policy with some mechanisms on or off."""

    def make(parts: ChooserInputs) -> EngineChooser:  # noqa: WPS430 - binds.
        return Router(parts.policy, parts.rng, tuning, parts.prefixes)

    return Policy(name, make, tuning)


_FIFO = Tuning(class_priority=False, engine_priority=False, refuse_late=False)
_POLICIES = (
    tuned_policy('current', CURRENT),
    tuned_policy('previous', PREVIOUS),
    Policy('fifo', _round_robin, _FIFO),
    Policy('least', _least_loaded, _FIFO),
)
POLICY_BY_NAME = MappingProxyType({policy.name: policy for policy in _POLICIES})
