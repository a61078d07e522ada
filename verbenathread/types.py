"""Types that several packages share."""

import enum
from typing import NamedTuple

UpstreamId = str
NodeId = str
Millis = int


class Address(NamedTuple):
    """An IP number and a port."""

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
    """What an upstream last said of itself; a later state outranks."""

    READY = 1
    # Gets no new work; what runs there goes on.
    LEAVING = 2
    # Its lease ran out or it was removed.
    GONE = 3


class UpstreamKind(enum.Enum):
    """What stands behind a service."""

    ENGINE = 'model'
    PLAIN = 'plain'


class UpstreamRecord(NamedTuple):
    """One upstream, as entries tell one another.

    Of two records of one upstream the greater ``(incarnation, state,
    version)`` holds, so that a late renewal can't revive one that leaves.
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
    # Models or adapters that are loaded, in the order they were named.
    models: tuple[str, ...] = ()
    # prefill, decode or both.
    role: str = 'both'


class LengthClass(enum.IntEnum):
    """Classes of prompts by length; shorter ones outrank."""

    SHORT = 0
    MIDDLE = 1
    LONG = 2


class Work(NamedTuple):
    """What the scheduler knows of one request."""

    request_id: str
    account: str
    service: str
    prompt_tokens: int
    # Most output tokens that the engine may produce.
    most_output_tokens: int
    # Output tokens expected, from what the account and service sent before.
    expected_output_tokens: int
    # Monotonic time by which the answer must be complete.
    deadline: Millis
    arrival: Millis
    # Hash of the leading block of the prompt; equal prefixes share it.
    prefix_hashes: tuple[int, ...] = ()


class Outcome(enum.Enum):
    """How an attempt ended, kept apart from end to end."""

    COMPLETED = 'completed'
    # On evidence: nothing of the request took effect.
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class RefusalReason(enum.Enum):
    """Why a request was given up; callers see the value."""

    OVERLOADED = 'overloaded'
    DEADLINE = 'deadline_cannot_be_met'
    ACCOUNT_LIMIT = 'account_limit'
    TOO_LONG = 'prompt_too_long'
    NO_UPSTREAM = 'no_upstream'
    NO_QUORUM = 'no_quorum'
    STOPPING = 'stopping'
    RETRY_BUDGET = 'retry_budget'


class Refusal(NamedTuple):
    """A request that was not run, why, and when to come back."""

    reason: RefusalReason
    message: str
    retry_after: Millis


class Reservation(NamedTuple):
    """Memory of one engine, or of a group of engines, for one attempt."""

    reservation_id: str
    attempt_id: str
    # The engine that runs the attempt first; others hold parts of its KV.
    upstream_ids: tuple[UpstreamId, ...]
    memory_tokens: int
    # The attempt must reach the engine before this monotonic time.
    start_by: Millis
    # Lower runs first at the engine.
    priority: int
