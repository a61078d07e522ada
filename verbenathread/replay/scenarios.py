"""Scenarios for checking the performance bounds."""

from collections.abc import Mapping
from typing import NamedTuple

from verbenathread.replay.deployment import (
    FBIS,
    NO_FAULTS,
    TILLERY,
    Deployment,
    Faults,
)
from verbenathread.replay.generator import (
    MIX_BY_DEPLOYMENT,
    LoadShape,
    TraceGenerator,
)
from verbenathread.replay.measures import SHORT_PROMPT_TOKENS
from verbenathread.replay.policies import Policy
from verbenathread.replay.replay import Replay, limits_for
from verbenathread.replay.results import ReplayResult
from verbenathread.replay.trace import TraceRequest
from verbenathread.schema import settings_pb2
from verbenathread.types import Millis

_DURATION: Millis = 150000
# Queues take longer to build up near capacity.
_LONG_DURATION: Millis = 300000
# Overload has an effect only once the backlog exceeds the time limits.
_OVERLOAD_DURATION: Millis = 600000
_SEED = 7
_USUAL_LOAD = 0.8
_HIGH_LOAD = 0.95
# Account limits as a multiple of the mean rate in the steady trace.
_LIMIT_MULTIPLE = 3
_MIDPOINT: Millis = _DURATION // 2
_REPORT_OUTAGE: Millis = 10000
_SECOND_DEATH_DELAY: Millis = 5000
_BURST_TIME: Millis = 15000
_FLOOD_TIME: Millis = 45000


class Scenario(NamedTuple):
    """A deployment, its traffic and the injected faults."""

    deployment: Deployment
    name: str
    shape: LoadShape
    faults: Faults = NO_FAULTS

    def trace(self) -> list[TraceRequest]:
        """Return the generated requests."""
        return self._requests(self.shape)

    def limits(self) -> Mapping[str, settings_pb2.AccountSettings]:
        """Return the account limits, derived from the steady traffic."""
        steady = LoadShape(
            self.shape.load, self.shape.duration, self.shape.seed
        )
        return limits_for(self._requests(steady), _LIMIT_MULTIPLE)

    def run(self, policy: Policy) -> ReplayResult:
        """Replay the scenario under a policy."""
        replay = Replay(self.deployment, policy, self.limits())
        return replay.run(self.trace(), self.faults)

    def run_short_alone(self, policy: Policy) -> ReplayResult:
        """Replay only the short requests of the scenario."""
        alone = [
            request
            for request in self.trace()
            if request.prompt_tokens <= SHORT_PROMPT_TOKENS
        ]
        return Replay(self.deployment, policy, self.limits()).run(alone)

    def _requests(self, shape: LoadShape) -> list[TraceRequest]:
        mix = MIX_BY_DEPLOYMENT[self.deployment.name]
        return TraceGenerator(self.deployment, mix, shape).requests()


def steady(deployment: Deployment, name: str, load: float) -> Scenario:
    """Return a scenario of steady traffic at a share of the capacity."""
    duration = _DURATION if load < _HIGH_LOAD else _LONG_DURATION
    if load > 1:
        duration = _OVERLOAD_DURATION
    return Scenario(deployment, name, LoadShape(load, duration, _SEED))


_LOAD_BY_NAME = (
    ('load-50', 0.5),
    ('load-80', 0.8),
    ('load-95', 0.95),
    ('load-120', 1.2),
)
_USUAL_SHAPE = LoadShape(_USUAL_LOAD, _DURATION, _SEED)
_ENGINE_DEATH = Faults(engine_deaths=((3, _MIDPOINT),))
_ENTRY_DEATH = Faults(entry_deaths=((2, _MIDPOINT),))
_REPORTS_MISSING = Faults(
    reports_missing=(_MIDPOINT, _MIDPOINT + _REPORT_OUTAGE)
)
_COMBINED_FAULTS = Faults(
    engine_deaths=((3, _MIDPOINT), (7, _MIDPOINT + _SECOND_DEATH_DELAY)),
    entry_deaths=((2, _MIDPOINT + 1000),),
    reports_missing=(_MIDPOINT, _MIDPOINT + _REPORT_OUTAGE),
)
_BURST = (_MIDPOINT, _MIDPOINT + _BURST_TIME, 6)
_FLOOD = (_MIDPOINT, _MIDPOINT + _FLOOD_TIME, 12)


def scenarios() -> list[Scenario]:
    """Return every scenario in report order."""
    found = []
    for deployment in (TILLERY, FBIS):
        for name, load in _LOAD_BY_NAME:
            found.append(steady(deployment, name, load))
        found.extend(_failure_scenarios(deployment))
        slow = deployment._replace(rates=deployment.rates.halved())
        found.append(steady(slow, 'slow-80', _USUAL_LOAD))
    return found


def _failure_scenarios(deployment: Deployment) -> list[Scenario]:
    shape = _USUAL_SHAPE
    return [
        Scenario(deployment, 'engine-dies', shape, _ENGINE_DEATH),
        Scenario(deployment, 'entry-dies', shape, _ENTRY_DEATH),
        Scenario(deployment, 'reports-missing', shape, _REPORTS_MISSING),
        Scenario(deployment, 'long-burst', shape._replace(long_burst=_BURST)),
        Scenario(deployment, 'flood', shape._replace(flood=_FLOOD)),
        Scenario(
            deployment, 'lengths-shift', shape._replace(shift_at=_MIDPOINT)
        ),
        Scenario(
            deployment,
            'together-95',
            LoadShape(_HIGH_LOAD, _DURATION, _SEED),
            _COMBINED_FAULTS,
        ),
    ]
