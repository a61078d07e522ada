"""Responses to calls with an idempotency key that was claimed before."""

import http
from typing import NoReturn

from verbenathread.entry.error_responses import HttpError, RunState
from verbenathread.entry.exchange import Exchange
from verbenathread.entry.plain_client import PlainResponse
from verbenathread.schema import control_pb2

_RETRY_AFTER_MS = 1000
_REPLAYED_HEADER = (('Idempotent-Replayed', 'true'),)


def answer_repeated_call(
    exchange: Exchange, reply: control_pb2.ClaimReply
) -> None:
    """Replay the stored response of the call that claimed the same key.

    Raises :class:`HttpError` if there is no stored response.
    """
    if reply.state == control_pb2.CLAIM_COMPLETED:
        stored = reply.stored
        headers = (*_REPLAYED_HEADER, ('X-Run-State', RunState.RUN.value))
        exchange.reply(stored.status, stored.body, stored.content_type, headers)
        return
    _raise_claim_error(reply)


def _raise_claim_error(reply: control_pb2.ClaimReply) -> NoReturn:
    wait = reply.retry_after_ms or _RETRY_AFTER_MS
    if reply.state == control_pb2.CLAIM_IN_PROGRESS:
        raise HttpError(
            http.HTTPStatus.CONFLICT,
            'in_progress',
            'A call with this Idempotency-Key is in progress; send it again '
            'later to get its response.',
            run_state=RunState.MAY_HAVE_RUN,
            retry_after=wait,
        )
    if reply.state == control_pb2.CLAIM_OUTCOME_UNKNOWN:
        raise HttpError(
            http.HTTPStatus.CONFLICT,
            'outcome_unknown',
            'The call with this Idempotency-Key may have run; its outcome is '
            'unknown. Check its effect, and use a new key if it did not run.',
            run_state=RunState.MAY_HAVE_RUN,
        )
    if reply.state == control_pb2.CLAIM_MISMATCH:
        raise HttpError(
            http.HTTPStatus.UNPROCESSABLE_ENTITY,
            'idempotency_key_reused',
            'This Idempotency-Key was used for a different call; '
            'use a new key for each call.',
        )
    raise HttpError(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        'not_run',
        'The call was not run; send it again with the same key.',
        retry_after=wait,
    )


def no_quorum_error() -> HttpError:
    """Return the error for a call whose claim was not recorded."""
    return HttpError(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        'no_quorum',
        'The call could not be recorded, so it was not run; '
        'send it again later with the same key.',
        retry_after=_RETRY_AFTER_MS,
    )


def build_stored_answer(response: PlainResponse) -> control_pb2.StoredAnswer:
    """Return a response in the form that is stored with its claim."""
    return control_pb2.StoredAnswer(
        status=response.status,
        content_type=response.content_type,
        body=response.body,
    )
