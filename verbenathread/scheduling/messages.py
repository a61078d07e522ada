"""What entries and the owner of an engine's memory tell one another."""

from typing import NamedTuple

from verbenathread.types import Millis, NodeId, UpstreamId, Work


class ReservationRequest(NamedTuple):
    """A request for memory of one engine, for one attempt."""

    work: Work
    attempt_id: str
    entry_id: NodeId
    # Prompt and most output, or this engine's part of them in a group.
    memory_tokens: int
    # Share of the account when accounts compete.
    weight: float = 1.0
    # All engines of the group in ascending order; empty for one engine.
    group: tuple[UpstreamId, ...] = ()
    # Order between groups, the same at every owner: the asking entry's wall
    # clock. Lower goes first; equal ones go by the attempt identifier.
    group_timestamp: Millis = 0
    # The work was admitted before, so the owner does its best for it.
    admitted: bool = False


class Queued(NamedTuple):
    """The ask waits in the owner's queue."""

    expected_wait: Millis


class EngineHold(NamedTuple):
    """One attempt that an engine says it runs, read at takeover."""

    attempt_id: str
    memory_tokens: int
    prompt_tokens: int
    output_tokens: int
    entry_id: NodeId = ''


class EngineReport(NamedTuple):
    """Load of one engine as its owner knows it, small enough to gossip."""

    upstream_id: UpstreamId
    # Grows with each report of one owner; an older one is ignored.
    sequence: int
    memory_tokens: int
    free_tokens: int
    # Requests that run and that wait.
    running: int
    queued: int
    # Expected prefill not yet done, by length class, in ms.
    backlog_by_class: tuple[Millis, Millis, Millis]
    # Prefill granted since the ledger began, by length class, in ms.
    granted_by_class: tuple[Millis, Millis, Millis]
    # Expected prefill time of 1,000 tokens, and of one output token, in us.
    prefill_us: int
    output_us: int
