"""Forwards calls to plain services: /services/NAME/...

A call whose method the service lists as idempotent is retried within the time
limit. Any other call is sent once. If it has an ``Idempotency-Key``, a claim
of the key is recorded by a quorum before the call is sent.
"""

import hashlib
import http
import itertools
import random
import uuid
from typing import NamedTuple
from urllib.parse import quote

from verbenathread.clock import Clock
from verbenathread.entry.access import (
    Account,
    authenticate,
    authorize_service,
    request_deadline,
)
from verbenathread.entry.claim_responses import (
    answer_repeated_call,
    build_stored_answer,
    no_quorum_error,
)
from verbenathread.entry.disconnect_watcher import DisconnectWatcher
from verbenathread.entry.engine_client import Owner
from verbenathread.entry.error_responses import (
    HttpError,
    RunState,
    refusal_error,
)
from verbenathread.entry.exchange import Exchange
from verbenathread.entry.interfaces import (
    Admissions,
    Claims,
    SharedSettings,
    Upstreams,
)
from verbenathread.entry.plain_client import (
    IDEMPOTENCY_HEADER,
    PlainAttempt,
    PlainCall,
    PlainClient,
    build_plain_call,
)
from verbenathread.entry.request_state import CallerDisconnect, Deadline
from verbenathread.entry.retry_budgets import RetryBudgets
from verbenathread.entry.settler import Settler
from verbenathread.exceptions import VerbenathreadError
from verbenathread.observability.metrics import EntryMetrics
from verbenathread.schema import control_pb2, settings_pb2
from verbenathread.types import (
    Outcome,
    Refusal,
    UpstreamKind,
    UpstreamRecord,
)

# Time after the deadline to write the timeout response.
_FINAL_RESPONSE_MS = 2000
# Time after the deadline to keep trying to record an outcome.
_SETTLE_TIMEOUT_MS = 60_000
_CLAIM_TIMEOUT_MS = 5000
_RETRY_AFTER_MS = 1000
_MAX_KEY_LENGTH = 255
# Index of the upstream's path in /services/NAME/PATH, split at slashes.
_REST_INDEX = 3
# Characters that are not quoted in a path: those of RFC 3986, and the percent
# sign, because cheroot leaves %2F encoded.
_PATH_CHARACTERS = "/%:@!$&'()*+,;=~-._"
_NO_UPSTREAM = PlainAttempt(Outcome.NOT_RUN, None, 'No upstream is ready.')


class PlainDependencies(NamedTuple):
    """The components that forwarding a call depends on."""

    settings: SharedSettings
    upstreams: Upstreams
    claims: Claims
    admissions: Admissions
    retries: RetryBudgets
    settler: Settler
    client: PlainClient
    disconnect_watcher: DisconnectWatcher
    metrics: EntryMetrics
    owner: Owner
    clock: Clock


class _Request(NamedTuple):
    exchange: Exchange
    account: Account
    service_name: str
    service: settings_pb2.ServiceSettings
    call: PlainCall
    deadline: Deadline
    disconnect: CallerDisconnect


class PlainService:
    """Forwards calls to plain services."""

    def __init__(self, dependencies: PlainDependencies) -> None:
        """Forward with ``dependencies``."""
        self._dependencies = dependencies

    def forward(self, exchange: Exchange) -> None:
        """Forward one call under /services/NAME/."""
        request = self._parse_request(exchange)
        refusal = self._dependencies.admissions.admit_call(
            request.account.name, request.account.settings
        )
        if refusal is not None:
            raise refusal_error(refusal)
        outcome = 'failed'
        try:
            self._serve_watched(request)
            outcome = 'completed'
        except HttpError as error:
            outcome = error.code
            raise
        finally:
            self._dependencies.metrics.requests.labels(
                request.service_name, outcome
            ).inc()

    def _serve_watched(self, request: _Request) -> None:
        sock = request.exchange.sock
        with self._dependencies.disconnect_watcher.watching(
            sock, request.disconnect.set
        ):
            self._serve(request)

    def _parse_request(self, exchange: Exchange) -> _Request:
        account = authenticate(self._dependencies.settings, exchange)
        name, target = _split_path(exchange)
        service = authorize_service(
            self._dependencies.settings, account, name, UpstreamKind.PLAIN.value
        )
        deadline = request_deadline(exchange, service, self._dependencies.clock)
        body = exchange.read_body()
        exchange.set_write_deadline(deadline.expires_at + _FINAL_RESPONSE_MS)
        call = build_plain_call(exchange, target, exchange.request_id, body)
        return _Request(
            exchange, account, name, service, call, deadline, CallerDisconnect()
        )

    def _serve(self, request: _Request) -> None:
        idempotent = request.service.idempotent.upper().split(',')
        if request.call.method in {part.strip() for part in idempotent}:
            self._send_with_retries(request)
            return
        key = request.exchange.headers.get(IDEMPOTENCY_HEADER.lower(), '')
        if not key:
            attempt = self._send_once(request, uuid.uuid4().hex)
            self._reply_or_raise(request, attempt)
            return
        if len(key) > _MAX_KEY_LENGTH:
            raise HttpError(
                http.HTTPStatus.BAD_REQUEST,
                'invalid_idempotency_key',
                f'{IDEMPOTENCY_HEADER} must have at most '
                f'{_MAX_KEY_LENGTH} characters.',
            )
        self._send_with_claim(request, key)

    def _send_with_retries(self, request: _Request) -> None:
        """Send an idempotent call until one attempt completes."""
        name = request.service_name
        self._dependencies.retries.record_first_attempt(
            name, self._dependencies.settings.policy(name)
        )
        for attempts in itertools.count(1):
            last = self._attempt(request, attempts)
            if last.outcome == Outcome.COMPLETED:
                _reply(request, last)
                return
            retry = self._dependencies.retries.next_retry(
                name, attempts, last.outcome, request.deadline.expires_at
            )
            if isinstance(retry, Refusal):
                raise self._attempt_error(request, last)
            request.disconnect.wait(retry.delay)
            if request.disconnect.happened:
                raise ConnectionAbortedError('The caller disconnected.')
            self._dependencies.metrics.retries.labels(name).inc()

    def _attempt(self, request: _Request, number: int) -> PlainAttempt:
        upstreams = self._shuffled_upstreams(request)
        if not upstreams:
            return _NO_UPSTREAM
        return self._dependencies.client.attempt(
            upstreams[number % len(upstreams)],
            request.call,
            uuid.uuid4().hex,
            request.deadline,
            request.disconnect,
            new_connection=False,
        )

    def _send_once(self, request: _Request, attempt_id: str) -> PlainAttempt:
        """Send a non-idempotent call to upstreams until one may have run it."""
        last = _NO_UPSTREAM
        for upstream in self._shuffled_upstreams(request):
            if request.deadline.expired():
                break
            last = self._dependencies.client.attempt(
                upstream,
                request.call,
                attempt_id,
                request.deadline,
                request.disconnect,
                new_connection=True,
            )
            if last.outcome != Outcome.NOT_RUN:
                break
        return last

    def _send_with_claim(self, request: _Request, key: str) -> None:
        attempt_id = uuid.uuid4().hex
        claim = self._claim_request(request, key, attempt_id)
        limit = min(_CLAIM_TIMEOUT_MS, request.deadline.remaining())
        try:
            reply = self._dependencies.claims.claim(claim, limit)
        except (VerbenathreadError, OSError) as exc:
            self._settle(request, claim, control_pb2.CLAIM_NOT_RUN)
            raise no_quorum_error() from exc
        if reply.answer.code != control_pb2.OK:
            # The claim may have been recorded, but the call was not sent.
            self._settle(request, claim, control_pb2.CLAIM_NOT_RUN)
            raise no_quorum_error()
        if reply.state != control_pb2.CLAIM_HELD:
            answer_repeated_call(request.exchange, reply)
            return
        attempt = self._send_claimed(request, claim)
        self._reply_or_raise(request, attempt)

    def _send_claimed(
        self, request: _Request, claim: control_pb2.ClaimRequest
    ) -> PlainAttempt:
        """Send the only attempt of a claim and record its outcome."""
        try:
            attempt = self._send_once(request, claim.attempt_id)
        except BaseException:
            self._settle(request, claim, control_pb2.CLAIM_OUTCOME_UNKNOWN)
            raise
        if attempt.outcome == Outcome.COMPLETED and attempt.response:
            self._settle(
                request,
                claim,
                control_pb2.CLAIM_COMPLETED,
                build_stored_answer(attempt.response),
            )
        elif attempt.outcome == Outcome.NOT_RUN:
            self._settle(request, claim, control_pb2.CLAIM_NOT_RUN)
        else:
            self._settle(request, claim, control_pb2.CLAIM_OUTCOME_UNKNOWN)
        return attempt

    def _settle(
        self,
        request: _Request,
        claim: control_pb2.ClaimRequest,
        outcome: control_pb2.ClaimState,
        stored: control_pb2.StoredAnswer | None = None,
    ) -> None:
        settle = control_pb2.SettleRequest(
            account=claim.account,
            service=claim.service,
            idempotency_key=claim.idempotency_key,
            attempt_id=claim.attempt_id,
            state=outcome,
            stored=stored,
        )
        keep_for = request.deadline.remaining() + _SETTLE_TIMEOUT_MS
        self._dependencies.settler.settle(settle, keep_for)

    def _claim_request(
        self, request: _Request, key: str, attempt_id: str
    ) -> control_pb2.ClaimRequest:
        call = request.call
        content = f'{call.method} {call.target}\n'.encode() + call.body
        return control_pb2.ClaimRequest(
            account=request.account.name,
            service=request.service_name,
            idempotency_key=key,
            body_sha256=hashlib.sha256(content).hexdigest(),
            attempt_id=attempt_id,
            node_id=self._dependencies.owner.node_id,
            node_incarnation=self._dependencies.owner.incarnation,
            retention_s=request.service.claim_retention,
            time_limit_ms=request.deadline.remaining(),
        )

    def _reply_or_raise(self, request: _Request, attempt: PlainAttempt) -> None:
        if attempt.outcome == Outcome.UNKNOWN or attempt.response is None:
            raise self._attempt_error(request, attempt)
        _reply(request, attempt)

    def _attempt_error(
        self, request: _Request, attempt: PlainAttempt
    ) -> HttpError:
        if attempt.outcome == Outcome.NOT_RUN:
            return HttpError(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'no_upstream',
                f'{attempt.error} Send the call again later.',
                retry_after=_RETRY_AFTER_MS,
            )
        status = http.HTTPStatus.BAD_GATEWAY
        if request.deadline.expired():
            status = http.HTTPStatus.GATEWAY_TIMEOUT
        return HttpError(
            status,
            'outcome_unknown',
            f'{attempt.error} The call may have run; check its effect '
            'before sending it again.',
            run_state=RunState.MAY_HAVE_RUN,
        )

    def _shuffled_upstreams(self, request: _Request) -> list[UpstreamRecord]:
        upstreams = list(
            self._dependencies.upstreams.by_service(request.service_name)
        )
        random.shuffle(upstreams)
        return upstreams


def _split_path(exchange: Exchange) -> tuple[str, str]:
    """Return the service's name and the path to send to its upstream."""
    segments = exchange.path.split('/', _REST_INDEX)
    name = segments[2] if len(segments) > 2 else ''
    rest = segments[_REST_INDEX] if len(segments) > 3 else ''
    quoted = quote(rest, safe=_PATH_CHARACTERS)
    target = f'/{quoted}'
    if exchange.query:
        target = f'{target}?{exchange.query}'
    return name, target


def _reply(request: _Request, attempt: PlainAttempt) -> None:
    response = attempt.response
    assert response is not None
    state = RunState.RUN
    if attempt.outcome == Outcome.NOT_RUN:
        state = RunState.NOT_RUN
    headers = (*response.headers, ('X-Run-State', state.value))
    request.exchange.reply(
        response.status, response.body, response.content_type, headers
    )
