"""Sizes of the simulated deployments, and the faults to inject."""

from types import MappingProxyType
from typing import NamedTuple

from verbenathread.replay.engine import EngineRates
from verbenathread.types import (
    Address,
    Millis,
    NodeId,
    UpstreamKind,
    UpstreamRecord,
    UpstreamState,
)


class Deployment(NamedTuple):
    """Number of engines and entries, and one-way latencies in ms."""

    name: str
    service: str
    engines: int
    entries: int
    data_centres: tuple[str, ...]
    inter_centre_ms: float
    intra_centre_ms: float
    client_latency_ms: float
    rates: EngineRates = EngineRates()


_TILLERY_ENGINES = 20
_FBIS_ENGINES = 15
_INTRA_CENTRE_MS = 0.2

TILLERY = Deployment(
    name='tillery-night',
    service='draft-desk',
    engines=_TILLERY_ENGINES,
    entries=9,
    data_centres=('jackson-ms', 'mobile-al', 'shreveport-la'),
    inter_centre_ms=0.5,
    intra_centre_ms=_INTRA_CENTRE_MS,
    client_latency_ms=3,
)
FBIS = Deployment(
    name='fbis-day',
    service='triage-model',
    engines=_FBIS_ENGINES,
    entries=9,
    data_centres=('be-central-a', 'be-central-b', 'be-central-c'),
    inter_centre_ms=1,
    intra_centre_ms=_INTRA_CENTRE_MS,
    client_latency_ms=1,
)
DEPLOYMENT_BY_NAME = MappingProxyType(
    {deployment.name: deployment for deployment in (TILLERY, FBIS)}
)


class Faults(NamedTuple):
    """Faults to inject into a replay; times in ms since its start."""

    # Position of the engine or entry, and the time of its death.
    engine_deaths: tuple[tuple[int, Millis], ...] = ()
    entry_deaths: tuple[tuple[int, Millis], ...] = ()
    # Start and end of a period in which no gossip arrives.
    reports_missing: tuple[Millis, Millis] = (0, 0)


NO_FAULTS = Faults()


def entry_id_at(position: int) -> NodeId:
    """Return the identifier of the entry at a position."""
    return f'n{position:03d}'


def engine_records(deployment: Deployment) -> tuple[UpstreamRecord, ...]:
    """Return the upstream records of the engines, in order."""
    centres = deployment.data_centres
    return tuple(
        UpstreamRecord(
            upstream_id=f'e{position:04d}',
            incarnation=1,
            state=UpstreamState.READY,
            version=1,
            service=deployment.service,
            kind=UpstreamKind.ENGINE,
            address=Address('127.0.0.1', 0),
            data_centre=centres[position % len(centres)],
            memory_tokens=deployment.rates.memory_tokens,
        )
        for position in range(deployment.engines)
    )
