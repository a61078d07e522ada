"""Messages between entries, to and from the types of this package."""

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
    """Return the message for one record."""
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
    """Return the record in one message."""
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
    """Return the message for the rank of one record."""
    return peer_pb2.UpstreamKey(
        upstream_id=key.upstream_id,
        incarnation=key.incarnation,
        state=key.state,
        version=key.version,
        check=key.check,
    )


def decode_key(message: peer_pb2.UpstreamKey) -> UpstreamKey:
    """Return the rank in one message."""
    return UpstreamKey(
        message.upstream_id,
        message.incarnation,
        message.state,
        message.version,
        message.check,
    )


def order_requests(
    asks: Iterable[LeaseRequest], life: int
) -> tuple[LeaseRequest, ...]:
    """Return the asks in the order of the wire.

    A proposal whose promise came from another life of the acceptor than
    ``life`` is left out: it would only be refused.
    """
    by_step: dict[Phase, list[LeaseRequest]] = {step: [] for step in Phase}
    for ask in asks:
        if ask.phase is Phase.PROPOSE and ask.acceptor_incarnation != life:
            continue
        by_step[ask.phase].append(ask)
    return (
        *by_step[Phase.PREPARE],
        *by_step[Phase.PROPOSE],
        *by_step[Phase.RELEASE],
    )


def add_requests(
    message: peer_pb2.PeerMessage, asks: Sequence[LeaseRequest], life: int
) -> None:
    """Put ordered asks into a message."""
    batch_by_step = {
        Phase.PREPARE: message.prepare,
        Phase.PROPOSE: message.propose,
        Phase.RELEASE: message.release,
    }
    for ask in asks:
        batch_by_step[ask.phase].engines.append(ask.engine)
        batch_by_step[ask.phase].rounds.append(ask.round)
    if message.propose.engines:
        message.acceptor_incarnation = life


def decode_requests(message: peer_pb2.PeerMessage) -> tuple[LeaseRequest, ...]:
    """Return the asks in a message, in the order of the wire."""
    asks = []
    life = message.acceptor_incarnation
    for step, batch in (
        (Phase.PREPARE, message.prepare),
        (Phase.PROPOSE, message.propose),
        (Phase.RELEASE, message.release),
    ):
        for engine, ballot_round in zip(
            batch.engines, batch.rounds, strict=True
        ):
            asks.append(LeaseRequest(step, engine, ballot_round, life, 0))
    return tuple(asks)


def add_responses(
    reply: peer_pb2.PeerReply, answers: Iterable[LeaseResponse]
) -> None:
    """Put the answers to a message's asks into its reply."""
    for answer in answers:
        reply.leases.verdicts.append(int(answer.verdict))
        reply.leases.rounds.append(answer.promised_round)


def decode_responses(reply: peer_pb2.PeerReply) -> tuple[LeaseResponse, ...]:
    """Return the answers in a reply, in the order of the asks."""
    return tuple(
        LeaseResponse(Verdict(verdict), promised_round)
        for verdict, promised_round in zip(
            reply.leases.verdicts, reply.leases.rounds, strict=True
        )
    )


def decode_renewal_ages(
    message: peer_pb2.PeerMessage, reply: peer_pb2.PeerReply
) -> tuple[RenewalAge, ...]:
    """Return what a reply says of the upstreams that were asked for."""
    return tuple(
        RenewalAge(upstream_hash, age - 1 if age else None)
        for upstream_hash, age in zip(
            message.heard_asks, reply.heard_ages, strict=False
        )
    )
