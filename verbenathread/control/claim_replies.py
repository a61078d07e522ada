"""Builds the replies of the claim table."""

from verbenathread.schema import control_pb2

MAX_ANSWER_BYTES = 65_536
# Delay before a caller repeats its request.
RETRY_AFTER_MS = 1000


def without_large_body(
    stored: control_pb2.StoredAnswer,
) -> control_pb2.StoredAnswer:
    """Return the answer to store; a body over the limit is omitted."""
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
    """Return the reply to a claim, with the stored answer if completed."""
    return control_pb2.ClaimReply(
        answer=control_pb2.Answer(code=control_pb2.OK),
        state=state,
        stored=stored if state == control_pb2.CLAIM_COMPLETED else None,
    )


def invalid_claim(message: str) -> control_pb2.ClaimReply:
    """Return the reply to an invalid claim."""
    return control_pb2.ClaimReply(
        answer=control_pb2.Answer(code=control_pb2.INVALID, message=message)
    )


def table_full() -> control_pb2.ClaimReply:
    """Return the reply to a claim without room in the table; nothing ran."""
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
    """Return the reply to a reported outcome."""
    return control_pb2.SettleReply(
        answer=control_pb2.Answer(code=code, message=message)
    )


def repeated_settle_reply(
    recorded: control_pb2.ClaimState, requested: control_pb2.ClaimState
) -> control_pb2.SettleReply:
    """Return the reply to an outcome that was already recorded."""
    if recorded == requested:
        return settle_reply(control_pb2.OK, '')
    return settle_reply(
        control_pb2.CONFLICT, 'the attempt was settled with another outcome'
    )
