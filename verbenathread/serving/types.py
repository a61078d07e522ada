"""Types of the serving configuration and of the workers."""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from verbenathread.types import Address, Millis


class RequestKind(enum.Enum):
    """How often the requests of a route may run."""

    IDEMPOTENT = 'repeatable'
    # At most once for each attempt of a caller.
    AT_MOST_ONCE = 'once'
    # A stream of events; repeatable only where it can be resumed.
    STREAM = 'stream'


class Target(NamedTuple):
    """A service that a route sends to, and its share."""

    service: str
    weight: int


class Route(NamedTuple):
    """Where requests of one host and path prefix go."""

    name: str
    host: str
    # Begins and ends with a slash.
    prefix: str
    kind: RequestKind
    time_limit: Millis
    # Within it an answer, or a stream's first event, is in time.
    target_latency: Millis
    # 0 is served first.
    priority: int
    targets: tuple[Target, ...]
    # Most workers that one attempt of a caller may be sent to.
    max_attempts: int
    # Served without a key.
    public: bool
    # A broken stream may go on at another worker after its last event.
    resumable: bool
    # Longest pause between events that is still in time.
    target_pause: Millis

    def may_retry(self) -> bool:
        """Tell whether a request that may have run can be sent again."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


class EngineModel(NamedTuple):
    """How fast an engine of a service reads and writes, when it is sound."""

    slots: int
    memory_tokens: int
    # Token steps in one pass that writes; an event holds as many tokens.
    stride: int
    step_ms: float
    # Added to a step for each request that writes.
    sequence_ms: float
    # Added to a step for each 1,000 tokens of context.
    context_ms: float
    prefill_tokens_per_ms: float
    # Milliseconds for a million pairs of a token and an earlier one.
    attention_ms: float


class ServiceSpec(NamedTuple):
    """A service that routes name."""

    name: str
    # None for a plain service.
    engine: EngineModel | None


class ClientLimits(NamedTuple):
    """What a caller may send, and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_timeout: Millis
    idle_timeout: Millis


class ClientAccount(NamedTuple):
    """A client account, as workers hear of it."""

    name: str
    # Goes before the route's; None leaves that in force.
    priority: int | None


class ServingConfig(NamedTuple):
    """A complete configuration as an operator sent it."""

    version: int
    routes: tuple[Route, ...]
    service_by_name: Mapping[str, ServiceSpec]
    limits: ClientLimits
    # None where requests carry no keys.
    account_by_key: Mapping[str, ClientAccount] | None


class WorkerState(enum.IntEnum):
    """What a worker last said of itself; a later state outranks."""

    READY = 1
    DRAINING = 2
    GONE = 3


class Worker(NamedTuple):
    """A worker as the registry holds it."""

    worker_id: str
    # Unix ms at which this life began.
    started_at: int
    # Counts what it said in this life.
    sequence: int
    state: WorkerState
    service: str
    address: Address
    data_centre: str
    slots: int


class Prompt(NamedTuple):
    """Size of a generation, from the caller's headers."""

    tokens: int
    max_output: int
    # Output that the caller expects; the most where it says nothing.
    expected_output: int
