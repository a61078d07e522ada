"""The HTTP frontend of an entry, towards callers and upstreams.

It depends on its interfaces only, so it can be embedded with other
implementations of them.
"""

from functools import partial
from typing import NamedTuple

from verbenathread.clock import Clock, SystemClock
from verbenathread.entry.announce_service import AnnounceService
from verbenathread.entry.application import Application, Services
from verbenathread.entry.body_budget import BodyBudget
from verbenathread.entry.connections import ConnectionPool
from verbenathread.entry.disconnect_watcher import DisconnectWatcher
from verbenathread.entry.engine_client import EngineClient, Owner
from verbenathread.entry.engine_http import HttpEngineClient
from verbenathread.entry.exchange import Limits, ServerContext
from verbenathread.entry.http_server import CallerServer
from verbenathread.entry.interfaces import (
    Admissions,
    Claims,
    Reservations,
    SharedSettings,
    Upstreams,
)
from verbenathread.entry.model_service import ModelDependencies, ModelService
from verbenathread.entry.plain_client import PlainClient
from verbenathread.entry.plain_service import PlainDependencies, PlainService
from verbenathread.entry.reaper import Reaper
from verbenathread.entry.relay import RelayDependencies
from verbenathread.entry.retry_budgets import RetryBudgets
from verbenathread.entry.settler import Settler
from verbenathread.entry.stream_poller import StreamPoller
from verbenathread.entry.trace_recorder import TraceRecorder
from verbenathread.observability.metrics import EntryMetrics
from verbenathread.scheduling.estimates import OutputEstimator, TokenEstimator
from verbenathread.types import (
    Address,
    Millis,
    UpstreamKind,
    UpstreamRecord,
)


class FrontendInterfaces(NamedTuple):
    """The interfaces that the frontend depends on."""

    settings: SharedSettings
    upstreams: Upstreams
    reservations: Reservations
    claims: Claims
    admissions: Admissions


class HttpFrontend:
    """Serves callers and upstreams until it is stopped."""

    def __init__(
        self,
        listen: Address,
        interfaces: FrontendInterfaces,
        owner: Owner,
        limits: Limits,
        metrics: EntryMetrics,
        *,
        clock: Clock | None = None,
        engine_client: EngineClient | None = None,
        recorder: TraceRecorder | None = None,
    ) -> None:
        """Create the components; nothing runs before :meth:`start`."""
        clock = clock or SystemClock()
        self._clock = clock
        self._pool = ConnectionPool(clock)
        self.engine_client = engine_client or HttpEngineClient(
            self._pool, clock
        )
        self._recorder = recorder or TraceRecorder('', 0, clock)
        self.disconnect_watcher = DisconnectWatcher()
        self._poller = StreamPoller(clock)
        self.reaper = Reaper(
            self.engine_client,
            interfaces.reservations,
            interfaces.upstreams,
            owner,
            clock,
            partial(_known_engines, interfaces),
        )
        self.settler = Settler(interfaces.claims, clock)
        self.body_budget = BodyBudget(limits.buffered_bytes)
        self._application = Application(
            self._create_services(interfaces, owner, metrics), metrics
        )
        self.server = CallerServer(
            listen,
            ServerContext(limits, self.body_budget, self._application, clock),
        )
        self._register_metrics(interfaces, metrics)

    def start(self) -> None:
        """Start serving."""
        self.disconnect_watcher.start()
        self._poller.start()
        self.reaper.start()
        self.settler.start()
        self.server.start()

    def refuse_new_work(self) -> None:
        """Refuse new requests as not run; those in progress continue."""
        self._application.stopping = True

    def drain(self, timeout: Millis) -> bool:
        """Wait up to ``timeout`` ms for requests in progress.

        Return whether all of them have ended.
        """
        return self.server.wait_idle(timeout)

    def stop(self, timeout: Millis) -> None:
        """Stop serving; flush cancels and outcomes for ``timeout`` ms."""
        deadline = self._clock.now() + timeout
        self.server.stop()
        self.settler.stop(max(0, deadline - self._clock.now()))
        self.reaper.stop(max(0, deadline - self._clock.now()))
        self._poller.stop()
        self.disconnect_watcher.stop()
        self._pool.close()
        self._recorder.close()

    def _create_services(
        self,
        interfaces: FrontendInterfaces,
        owner: Owner,
        metrics: EntryMetrics,
    ) -> Services:
        retries = RetryBudgets(self._clock)
        relay = RelayDependencies(
            self.engine_client,
            interfaces.reservations,
            interfaces.upstreams,
            self.reaper,
            self._poller,
            retries,
            metrics,
            owner,
            self._clock,
        )
        models = ModelDependencies(
            interfaces.settings,
            interfaces.admissions,
            relay,
            self.disconnect_watcher,
            metrics,
            TokenEstimator(),
            OutputEstimator(),
            self._recorder,
            self._clock,
        )
        plain = PlainDependencies(
            interfaces.settings,
            interfaces.upstreams,
            interfaces.claims,
            interfaces.admissions,
            retries,
            self.settler,
            PlainClient(self._pool),
            self.disconnect_watcher,
            metrics,
            owner,
            self._clock,
        )
        return Services(
            ModelService(models),
            PlainService(plain),
            AnnounceService(interfaces.settings, interfaces.upstreams),
        )

    def _register_metrics(
        self, interfaces: FrontendInterfaces, metrics: EntryMetrics
    ) -> None:
        metrics.buffered.set_function(lambda: self.body_budget.used_bytes)
        metrics.revision.set_function(interfaces.settings.revision)
        metrics.unconfirmed_cancels.set_function(lambda: self.reaper.pending)


def _known_engines(
    interfaces: FrontendInterfaces,
) -> tuple[UpstreamRecord, ...]:
    engines: list[UpstreamRecord] = []
    for name in interfaces.settings.service_names():
        for record in interfaces.upstreams.by_service(name):
            if record.kind == UpstreamKind.ENGINE:
                engines.append(record)
    return tuple(engines)
