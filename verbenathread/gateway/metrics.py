"""Prometheus metrics of a gateway."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

_BUCKETS_S = (0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1, 1.5, 2.5, 5, 10)


class GatewayMetrics:
    """The metrics of one gateway."""

    def __init__(self) -> None:
        """Create the metrics in a separate registry."""
        self.registry = CollectorRegistry()
        self.requests = Counter(
            'verbenathread_gateway_requests',
            'Requests of callers, by how they ended.',
            ('outcome',),
            registry=self.registry,
        )
        self.sends = Counter(
            'verbenathread_gateway_sends',
            'Sends to workers, by what came of them.',
            ('verdict',),
            registry=self.registry,
        )
        self.first_event = Histogram(
            'verbenathread_gateway_first_event_seconds',
            'Time to the first event by prompt length.',
            ('length',),
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.answer = Histogram(
            'verbenathread_gateway_answer_seconds',
            'Time to the whole answer of a plain service.',
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.waiting = Gauge(
            'verbenathread_gateway_waiting',
            'Generations that wait for a place at an engine.',
            registry=self.registry,
        )
        self.config_version = Gauge(
            'verbenathread_gateway_config_version',
            'Version of the configuration in force.',
            registry=self.registry,
        )
        self.workers = Gauge(
            'verbenathread_gateway_workers',
            'Workers that the directory lists.',
            registry=self.registry,
        )
