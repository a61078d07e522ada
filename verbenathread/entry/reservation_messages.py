"""Messages about reservations, to and from the types of the scheduler."""

from typing import Final

from verbenathread.clock import Clock
from verbenathread.scheduling.messages import ReservationRequest
from verbenathread.schema import peer_pb2
from verbenathread.types import (
    Millis,
    NodeId,
    Refusal,
    RefusalReason,
    UpstreamId,
    Work,
)

# Refusals between entries; callers never see them.
NOT_OWNER: Final = 'not_owner'
QUEUED: Final = 'queued'


def encode_request(
    upstream_id: UpstreamId,
    ask: ReservationRequest,
    incarnation: int,
    now: Millis,
) -> peer_pb2.ReserveRequest:
    """Return the message that asks an owner for memory."""
    work = ask.work
    return peer_pb2.ReserveRequest(
        node_id=ask.entry_id,
        incarnation=incarnation,
        upstream_id=upstream_id,
        attempt_id=ask.attempt_id,
        request_id=work.request_id,
        account=work.account,
        service=work.service,
        prompt_tokens=work.prompt_tokens,
        most_output_tokens=work.most_output_tokens,
        expected_output_tokens=work.expected_output_tokens,
        remaining_ms=max(0, work.deadline - now),
        age_ms=max(0, now - work.arrival),
        prefix_hashes=work.prefix_hashes,
        memory_tokens=ask.memory_tokens,
        group=ask.group,
        weight=ask.weight,
        admitted=ask.admitted,
        order=ask.group_timestamp,
    )


def decode_request(
    request: peer_pb2.ReserveRequest, clock: Clock
) -> ReservationRequest:
    """Return the ask in a message, in the time of this node's clock."""
    now = clock.now()
    work = Work(
        request_id=request.request_id,
        account=request.account,
        service=request.service,
        prompt_tokens=request.prompt_tokens,
        most_output_tokens=request.most_output_tokens,
        expected_output_tokens=request.expected_output_tokens,
        deadline=now + request.remaining_ms,
        arrival=now - request.age_ms,
        prefix_hashes=tuple(request.prefix_hashes),
    )
    return ReservationRequest(
        work,
        request.attempt_id,
        request.node_id,
        request.memory_tokens,
        weight=request.weight,
        group=tuple(request.group),
        admitted=request.admitted,
        group_timestamp=request.order,
    )


def not_owner_reply(
    node_id: NodeId, upstream_id: UpstreamId
) -> peer_pb2.ReserveReply:
    """Return the refusal of an entry that does not own the engine now."""
    return peer_pb2.ReserveReply(
        refusal=NOT_OWNER,
        message=f'{node_id} does not own the memory of {upstream_id} now.',
    )


def encode_refusal(refusal: Refusal) -> peer_pb2.ReserveReply:
    """Return the message of a refusal by the ledger."""
    return peer_pb2.ReserveReply(
        refusal=refusal.reason.value,
        message=refusal.message,
        retry_after_ms=max(0, refusal.retry_after),
    )


def decode_refusal(reply: peer_pb2.ReserveReply) -> Refusal:
    """Return the refusal in a reply, as callers may see it."""
    reason = RefusalReason.OVERLOADED
    if reply.refusal not in {NOT_OWNER, QUEUED}:
        reason = RefusalReason(reply.refusal)
    return Refusal(reason, reply.message, reply.retry_after_ms)
