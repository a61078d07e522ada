"""Converts reservation messages to and from the types of the scheduler."""

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

# Refusals between entries; they are never sent to callers.
NOT_OWNER: Final = 'not_owner'
QUEUED: Final = 'queued'


def encode_request(
    upstream_id: UpstreamId,
    request: ReservationRequest,
    incarnation: int,
    now: Millis,
) -> peer_pb2.ReserveRequest:
    """Return the message that requests memory from an owner."""
    work = request.work
    return peer_pb2.ReserveRequest(
        node_id=request.entry_id,
        incarnation=incarnation,
        upstream_id=upstream_id,
        attempt_id=request.attempt_id,
        request_id=work.request_id,
        account=work.account,
        service=work.service,
        prompt_tokens=work.prompt_tokens,
        most_output_tokens=work.most_output_tokens,
        expected_output_tokens=work.expected_output_tokens,
        remaining_ms=max(0, work.deadline - now),
        age_ms=max(0, now - work.arrival),
        prefix_hashes=work.prefix_hashes,
        memory_tokens=request.memory_tokens,
        group=request.group,
        weight=request.weight,
        admitted=request.admitted,
        order=request.group_timestamp,
    )


def decode_request(
    message: peer_pb2.ReserveRequest, clock: Clock
) -> ReservationRequest:
    """Return the request in a message, with times of this node's clock."""
    now = clock.now()
    work = Work(
        request_id=message.request_id,
        account=message.account,
        service=message.service,
        prompt_tokens=message.prompt_tokens,
        most_output_tokens=message.most_output_tokens,
        expected_output_tokens=message.expected_output_tokens,
        deadline=now + message.remaining_ms,
        arrival=now - message.age_ms,
        prefix_hashes=tuple(message.prefix_hashes),
    )
    return ReservationRequest(
        work,
        message.attempt_id,
        message.node_id,
        message.memory_tokens,
        weight=message.weight,
        group=tuple(message.group),
        admitted=message.admitted,
        group_timestamp=message.order,
    )


def not_owner_reply(
    node_id: NodeId, upstream_id: UpstreamId
) -> peer_pb2.ReserveReply:
    """Return the refusal of an entry that does not own the engine."""
    return peer_pb2.ReserveReply(
        refusal=NOT_OWNER,
        message=f'{node_id} does not own the memory of {upstream_id} now.',
    )


def encode_refusal(refusal: Refusal) -> peer_pb2.ReserveReply:
    """Return the reply that carries a refusal of the ledger."""
    return peer_pb2.ReserveReply(
        refusal=refusal.reason.value,
        message=refusal.message,
        retry_after_ms=max(0, refusal.retry_after),
    )


def decode_refusal(reply: peer_pb2.ReserveReply) -> Refusal:
    """Return the refusal in a reply, in a form that callers may see."""
    reason = RefusalReason.OVERLOADED
    if reply.refusal not in {NOT_OWNER, QUEUED}:
        reason = RefusalReason(reply.refusal)
    return Refusal(reason, reply.message, reply.retry_after_ms)
