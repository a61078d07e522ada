"""Sends single attempts of calls to the upstreams of plain services."""

import http
from collections.abc import Mapping
from typing import NamedTuple

from verbenathread.entry.access import TIME_LIMIT_HEADER
from verbenathread.entry.connections import (
    BrokenExchangeError,
    ConnectError,
    ConnectionPool,
)
from verbenathread.entry.exchange import Exchange
from verbenathread.entry.request_state import CallerDisconnect, Deadline
from verbenathread.types import Outcome, UpstreamRecord

ATTEMPT_HEADER = 'X-Attempt-Id'
IDEMPOTENCY_HEADER = 'Idempotency-Key'
RUN_STATE_HEADER = 'X-Run-State'
REQUEST_HEADER = 'X-Request-Id'
_MAX_RESPONSE_BYTES = 16_777_216
# Request headers that are forwarded; the caller's bearer key is not.
_FORWARDED_HEADERS = (
    'accept',
    'accept-language',
    'content-type',
    'idempotency-key',
)
_RESPONSE_HEADERS = ('ETag', 'Last-Modified', 'Location', 'Retry-After')


class PlainCall(NamedTuple):
    """A call of a plain service."""

    method: str
    # Path and query sent to the upstream.
    target: str
    headers: Mapping[str, str]
    body: bytes


class PlainResponse(NamedTuple):
    """A complete response of an upstream."""

    status: int
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


class PlainAttempt(NamedTuple):
    """The result of one attempt; without a response, ``error`` says why."""

    outcome: Outcome
    response: PlainResponse | None
    error: str


def build_plain_call(
    exchange: Exchange, target: str, request_id: str, body: bytes
) -> PlainCall:
    """Return the call to send to the upstream."""
    headers = {REQUEST_HEADER: request_id}
    for name in _FORWARDED_HEADERS:
        text = exchange.headers.get(name)
        if text is not None:
            headers[name.title()] = text
    return PlainCall(exchange.method, target, headers, body)


class PlainClient:
    """An HTTP client for the upstreams of plain services."""

    def __init__(self, pool: ConnectionPool) -> None:
        """Send over connections of ``pool``."""
        self._pool = pool

    def attempt(
        self,
        upstream: UpstreamRecord,
        call: PlainCall,
        attempt_id: str,
        deadline: Deadline,
        disconnect: CallerDisconnect,
        *,
        new_connection: bool,
    ) -> PlainAttempt:
        """Send a call once.

        Calls that may not be repeated need a new connection: the upstream may
        have closed an idle one, and then it is not known whether the call was
        received.
        """
        headers = {
            **call.headers,
            ATTEMPT_HEADER: attempt_id,
            TIME_LIMIT_HEADER: str(deadline.remaining()),
        }
        try:
            sent = self._pool.send(
                upstream.address,
                call.method,
                call.target,
                deadline=deadline.expires_at,
                body=call.body or None,
                headers=headers,
                new_connection=new_connection,
            )
        except ConnectError as exc:
            return PlainAttempt(Outcome.NOT_RUN, None, str(exc))
        except BrokenExchangeError as exc:
            return PlainAttempt(Outcome.UNKNOWN, None, str(exc))
        # A call that may not be repeated completes even if its caller
        # disconnects.
        disconnect.set_callback(None if new_connection else sent.interrupt)
        try:
            sent.read_head(deadline.expires_at)
            body = sent.read_all(_MAX_RESPONSE_BYTES, deadline.expires_at)
        except BrokenExchangeError as exc:
            disconnect.set_callback(None)
            sent.close(clean=False)
            return PlainAttempt(Outcome.UNKNOWN, None, str(exc))
        disconnect.set_callback(None)
        if sent.headers.get(ATTEMPT_HEADER, attempt_id) != attempt_id:
            sent.close(clean=False)
            return PlainAttempt(
                Outcome.UNKNOWN, None, 'The response has another attempt id.'
            )
        sent.close(clean=True)
        return PlainAttempt(
            _outcome(sent.status, sent.headers),
            _response(sent.status, sent.headers, body),
            '',
        )


def _outcome(status: int, headers: Mapping[str, str]) -> Outcome:
    """Return the outcome that a response proves."""
    refused = status == http.HTTPStatus.SERVICE_UNAVAILABLE
    if refused and headers.get(RUN_STATE_HEADER) == 'not_run':
        return Outcome.NOT_RUN
    return Outcome.COMPLETED


def _response(
    status: int, headers: Mapping[str, str], body: bytes
) -> PlainResponse:
    forwarded = []
    for name in _RESPONSE_HEADERS:
        text = headers.get(name)
        if text is not None:
            forwarded.append((name, text))
    content_type = headers.get('Content-Type', 'application/octet-stream')
    return PlainResponse(status, content_type, body, tuple(forwarded))
