"""One request's way: choose a worker, send, relay, perhaps again."""

import contextlib
import functools
from typing import NamedTuple

from verbenathread.gateway.attempt import (
    Attempt,
    Relay,
    Result,
    StallTimeouts,
    Verdict,
)
from verbenathread.gateway.context import GatewayContext
from verbenathread.gateway.probing import PROBE_TIMEOUT
from verbenathread.gateway.selection import Refusal, Selection, WorkerSelector
from verbenathread.http1.client import ClientConnection
from verbenathread.http1.messages import Request, ResponseHead, encode_request
from verbenathread.http1.response import ResponseWriter
from verbenathread.observability.logs import get_logger
from verbenathread.observability.metrics import length_label
from verbenathread.serving.dialect import CallerRequest, ForwardContext
from verbenathread.serving.routes import RouteMatch
from verbenathread.serving.types import RequestKind, ServiceSpec, Worker
from verbenathread.types import Millis

_log = get_logger('gateway')

_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_TIMED_OUT = 504
_SERVER_FAULT = 500
# Workers that may refuse the connection itself before we give up.
_MOST_CONNECTS = 4
_MS_PER_SECOND = 1000
# Silence before the first event, beyond twice the forecast and in target
# latencies: callers leave after 2 s, or four target latencies if that is more.
_FIRST_STALL: Millis = 200
_STALL_TARGETS = 1.3
# Pauses of a stream, in target pauses, and at the least.
_STALL_PAUSES = 4
_LEAST_STALL: Millis = 1000
# What a worker or the way to it refused can be had again soon.
_SOON: Millis = 150


class RoutedRequest(NamedTuple):
    """A request that the configuration allows."""

    request: Request
    caller: CallerRequest
    match: RouteMatch
    service: ServiceSpec
    # When the caller or the route waits no longer.
    deadline: Millis


class Exchange:
    """Serves one request until the caller has its answer."""

    def __init__(
        self, parts: GatewayContext, job: RoutedRequest, reply: ResponseWriter
    ) -> None:
        """Answer ``job`` on ``reply``."""
        self._parts = parts
        self._job = job
        self._reply = reply
        self._chooser = WorkerSelector(
            parts, job.service, job.caller, job.match.route
        )
        self._relay: Relay | None = None
        if job.match.route.kind is RequestKind.STREAM:
            self._relay = Relay(reply, parts.dialect, job.caller.last_event_id)
        self._attempt: Attempt | None = None
        self._sends = 0
        self._connects = 0
        # False as long as the request provably did not run.
        self._may_have_run = False
        # A failure that a worker signed, kept while another one is tried.
        self._failure: Result | None = None
        self._refused: Refusal | None = None
        reply.on_disconnect = self._on_gone
        reply.on_backpressure = self._on_pressure

    async def run(self) -> None:
        """Go on until the request is answered or its caller left."""
        while not self._reply.done and not self._reply.is_disconnected:
            left = self._job.deadline - self._parts.clock.now()
            if left <= 0:
                self._give_up(_TIMED_OUT, 'out of time', None)
                return
            chosen = await self._chooser.select(left)
            if isinstance(chosen, Refusal):
                self._refused = chosen
                self._give_up(_UNAVAILABLE, chosen.reason, chosen.retry_after)
                return
            await self._try(chosen)
        if self._reply.is_disconnected and not self._reply.done:
            self._note('abandoned', '')

    async def _try(self, choice: Selection) -> None:
        """Send to the chosen worker, with its memory set aside."""
        if not any(part.reserved_tokens for part in choice.parts):
            await self._try_once(choice)
            return
        reserved = await self._chooser.reserve(choice)
        if reserved is None:
            self._connects += 1
            if self._connects >= _MOST_CONNECTS:
                self._give_up(_UNAVAILABLE, 'no memory is free', _SOON)
            return
        with contextlib.ExitStack() as stack:
            stack.callback(self._parts.reservations.release, reserved)
            await self._try_once(choice)

    async def _try_once(self, choice: Selection) -> None:
        # Others hear of it before the connection stands: until they do, they
        # take the same slot.
        noted = self._chooser.record_send(choice)
        with contextlib.ExitStack() as stack:
            stack.callback(self._chooser.record_end, choice, noted)
            await self._connect_and_send(choice)

    async def _connect_and_send(self, choice: Selection) -> None:
        connection = await self._connect(choice.worker)
        if connection is None:
            self._chooser.exclude(choice.worker)
            if self._connects >= _MOST_CONNECTS:
                self._give_up(
                    _UNAVAILABLE, 'no worker takes connections', _SOON
                )
            return
        if self._reply.is_disconnected:
            self._parts.pool.release(choice.worker, connection)
            return
        if self._sends and not self._take_repeat():
            self._parts.pool.release(choice.worker, connection)
            self._give_up(_UNAVAILABLE, 'no repeat is left', _MS_PER_SECOND)
            return
        result = await self._send(choice, connection)
        self._settle(choice.worker, result)

    async def _connect(self, worker: Worker) -> ClientConnection | None:
        parts = self._parts
        left = self._job.deadline - parts.clock.now()
        try:
            return await parts.pool.acquire(worker, left)
        except (OSError, TimeoutError) as error:
            self._connects += 1
            parts.outliers.record_failure(worker.worker_id, parts.clock.now())
            _log.warning(
                'A worker takes no connection.',
                worker=worker.worker_id,
                request_id=self._job.caller.attempt_id,
                reason=repr(error),
            )
            return None

    async def _send(
        self, choice: Selection, connection: ClientConnection
    ) -> Result:
        parts = self._parts
        caller = self._job.caller
        started = parts.clock.now()
        attempt = Attempt(
            connection,
            parts.dialect,
            caller.attempt_id,
            self._relay,
            parts.clock,
        )
        self._attempt = attempt
        self._sends += 1
        parts.outliers.record_sent(choice.worker.worker_id, started)
        attempt.on_first_event = functools.partial(
            self._note_first, choice, started
        )
        result = await attempt.run(
            self._message(choice),
            self._job.deadline,
            _stall_limits(self._job, choice),
            functools.partial(self._is_alive, choice.worker),
        )
        self._attempt = None
        parts.metrics.sends.labels(result.verdict.value).inc()
        if result.verdict in {Verdict.COMPLETE, Verdict.NOT_RUN}:
            parts.pool.release(choice.worker, connection)
        self._note_send(choice, attempt, result, started)
        return result

    def _note_first(self, choice: Selection, started: Millis) -> None:
        now = self._parts.clock.now()
        self._chooser.record_first_event(choice, now - started)

    async def _is_alive(self, worker: Worker) -> bool:
        call = self._parts.dialect.probe_call(worker.worker_id)
        answer = await self._parts.worker_client.call(
            worker, call, PROBE_TIMEOUT
        )
        _log.info(
            'A silent worker was asked.',
            request_id=self._job.caller.attempt_id,
            worker=worker.worker_id,
            answered=answer is not None,
        )
        return answer is not None

    def _message(self, choice: Selection) -> bytes:
        job = self._job
        now = self._parts.clock.now()
        account = job.match.account
        last_event_id = job.caller.last_event_id
        if self._relay is not None:
            last_event_id = self._relay.events.last_id
        onward = ForwardContext(
            worker_id=choice.worker.worker_id,
            time_left=max(1, job.deadline - now),
            account=None if account is None else account.name,
            priority=choice.priority,
            last_event_id=last_event_id,
            helpers=choice.helpers,
        )
        headers = self._parts.dialect.worker_headers(job.request, onward)
        return encode_request(
            job.request.method, job.request.target, headers, job.request.body
        )

    def _settle(self, worker: Worker, result: Result) -> None:
        """Answer the caller, or leave the request for another worker."""
        if result.verdict is Verdict.ABANDONED:
            return
        if result.verdict is Verdict.NOT_RUN:
            self._settle_not_run(worker, result)
            return
        if result.verdict is Verdict.COMPLETE and result.head is not None:
            self._settle_complete(worker, result.head, result)
            return
        self._may_have_run = True
        now = self._parts.clock.now()
        self._parts.outliers.record_failure(worker.worker_id, now)
        if result.verdict is Verdict.TIMED_OUT:
            self._give_up(_TIMED_OUT, 'out of time', None)
        elif self._may_go_on():
            self._chooser.exclude(worker)
        else:
            self._give_up(_BAD_GATEWAY, result.verdict.value, None)

    def _settle_not_run(self, worker: Worker, result: Result) -> None:
        head = result.head
        if head is not None and self._chooser.is_misdirected(head):
            self._parts.view.mark_misdirected(worker)
        at_fault = ''
        if head is not None:
            at_fault = self._parts.dialect.parse_response(head).faulty_worker
        if at_fault:
            self._chooser.exclude_address(at_fault)
        else:
            self._chooser.exclude(worker)
        if self._sends >= self._job.match.route.max_attempts:
            self._give_up(_UNAVAILABLE, 'the worker refused', _SOON)

    def _settle_complete(
        self, worker: Worker, head: ResponseHead, result: Result
    ) -> None:
        parts = self._parts
        if head.status >= _SERVER_FAULT:
            self._may_have_run = True
            parts.outliers.record_failure(worker.worker_id, parts.clock.now())
            self._failure = result
            if self._may_go_on() and not self._is_begun():
                self._chooser.exclude(worker)
                return
        else:
            parts.outliers.record_success(worker.worker_id)
        streamed = self._relay is not None and not result.body
        if streamed and head.status < _SERVER_FAULT and self._relay:
            self._relay.finish(head)
            self._note('served', '')
        else:
            self._pass_on(head, result.body)

    def _pass_on(self, head: ResponseHead, body: bytes) -> None:
        headers = self._parts.dialect.caller_headers(head)
        if self._is_begun():
            self._reply.abort()
            self._note('broken', 'a worker failed midway')
            return
        self._reply.send(head.status, headers, body)
        outcome = 'served' if head.status < _SERVER_FAULT else 'failed'
        self._note(outcome, f'status {head.status}')

    def _may_go_on(self) -> bool:
        """Tell whether another worker may run what may have run."""
        route = self._job.match.route
        return route.may_retry() and self._sends < route.max_attempts

    def _take_repeat(self) -> bool:
        now = self._parts.clock.now()
        return self._parts.retry_budget.try_acquire(self._job.service.name, now)

    def _is_begun(self) -> bool:
        return self._relay is not None and self._relay.started

    def _give_up(
        self, status: int, reason: str, retry_after: Millis | None
    ) -> None:
        """Answer as well as can be: a worker's failure, or our own."""
        if self._is_begun():
            self._reply.abort()
            self._note('broken', reason)
            return
        if self._failure is not None and self._failure.head is not None:
            self._pass_on(self._failure.head, self._failure.body)
            return
        if self._may_have_run:
            status = _TIMED_OUT if status == _TIMED_OUT else _BAD_GATEWAY
            retry_after = None
        headers = self._parts.dialect.refusal_headers(
            self._job.caller.attempt_id, retry_after
        )
        self._reply.send(status, headers, f'{reason}\n'.encode())
        outcome = 'refused' if status == _UNAVAILABLE else 'failed'
        self._note(outcome, reason, retry_after)

    def _on_gone(self) -> None:
        if self._attempt is not None:
            self._attempt.abandon()
        self._chooser.cancel()

    def _on_pressure(self, held: bool) -> None:  # noqa: FBT001
        if self._attempt is not None:
            self._attempt.set_backpressure(held)

    def _note(
        self, outcome: str, reason: str, retry_after: Millis | None = None
    ) -> None:
        job = self._job
        self._parts.metrics.requests.labels(outcome).inc()
        if outcome == 'served' and self._sends == 1:
            return
        refused = self._refused
        _log.info(
            'A request ended.',
            request_id=job.caller.attempt_id,
            outcome=outcome,
            reason=reason,
            retry_after=retry_after,
            route=job.match.route.name,
            sends=self._sends,
            took=self._parts.clock.now() - job.request.received_at,
            config=self._parts.view.config_version,
            view_age=self._parts.clock.now() - self._parts.view.updated_at,
            candidates=None if refused is None else refused.candidates,
            free_in=None if refused is None else refused.free_in,
        )

    def _note_send(
        self,
        choice: Selection,
        attempt: Attempt,
        result: Result,
        started: Millis,
    ) -> None:
        now = self._parts.clock.now()
        prompt = self._job.caller.prompt
        measures = self._parts.metrics
        first = attempt.first_event_at
        if prompt is not None and first is not None:
            waited = (first - self._job.request.received_at) / _MS_PER_SECOND
            measures.first_event.labels(length_label(prompt.tokens)).observe(
                waited
            )
        elif prompt is None:
            measures.answer.observe((now - started) / _MS_PER_SECOND)
        _log.info(
            'A send ended.',
            request_id=self._job.caller.attempt_id,
            worker=choice.worker.worker_id,
            verdict=result.verdict.value,
            status=None if result.head is None else result.head.status,
            queued=started - self._job.request.received_at,
            forecast=choice.first_event_in,
            beside=choice.concurrent,
            parts=1 + len(choice.parts),
            pace=round(choice.pace, 2),
            first=None if first is None else first - started,
            pause=attempt.longest_pause,
            took=now - started,
            tokens=0 if prompt is None else prompt.tokens,
            written=0 if self._relay is None else self._relay.written_bytes,
        )


def _stall_limits(job: RoutedRequest, choice: Selection) -> StallTimeouts:
    """Return the silence after which a worker is asked whether it lives."""
    route = job.match.route
    if route.kind is not RequestKind.STREAM:
        return StallTimeouts(job.deadline, job.deadline)
    later = max(_LEAST_STALL, _STALL_PAUSES * route.target_pause)
    first = _FIRST_STALL + int(_STALL_TARGETS * route.target_latency)
    return StallTimeouts(first + 2 * choice.first_event_in, later)
