"""Prometheus metrics of the daemons."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

# Upper bounds of the prompt length buckets in tokens, and their labels.
LENGTH_BUCKETS = (
    (4_096, '4k'),
    (32_768, '32k'),
    (131_072, '128k'),
    (1_048_576, '1M'),
)
OVERFLOW_LABEL = 'over'

_FIRST_TOKEN_SECONDS = (
    0.05,
    0.1,
    0.2,
    0.4,
    0.63,
    1,
    2,
    5,
    10,
    30,
    60,
    120,
    300,
)


def length_label(prompt_tokens: int) -> str:
    """Return the label of the bucket for a prompt of this length."""
    for bound, label in LENGTH_BUCKETS:
        if prompt_tokens <= bound:
            return label
    return OVERFLOW_LABEL


class EntryMetrics:
    """Metrics of one entry."""

    def __init__(self) -> None:
        """Create the metrics in a registry of their own."""
        self.registry = CollectorRegistry()
        self.first_token = Histogram(
            'verbenathread_first_token_seconds',
            'Time to first token by prompt length.',
            ('service', 'length'),
            buckets=_FIRST_TOKEN_SECONDS,
            registry=self.registry,
        )
        self.requests = Counter(
            'verbenathread_requests',
            'Requests answered, by how they ended.',
            ('service', 'outcome'),
            registry=self.registry,
        )
        self.refusals = Counter(
            'verbenathread_refusals',
            'Requests refused as not run, by reason.',
            ('reason',),
            registry=self.registry,
        )
        self.retries = Counter(
            'verbenathread_retries',
            'Attempts after the first.',
            ('service',),
            registry=self.registry,
        )
        self.streams = Gauge(
            'verbenathread_streams',
            'Requests in progress.',
            registry=self.registry,
        )
        self.waiting = Gauge(
            'verbenathread_waiting',
            'Requests that wait for memory of an engine.',
            registry=self.registry,
        )
        self.buffered = Gauge(
            'verbenathread_buffered_bytes',
            'Bytes of request bodies held.',
            registry=self.registry,
        )
        self.revision = Gauge(
            'verbenathread_revision_in_force',
            'Revision of the shared settings that this node runs.',
            registry=self.registry,
        )
        self.unconfirmed_cancels = Gauge(
            'verbenathread_unconfirmed_cancels',
            'Cancels that an engine has not confirmed yet.',
            registry=self.registry,
        )


class ControlMetrics:
    """Metrics of one control process."""

    def __init__(self) -> None:
        """Create the metrics in a registry of their own."""
        self.registry = CollectorRegistry()
        self.leads = Gauge(
            'verbenathread_control_leads',
            '1 while this process leads.',
            registry=self.registry,
        )
        self.term = Gauge(
            'verbenathread_control_term',
            'Term of the replicated log.',
            registry=self.registry,
        )
        self.committed = Gauge(
            'verbenathread_control_committed_index',
            'Last committed index of the replicated log.',
            registry=self.registry,
        )
        self.revision = Gauge(
            'verbenathread_control_revision',
            'Revision of the tree of settings.',
            registry=self.registry,
        )
        self.sessions = Gauge(
            'verbenathread_control_sessions',
            'Nodes that hold a session with this process.',
            registry=self.registry,
        )
