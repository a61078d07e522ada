"""Answers of the claim table."""

from verbenathread.schema import control_pb2

MAX_ANSWER_BYTES = 65_536
# How long a caller waits before it asks again, in ms.
RETRY_AFTER_MS = 1000


def without_large_body(
    stored: control_pb2.StoredAnswer,
) -> control_pb2.StoredAnswer:
    """Return an answer as it is stored; a body over the limit is left out."""
    if len(stored.body) <= MAX_ANSWER_BYTES:
        return stored
    return control_pb2.StoredAnswer(
        status=stored.status,
        content_type=stored.content_type,
        body_omitted=True,
    )


def claim_reply(
    state: control_pb2.ClaimState,
    stored: control_pb2.StoredAnswer | None = None,
) -> control_pb2.ClaimReply:
    """Return the answer to a claim; a completed one brings what is stored."""
    return control_pb2.ClaimReply(
        answer=control_pb2.Answer(code=control_pb2.OK),
        state=state,
        stored=stored if state == control_pb2.CLAIM_COMPLETED else None,
    )


def invalid_claim(message: str) -> control_pb2.ClaimReply:
    """Return the answer to a claim that can't be used as written."""
    return control_pb2.ClaimReply(
        answer=control_pb2.Answer(code=control_pb2.INVALID, message=message)
    )


def table_full() -> control_pb2.ClaimReply:
    """Return the answer to a claim that has no room; nothing was run."""
    return control_pb2.ClaimReply(
        answer=control_pb2.Answer(
            code=control_pb2.NO_QUORUM,
            message='the claim table is full; lower claim_retention',
            retry_after_ms=RETRY_AFTER_MS,
        )
    )


def settle_reply(
    code: control_pb2.Code, message: str
) -> control_pb2.SettleReply:
    """Return the answer to an outcome."""
    return control_pb2.SettleReply(
        answer=control_pb2.Answer(code=code, message=message)
    )


def repeated_settle_reply(
    stands: control_pb2.ClaimState, asked: control_pb2.ClaimState
) -> control_pb2.SettleReply:
    """Return the answer to an outcome that was recorded before."""
    if stands == asked:
        return settle_reply(control_pb2.OK, '')
    return settle_reply(
        control_pb2.CONFLICT, 'the attempt was settled with another outcome'
    )
