"""Conversion between messages of entries and the types of this package."""

from collections.abc import Iterable, Sequence

from verbenathread.membership.engine_leases import LeaseRequest, Phase
from verbenathread.membership.lease_acceptor import LeaseResponse, Verdict
from verbenathread.membership.upstream_leases import RenewalAge
from verbenathread.membership.upstreams import UpstreamKey
from verbenathread.schema import peer_pb2
from verbenathread.types import (
    Address,
    UpstreamKind,
    UpstreamRecord,
    UpstreamState,
)


def encode_record(record: UpstreamRecord) -> peer_pb2.UpstreamNews:
    """Encode one upstream record."""
    return peer_pb2.UpstreamNews(
        upstream_id=record.upstream_id,
        incarnation=record.incarnation,
        state=int(record.state),
        version=record.version,
        service=record.service,
        kind=record.kind.value,
        host=record.address.host,
        port=record.address.port,
        data_centre=record.data_centre,
        memory_tokens=record.memory_tokens,
        models=record.models,
        role=record.role,
    )


def decode_record(news: peer_pb2.UpstreamNews) -> UpstreamRecord:
    """Decode one upstream record."""
    return UpstreamRecord(
        upstream_id=news.upstream_id,
        incarnation=news.incarnation,
        state=UpstreamState(news.state),
        version=news.version,
        service=news.service,
        kind=UpstreamKind(news.kind),
        address=Address(news.host, news.port),
        data_centre=news.data_centre,
        memory_tokens=news.memory_tokens,
        models=tuple(news.models),
        role=news.role,
    )


def encode_key(key: UpstreamKey) -> peer_pb2.UpstreamKey:
    """Encode the rank of one record."""
    return peer_pb2.UpstreamKey(
        upstream_id=key.upstream_id,
        incarnation=key.incarnation,
        state=key.state,
        version=key.version,
        check=key.check,
    )


def decode_key(message: peer_pb2.UpstreamKey) -> UpstreamKey:
    """Decode the rank of one record."""
    return UpstreamKey(
        message.upstream_id,
        message.incarnation,
        message.state,
        message.version,
        message.check,
    )


def order_requests(
    requests: Iterable[LeaseRequest], incarnation: int
) -> tuple[LeaseRequest, ...]:
    """Return the requests in the order in which a message lists them.

    A proposal whose promise came from another incarnation of the acceptor is
    left out, since the acceptor would refuse it.
    """
    by_phase: dict[Phase, list[LeaseRequest]] = {phase: [] for phase in Phase}
    for request in requests:
        if (
            request.phase is Phase.PROPOSE
            and request.acceptor_incarnation != incarnation
        ):
            continue
        by_phase[request.phase].append(request)
    return (
        *by_phase[Phase.PREPARE],
        *by_phase[Phase.PROPOSE],
        *by_phase[Phase.RELEASE],
    )


def add_requests(
    message: peer_pb2.PeerMessage,
    requests: Sequence[LeaseRequest],
    incarnation: int,
) -> None:
    """Add ordered lease requests to a message."""
    batch_by_phase = {
        Phase.PREPARE: message.prepare,
        Phase.PROPOSE: message.propose,
        Phase.RELEASE: message.release,
    }
    for request in requests:
        batch_by_phase[request.phase].engines.append(request.engine)
        batch_by_phase[request.phase].rounds.append(request.round)
    if message.propose.engines:
        message.acceptor_incarnation = incarnation


def decode_requests(message: peer_pb2.PeerMessage) -> tuple[LeaseRequest, ...]:
    """Decode the lease requests of a message, in its order."""
    requests = []
    incarnation = message.acceptor_incarnation
    for phase, batch in (
        (Phase.PREPARE, message.prepare),
        (Phase.PROPOSE, message.propose),
        (Phase.RELEASE, message.release),
    ):
        for engine, ballot_round in zip(
            batch.engines, batch.rounds, strict=True
        ):
            requests.append(
                LeaseRequest(phase, engine, ballot_round, incarnation, 0)
            )
    return tuple(requests)


def add_responses(
    reply: peer_pb2.PeerReply, responses: Iterable[LeaseResponse]
) -> None:
    """Add the responses to a message's lease requests to its reply."""
    for response in responses:
        reply.leases.verdicts.append(int(response.verdict))
        reply.leases.rounds.append(response.promised_round)


def decode_responses(reply: peer_pb2.PeerReply) -> tuple[LeaseResponse, ...]:
    """Decode the lease responses of a reply, in the order of the requests."""
    return tuple(
        LeaseResponse(Verdict(verdict), promised_round)
        for verdict, promised_round in zip(
            reply.leases.verdicts, reply.leases.rounds, strict=True
        )
    )


def decode_renewal_ages(
    message: peer_pb2.PeerMessage, reply: peer_pb2.PeerReply
) -> tuple[RenewalAge, ...]:
    """Decode the renewal ages of the upstreams that a message queried.

    An age is sent plus one, since 0 stands for no renewal.
    """
    return tuple(
        RenewalAge(upstream_hash, age - 1 if age else None)
        for upstream_hash, age in zip(
            message.heard_asks, reply.heard_ages, strict=False
        )
    )
