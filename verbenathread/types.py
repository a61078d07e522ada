"""Types shared by several packages."""

import enum
from typing import NamedTuple

UpstreamId = str
NodeId = str
Millis = int


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


class Peer(NamedTuple):
    """A node and the address at which other nodes reach it."""

    node_id: NodeId
    address: Address


class UpstreamState(enum.IntEnum):
    """State of an upstream; of one incarnation, the higher value wins."""

    READY = 1
    # Receives no new work; running requests continue.
    LEAVING = 2
    # Its lease expired or it was removed.
    GONE = 3


class UpstreamKind(enum.Enum):
    """Kind of upstream that serves a service."""

    ENGINE = 'model'
    PLAIN = 'plain'


class UpstreamRecord(NamedTuple):
    """One upstream, as entries report it to one another.

    Of two records of the same upstream the one with the greater
    ``(incarnation, state, version)`` wins, so that a late renewal can't
    revive an upstream that is leaving.
    """

    upstream_id: UpstreamId
    incarnation: int
    state: UpstreamState
    version: int
    service: str
    kind: UpstreamKind
    address: Address
    data_centre: str
    # Capacity of the KV cache in tokens; 0 for a plain service.
    memory_tokens: int
    # Loaded models or adapters, in the announced order.
    models: tuple[str, ...] = ()
    # One of 'prefill', 'decode' and 'both'.
    role: str = 'both'


class LengthClass(enum.IntEnum):
    """Classes of prompts by length; shorter prompts have priority."""

    SHORT = 0
    MIDDLE = 1
    LONG = 2


class Work(NamedTuple):
    """One request, as the scheduler sees it."""

    request_id: str
    account: str
    service: str
    prompt_tokens: int
    # Maximum number of output tokens that the engine may produce.
    most_output_tokens: int
    # Expected output tokens, estimated from earlier requests of the account
    # and service.
    expected_output_tokens: int
    # Monotonic time by which the response must be complete.
    deadline: Millis
    arrival: Millis
    # Hashes of the prompt's leading blocks; equal prefixes share them.
    prefix_hashes: tuple[int, ...] = ()


class Outcome(enum.Enum):
    """How an attempt ended."""

    COMPLETED = 'completed'
    # Certainly not run, so that it is safe to send it again.
    NOT_RUN = 'not-run'
    # It may have run; never reported as not run.
    UNKNOWN = 'unknown'


class RefusalReason(enum.Enum):
    """Why a request was refused; the value is sent to the client."""

    OVERLOADED = 'overloaded'
    DEADLINE = 'deadline_cannot_be_met'
    ACCOUNT_LIMIT = 'account_limit'
    TOO_LONG = 'prompt_too_long'
    NO_UPSTREAM = 'no_upstream'
    NO_QUORUM = 'no_quorum'
    STOPPING = 'stopping'
    RETRY_BUDGET = 'retry_budget'


class Refusal(NamedTuple):
    """Why a request was not run, and after how long to retry."""

    reason: RefusalReason
    message: str
    retry_after: Millis


class Reservation(NamedTuple):
    """Memory of one engine, or of a group of engines, for one attempt."""

    reservation_id: str
    attempt_id: str
    # The engine that runs the attempt comes first; the others hold parts of
    # its KV cache.
    upstream_ids: tuple[UpstreamId, ...]
    memory_tokens: int
    # The attempt must reach the engine before this monotonic time.
    start_by: Millis
    # Lower values run first on the engine.
    priority: int
