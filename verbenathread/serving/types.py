"""Types of the serving configuration and of workers."""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from verbenathread.types import Address, Millis


class RequestKind(enum.Enum):
    """How often a request of a route may run."""

    IDEMPOTENT = 'repeatable'
    # Runs at most once per attempt id.
    AT_MOST_ONCE = 'once'
    # A stream of events; retried only if the route is resumable.
    STREAM = 'stream'


class Target(NamedTuple):
    """A service that a route sends to, and its weight."""

    service: str
    weight: int


class Route(NamedTuple):
    """Routing of the requests for one host and path prefix."""

    name: str
    host: str
    # Begins and ends with a slash.
    prefix: str
    kind: RequestKind
    time_limit: Millis
    # An answer, or the first event of a stream, is late after this time.
    target_latency: Millis
    # 0 is the highest.
    priority: int
    targets: tuple[Target, ...]
    # Maximum number of workers that one request is sent to; 0 sends none.
    max_attempts: int
    # Served without an API key.
    public: bool
    # A broken stream may be resumed on another worker after its last event.
    resumable: bool
    # Longest pause between events that is still in time.
    target_pause: Millis

    def may_retry(self) -> bool:
        """Return whether a request that may have run can be sent again."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


class EngineModel(NamedTuple):
    """Prefill and decode speed of a healthy engine of a service."""

    slots: int
    memory_tokens: int
    # Decode steps per iteration; an event holds this many tokens.
    stride: int
    step_ms: float
    # Added to a step for each sequence in the batch.
    sequence_ms: float
    # Added to a step for each 1,000 tokens of context.
    context_ms: float
    prefill_tokens_per_ms: float
    # Prefill time for a million pairs of a token and an earlier one.
    attention_ms: float


class ServiceSpec(NamedTuple):
    """A service that routes refer to."""

    name: str
    # None for a plain service.
    engine: EngineModel | None


class ClientLimits(NamedTuple):
    """Limits on the size and duration of callers' requests."""

    header_bytes: int
    body_bytes: int
    header_timeout: Millis
    idle_timeout: Millis


class ClientAccount(NamedTuple):
    """A client account; its name is passed on to workers."""

    name: str
    # Overrides the priority of the route unless None.
    priority: int | None


class ServingConfig(NamedTuple):
    """A complete configuration as sent by an operator."""

    version: int
    routes: tuple[Route, ...]
    service_by_name: Mapping[str, ServiceSpec]
    limits: ClientLimits
    # None if requests are served without keys; if empty, no key is good.
    account_by_key: Mapping[str, ClientAccount] | None


class WorkerState(enum.IntEnum):
    """State that a worker last reported; a higher one takes precedence."""

    READY = 1
    DRAINING = 2
    GONE = 3


class Worker(NamedTuple):
    """A worker as stored in the registry."""

    worker_id: str
    # Unix ms at which this incarnation started.
    started_at: int
    # Number of the heartbeat within this incarnation.
    sequence: int
    state: WorkerState
    service: str
    address: Address
    data_centre: str
    slots: int


class Prompt(NamedTuple):
    """Size of a generation as stated in the caller's headers."""

    tokens: int
    max_output: int
    # Output that the caller expects; ``max_output`` if it states none.
    expected_output: int
    # Ids of the parts that other prompts may share, in order; the part of the
    # prompt's own is left out.
    shared_parts: tuple[str, ...] = ()
