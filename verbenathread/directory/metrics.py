"""Prometheus metrics of a directory process."""

from prometheus_client import CollectorRegistry, Counter, Gauge


class DirectoryMetrics:
    """Metrics of the replicated log and the directory state."""

    def __init__(self) -> None:
        """Create the metrics on a separate registry."""
        self.registry = CollectorRegistry()
        self.leads = Gauge(
            'verbenathread_directory_leads',
            '1 while this process leads.',
            registry=self.registry,
        )
        self.term = Gauge(
            'verbenathread_directory_term',
            'Term of the replicated log.',
            registry=self.registry,
        )
        self.committed = Gauge(
            'verbenathread_directory_committed_index',
            'Last committed index of the replicated log.',
            registry=self.registry,
        )
        self.syncs = Gauge(
            'verbenathread_directory_syncs',
            'Syncs of the disk since the start.',
            registry=self.registry,
        )
        self.disk_full = Gauge(
            'verbenathread_directory_disk_full',
            '1 while a write waits for space on the disk.',
            registry=self.registry,
        )
        self.voters = Gauge(
            'verbenathread_directory_voters',
            'Members of the log that vote.',
            registry=self.registry,
        )
        self.config_version = Gauge(
            'verbenathread_directory_config_version',
            'Version of the configuration held.',
            registry=self.registry,
        )
        self.workers = Gauge(
            'verbenathread_directory_workers',
            'Workers that are not gone.',
            registry=self.registry,
        )
        self.gateways = Gauge(
            'verbenathread_directory_gateways',
            'Gateways that this process feeds.',
            registry=self.registry,
        )
        self.calls = Counter(
            'verbenathread_directory_calls',
            'Calls of operators and workers, by kind and status.',
            ('call', 'status'),
            registry=self.registry,
        )
