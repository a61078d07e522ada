"""Messages between entries, to and from the types of this package."""

from collections.abc import Iterable, Sequence

from verbenathread.membership.engine_leases import LeaseAsk, Step
from verbenathread.membership.lease_acceptor import Answer, Verdict
from verbenathread.membership.upstream_leases import Heard
from verbenathread.membership.upstreams import UpstreamKey
from verbenathread.schema import peer_pb2
from verbenathread.types import (
    Address,
    UpstreamKind,
    UpstreamRecord,
    UpstreamState,
)


def news_of(record: UpstreamRecord) -> peer_pb2.UpstreamNews:
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


def record_of(news: peer_pb2.UpstreamNews) -> UpstreamRecord:
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


def wire_key(key: UpstreamKey) -> peer_pb2.UpstreamKey:
    """Return the message for the rank of one record."""
    return peer_pb2.UpstreamKey(
        upstream_id=key.upstream_id,
        incarnation=key.incarnation,
        state=key.state,
        version=key.version,
        check=key.check,
    )


def key_from(message: peer_pb2.UpstreamKey) -> UpstreamKey:
    """Return the rank in one message."""
    return UpstreamKey(
        message.upstream_id,
        message.incarnation,
        message.state,
        message.version,
        message.check,
    )


def ordered_asks(asks: Iterable[LeaseAsk], life: int) -> tuple[LeaseAsk, ...]:
    """Return the asks in the order of the wire.

    A proposal whose promise came from another life of the acceptor than
    ``life`` is left out: it would only be refused.
    """
    by_step: dict[Step, list[LeaseAsk]] = {step: [] for step in Step}
    for ask in asks:
        if ask.step is Step.PROPOSE and ask.life != life:
            continue
        by_step[ask.step].append(ask)
    return (
        *by_step[Step.PREPARE],
        *by_step[Step.PROPOSE],
        *by_step[Step.RELEASE],
    )


def put_asks(
    message: peer_pb2.PeerMessage, asks: Sequence[LeaseAsk], life: int
) -> None:
    """Put ordered asks into a message."""
    batch_by_step = {
        Step.PREPARE: message.prepare,
        Step.PROPOSE: message.propose,
        Step.RELEASE: message.release,
    }
    for ask in asks:
        batch_by_step[ask.step].engines.append(ask.engine)
        batch_by_step[ask.step].rounds.append(ask.round)
    if message.propose.engines:
        message.acceptor_incarnation = life


def asks_from(message: peer_pb2.PeerMessage) -> tuple[LeaseAsk, ...]:
    """Return the asks in a message, in the order of the wire."""
    asks = []
    life = message.acceptor_incarnation
    for step, batch in (
        (Step.PREPARE, message.prepare),
        (Step.PROPOSE, message.propose),
        (Step.RELEASE, message.release),
    ):
        for engine, ballot_round in zip(
            batch.engines, batch.rounds, strict=True
        ):
            asks.append(LeaseAsk(step, engine, ballot_round, life, 0))
    return tuple(asks)


def put_answers(reply: peer_pb2.PeerReply, answers: Iterable[Answer]) -> None:
    """Put the answers to a message's asks into its reply."""
    for answer in answers:
        reply.leases.verdicts.append(int(answer.verdict))
        reply.leases.rounds.append(answer.promised_round)


def answers_from(reply: peer_pb2.PeerReply) -> tuple[Answer, ...]:
    """Return the answers in a reply, in the order of the asks."""
    return tuple(
        Answer(Verdict(verdict), promised_round)
        for verdict, promised_round in zip(
            reply.leases.verdicts, reply.leases.rounds, strict=True
        )
    )


def heard_from(
    message: peer_pb2.PeerMessage, reply: peer_pb2.PeerReply
) -> tuple[Heard, ...]:
    """Return what a reply says of the upstreams that were asked for."""
    return tuple(
        Heard(upstream_hash, age - 1 if age else None)
        for upstream_hash, age in zip(
            message.heard_asks, reply.heard_ages, strict=False
        )
    )
