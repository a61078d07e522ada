"""One attempt of a call on a plain service."""

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
_MOST_ANSWER_BYTES = 16_777_216
# Headers of the caller that an upstream sees; its bearer key is none.
_PASSED_HEADERS = (
    'accept',
    'accept-language',
    'content-type',
    'idempotency-key',
)
_ANSWER_HEADERS = ('ETag', 'Last-Modified', 'Location', 'Retry-After')


class PlainCall(NamedTuple):
    """A call on a plain service."""

    method: str
    # Path and query as the upstream sees them.
    target: str
    headers: Mapping[str, str]
    body: bytes


class PlainResponse(NamedTuple):
    """A whole answer of an upstream."""

    status: int
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


class PlainAttempt(NamedTuple):
    """How one attempt ended; ``answer`` is set unless it is unknown."""

    outcome: Outcome
    response: PlainResponse | None
    error: str


def build_plain_call(
    exchange: Exchange, target: str, request_id: str, body: bytes
) -> PlainCall:
    """Return the call that the upstream gets."""
    headers = {REQUEST_HEADER: request_id}
    for name in _PASSED_HEADERS:
        text = exchange.headers.get(name)
        if text is not None:
            headers[name.title()] = text
    return PlainCall(exchange.method, target, headers, body)


class PlainClient:
    """Sends calls to the upstreams of plain services."""

    def __init__(self, pool: ConnectionPool) -> None:
        """Open connections from ``pool``."""
        self._pool = pool

    def attempt(
        self,
        upstream: UpstreamRecord,
        call: PlainCall,
        attempt_id: str,
        deadline: Deadline,
        disconnect: CallerDisconnect,
        *,
        fresh: bool,
    ) -> PlainAttempt:
        """Send a call once.

        A ``fresh`` connection is used for what may not be repeated: an idle
        one may have been closed by the upstream, and nobody could tell.
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
                fresh=fresh,
            )
        except ConnectError as exc:
            return PlainAttempt(Outcome.NOT_RUN, None, str(exc))
        except BrokenExchangeError as exc:
            return PlainAttempt(Outcome.UNKNOWN, None, str(exc))
        # What may not be repeated runs to its end without its caller.
        disconnect.set_callback(None if fresh else sent.interrupt)
        try:
            sent.read_head(deadline.expires_at)
            body = sent.read_all(_MOST_ANSWER_BYTES, deadline.expires_at)
        except BrokenExchangeError as exc:
            disconnect.set_callback(None)
            sent.close(clean=False)
            return PlainAttempt(Outcome.UNKNOWN, None, str(exc))
        disconnect.set_callback(None)
        if sent.headers.get(ATTEMPT_HEADER, attempt_id) != attempt_id:
            sent.close(clean=False)
            return PlainAttempt(
                Outcome.UNKNOWN, None, 'The answer was for another attempt.'
            )
        sent.close(clean=True)
        return PlainAttempt(
            _outcome(sent.status, sent.headers),
            _answer(sent.status, sent.headers, body),
            '',
        )


def _outcome(status: int, headers: Mapping[str, str]) -> Outcome:
    """Return what an answer is evidence of."""
    refused = status == http.HTTPStatus.SERVICE_UNAVAILABLE
    if refused and headers.get(RUN_STATE_HEADER) == 'not_run':
        return Outcome.NOT_RUN
    return Outcome.COMPLETED


def _answer(
    status: int, headers: Mapping[str, str], body: bytes
) -> PlainResponse:
    passed = []
    for name in _ANSWER_HEADERS:
        text = headers.get(name)
        if text is not None:
            passed.append((name, text))
    content_type = headers.get('Content-Type', 'application/octet-stream')
    return PlainResponse(status, content_type, body, tuple(passed))
