"""Calls on plain services: /services/NAME/...

A method that the service lists as idempotent is repeated within the time
limit. Any other call is sent once: with an ``Idempotency-Key`` under a claim
that a quorum recorded before, without one on its own.
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

# Time in ms beyond the deadline to write the answer that says so.
_FINAL_ANSWER_TIME = 2000
# How long in ms an outcome is tried to be recorded beyond the time limit.
_SETTLE_TIME = 60_000
_CLAIM_TIMEOUT = 5000
_RETRY_AFTER_MS = 1000
_MOST_KEY_CHARACTERS = 255
_PATH_PARTS_BEFORE_REST = 3
# Characters that a path may hold as they are, by RFC 3986.
_PATH_CHARACTERS = "/%:@!$&'()*+,;=~-._"
_NO_ATTEMPT = PlainAttempt(Outcome.NOT_RUN, None, 'No upstream is ready.')


class PlainDependencies(NamedTuple):
    """What forwarding a call needs."""

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
    gone: CallerDisconnect


class PlainService:
    """Forwards calls to plain services."""

    def __init__(self, parts: PlainDependencies) -> None:
        """Forward with ``parts``."""
        self._parts = parts

    def forward(self, exchange: Exchange) -> None:
        """Serve one call under /services/NAME/."""
        request = self._request(exchange)
        refusal = self._parts.admissions.admit_call(
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
            self._parts.metrics.requests.labels(
                request.service_name, outcome
            ).inc()

    def _serve_watched(self, request: _Request) -> None:
        sock = request.exchange.sock
        with self._parts.disconnect_watcher.watching(sock, request.gone.set):
            self._serve(request)

    def _request(self, exchange: Exchange) -> _Request:
        account = authenticate(self._parts.settings, exchange)
        name, target = _split(exchange)
        service = authorize_service(
            self._parts.settings, account, name, UpstreamKind.PLAIN.value
        )
        deadline = request_deadline(exchange, service, self._parts.clock)
        body = exchange.read_body()
        exchange.set_write_deadline(deadline.expires_at + _FINAL_ANSWER_TIME)
        call = build_plain_call(exchange, target, exchange.request_id, body)
        return _Request(
            exchange, account, name, service, call, deadline, CallerDisconnect()
        )

    def _serve(self, request: _Request) -> None:
        idempotent = request.service.idempotent.upper().split(',')
        if request.call.method in {part.strip() for part in idempotent}:
            self._repeat(request)
            return
        key = request.exchange.headers.get(IDEMPOTENCY_HEADER.lower(), '')
        if not key:
            attempt = self._send_once(request, uuid.uuid4().hex)
            self._answer_once(request, attempt)
            return
        if len(key) > _MOST_KEY_CHARACTERS:
            raise HttpError(
                http.HTTPStatus.BAD_REQUEST,
                'invalid_idempotency_key',
                f'{IDEMPOTENCY_HEADER} must have at most '
                f'{_MOST_KEY_CHARACTERS} characters.',
            )
        self._claimed(request, key)

    def _repeat(self, request: _Request) -> None:
        """Send a call that may be repeated until one attempt completes."""
        name = request.service_name
        self._parts.retries.record_first_attempt(
            name, self._parts.settings.policy(name)
        )
        for attempts in itertools.count(1):
            last = self._try_one(request, attempts)
            if last.outcome == Outcome.COMPLETED:
                _reply(request, last)
                return
            retry = self._parts.retries.next_retry(
                name, attempts, last.outcome, request.deadline.expires_at
            )
            if isinstance(retry, Refusal):
                raise self._failed(request, last)
            request.gone.wait(retry.delay)
            if request.gone.happened:
                raise ConnectionAbortedError('The caller hung up.')
            self._parts.metrics.retries.labels(name).inc()

    def _try_one(self, request: _Request, number: int) -> PlainAttempt:
        upstreams = self._shuffled(request)
        if not upstreams:
            return _NO_ATTEMPT
        return self._parts.client.attempt(
            upstreams[number % len(upstreams)],
            request.call,
            uuid.uuid4().hex,
            request.deadline,
            request.gone,
            fresh=False,
        )

    def _send_once(self, request: _Request, attempt_id: str) -> PlainAttempt:
        """Send a call that may not be repeated to the first that connects."""
        last = _NO_ATTEMPT
        for upstream in self._shuffled(request):
            if request.deadline.expired():
                break
            last = self._parts.client.attempt(
                upstream,
                request.call,
                attempt_id,
                request.deadline,
                request.gone,
                fresh=True,
            )
            if last.outcome != Outcome.NOT_RUN:
                break
        return last

    def _claimed(self, request: _Request, key: str) -> None:
        attempt_id = uuid.uuid4().hex
        claim = self._claim_request(request, key, attempt_id)
        limit = min(_CLAIM_TIMEOUT, request.deadline.remaining())
        try:
            reply = self._parts.claims.claim(claim, limit)
        except (VerbenathreadError, OSError) as exc:
            self._settle(request, claim, control_pb2.CLAIM_NOT_RUN)
            raise no_quorum_error() from exc
        if reply.answer.code != control_pb2.OK:
            # The claim may stand all the same: nothing was sent under it.
            self._settle(request, claim, control_pb2.CLAIM_NOT_RUN)
            raise no_quorum_error()
        if reply.state != control_pb2.CLAIM_HELD:
            answer_repeated_call(request.exchange, reply)
            return
        attempt = self._send_claimed(request, claim)
        self._answer_once(request, attempt)

    def _send_claimed(
        self, request: _Request, claim: control_pb2.ClaimRequest
    ) -> PlainAttempt:
        """Send the one attempt of a claim and have its outcome recorded."""
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
        keep_for = request.deadline.remaining() + _SETTLE_TIME
        self._parts.settler.settle(settle, keep_for)

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
            node_id=self._parts.owner.node_id,
            node_incarnation=self._parts.owner.incarnation,
            retention_s=request.service.claim_retention,
            time_limit_ms=request.deadline.remaining(),
        )

    def _answer_once(self, request: _Request, attempt: PlainAttempt) -> None:
        if attempt.outcome == Outcome.UNKNOWN or attempt.response is None:
            raise self._failed(request, attempt)
        _reply(request, attempt)

    def _failed(self, request: _Request, attempt: PlainAttempt) -> HttpError:
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
            f'{attempt.error} The call may have run; look its effect up '
            'before sending it again.',
            run_state=RunState.MAY_HAVE_RUN,
        )

    def _shuffled(self, request: _Request) -> list[UpstreamRecord]:
        found = list(self._parts.upstreams.by_service(request.service_name))
        random.shuffle(found)
        return found


def _split(exchange: Exchange) -> tuple[str, str]:
    """Return the service and the path that its upstream sees."""
    raw = exchange.path.split('/', _PATH_PARTS_BEFORE_REST)
    name = raw[2] if len(raw) > 2 else ''
    rest = raw[_PATH_PARTS_BEFORE_REST] if len(raw) > 3 else ''
    quoted = quote(rest, safe=_PATH_CHARACTERS)
    target = f'/{quoted}'
    if exchange.query:
        target = f'{target}?{exchange.query}'
    return name, target


def _reply(request: _Request, attempt: PlainAttempt) -> None:
    answer = attempt.response
    assert answer is not None
    state = RunState.RUN
    if attempt.outcome == Outcome.NOT_RUN:
        state = RunState.NOT_RUN
    headers = (*answer.headers, ('X-Run-State', state.value))
    request.exchange.reply(
        answer.status, answer.body, answer.content_type, headers
    )
