"""Messages between entries and the owner of an engine's memory."""

from typing import NamedTuple

from verbenathread.types import Millis, NodeId, UpstreamId, Work


class ReservationRequest(NamedTuple):
    """Requests memory of one engine for one attempt."""

    work: Work
    attempt_id: str
    entry_id: NodeId
    # Prompt plus maximum output, or this engine's share of them in a group.
    memory_tokens: int
    # Weight of the account in fair queueing.
    weight: float = 1.0
    # All engines of the group in ascending order; empty for a single engine.
    group: tuple[UpstreamId, ...] = ()
    # Wall clock of the requesting entry, which orders groups the same way at
    # every owner. Lower goes first; ties are broken by attempt identifier.
    group_timestamp: Millis = 0
    # Already admitted: the owner skips the queue limit and the deadline check.
    admitted: bool = False


class Queued(NamedTuple):
    """Reports that a request waits in the owner's queue."""

    expected_wait: Millis


class EngineHold(NamedTuple):
    """An attempt that an engine reports as running, read at takeover."""

    attempt_id: str
    memory_tokens: int
    prompt_tokens: int
    output_tokens: int
    entry_id: NodeId = ''


class EngineReport(NamedTuple):
    """Load of one engine as seen by its owner, small enough to gossip."""

    upstream_id: UpstreamId
    # Increases with each report of one owner.
    sequence: int
    memory_tokens: int
    free_tokens: int
    # Numbers of running and of queued requests.
    running: int
    queued: int
    # Expected remaining prefill, by length class, in ms.
    backlog_by_class: tuple[Millis, Millis, Millis]
    # Prefill granted since the ledger was created, by length class, in ms.
    granted_by_class: tuple[Millis, Millis, Millis]
    # Expected time to prefill 1,000 tokens and to generate one token, in us.
    prefill_us: int
    output_us: int
