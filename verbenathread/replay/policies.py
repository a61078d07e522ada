"""Policies for a replay: current and previous, and simple baselines."""

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
    """Ranks engines for a prompt, as :class:`Router` does in production."""

    def choose(
        self,
        work: Work,
        records: Sequence[UpstreamRecord],
        now: Millis,
        failed: Collection[UpstreamId] = (),
        min_engines: int = 1,
    ) -> list[UpstreamId]:
        """Return engines, best first."""

    def record_report(self, report: EngineReport, now: Millis) -> None:
        """Record a load report."""

    def record_sent(
        self, upstream_id: UpstreamId, work: Work, now: Millis
    ) -> None:
        """Record a reservation request sent to an engine."""

    def record_done(self, upstream_id: UpstreamId, work: Work) -> None:
        """Record that a request no longer occupies an engine."""


class RoundRobin:
    """Round-robin choice that ignores load."""

    def __init__(self, start: int) -> None:
        """Begin at ``start``, which staggers the entries."""
        self._turns = itertools.count(start)

    def choose(
        self,
        work: Work,
        records: Sequence[UpstreamRecord],
        now: Millis,
        failed: Collection[UpstreamId] = (),
        min_engines: int = 1,
    ) -> list[UpstreamId]:
        """Return all engines, starting with the next in turn."""
        start = next(self._turns) % len(records)
        rotated = (*records[start:], *records[:start])
        return [
            record.upstream_id
            for record in rotated
            if record.upstream_id not in failed
        ]

    def record_report(self, report: EngineReport, now: Millis) -> None:
        """Do nothing."""

    def record_sent(
        self, upstream_id: UpstreamId, work: Work, now: Millis
    ) -> None:
        """Do nothing."""

    def record_done(self, upstream_id: UpstreamId, work: Work) -> None:
        """Do nothing."""


class LeastLoaded:
    """Choice of the engine with the fewest requests of any length."""

    def __init__(self, rng: random.Random) -> None:
        """Break ties with ``rng``."""
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
        """Record the number of requests on an engine."""
        count = report.running + report.queued
        self._count_by_id[report.upstream_id] = count

    def record_sent(
        self, upstream_id: UpstreamId, work: Work, now: Millis
    ) -> None:
        """Count the request until the next report."""
        count = self._count_by_id.get(upstream_id, 0)
        self._count_by_id[upstream_id] = count + 1

    def record_done(self, upstream_id: UpstreamId, work: Work) -> None:
        """Do nothing; the next report corrects the count."""


class ChooserInputs(NamedTuple):
    """Inputs for the chooser of one entry."""

    position: int
    policy: settings_pb2.PolicySettings
    rng: random.Random
    prefixes: PrefixIndex


class Policy(NamedTuple):
    """A named combination of an engine chooser and scheduler tuning."""

    name: str
    make_chooser: Callable[[ChooserInputs], EngineChooser]
    tuning: Tuning


def _round_robin(inputs: ChooserInputs) -> EngineChooser:
    return RoundRobin(inputs.position)


def _least_loaded(inputs: ChooserInputs) -> EngineChooser:
    return LeastLoaded(inputs.rng)


def tuned_policy(name: str, tuning: Tuning) -> Policy:
    """Return the production policy with the given tuning."""

    def make(inputs: ChooserInputs) -> EngineChooser:  # noqa: WPS430 - closure
        return Router(inputs.policy, inputs.rng, tuning, inputs.prefixes)

    return Policy(name, make, tuning)


_FIFO = Tuning(class_priority=False, engine_priority=False, refuse_late=False)
_POLICIES = (
    tuned_policy('current', CURRENT),
    tuned_policy('previous', PREVIOUS),
    Policy('fifo', _round_robin, _FIFO),
    Policy('least', _least_loaded, _FIFO),
)
POLICY_BY_NAME = MappingProxyType({policy.name: policy for policy in _POLICIES})
