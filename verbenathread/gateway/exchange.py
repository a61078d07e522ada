"""Serves one request: selects a worker, sends, relays and retries."""

import contextlib
import functools

from verbenathread.gateway.attempt import (
    Attempt,
    Expectation,
    Relay,
    Result,
    Verdict,
)
from verbenathread.gateway.context import GatewayContext
from verbenathread.gateway.handover_client import Outcome
from verbenathread.gateway.liveness import probe_stalled_worker
from verbenathread.gateway.reply import Reply
from verbenathread.gateway.request_handover import RequestHandover
from verbenathread.gateway.request_log import RequestLog, RoutedRequest
from verbenathread.gateway.selection import (
    Refusal,
    Selection,
    WorkerSelector,
    event_timeout,
)
from verbenathread.gateway.stall_watch import StallTimeouts
from verbenathread.http1.client import ClientConnection
from verbenathread.http1.messages import ResponseHead, encode_request
from verbenathread.observability.logs import get_logger
from verbenathread.serving.dialect import ForwardContext
from verbenathread.serving.types import RequestKind, Worker
from verbenathread.types import Millis

_log = get_logger('gateway')

_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_TIMED_OUT = 504
_SERVER_FAULT = 500
# Failures to connect to a worker or to reserve memory after which the request
# fails.
_MAX_CONNECT_FAILURES = 4
_MS_PER_SECOND = 1000
# A worker is probed if no first event arrives within twice the forecast plus
# this margin and this many target latencies. Callers abandon the stream after
# 2 s, four target latencies or eight target pauses, whichever is longest.
_FIRST_EVENT_MARGIN: Millis = 200
_FIRST_EVENT_LATENCIES = 1.3
# Later, it is probed after a pause of this many target pauses, and at least
# the minimum.
_STALL_PAUSE_FACTOR = 4
_MIN_STALL_TIMEOUT: Millis = 1000
# A silent worker is probed this often while other workers hold memory for its
# request.
_RESERVED_PROBE_DELAY: Millis = 1000
# Retry-after for refusals and connection failures, which soon pass.
_SHORT_RETRY_AFTER: Millis = 150


class Exchange:
    """Serves one request until the caller has a response."""

    def __init__(
        self,
        context: GatewayContext,
        routed: RoutedRequest,
        reply: Reply,
    ) -> None:
        """Respond to ``routed`` on ``reply``."""
        self._context = context
        self._reachability = context.handover.reachability
        self._routed = routed
        self._reply = reply
        progress = routed.progress
        self._selector = WorkerSelector(
            context,
            routed.service,
            routed.caller,
            routed.match.route,
            is_handed_over=progress.is_handed_over,
        )
        last_event_id = routed.caller.last_event_id
        if progress.last_event_id is not None:
            last_event_id = progress.last_event_id
        self._relay = Relay(
            reply, context.dialect, last_event_id, started=progress.has_head
        )
        self._attempt: Attempt | None = None
        self._sends = progress.sends
        self._connect_failures = 0
        # False as long as the request has certainly not run, apart from a send
        # whose result is not known yet.
        self._may_have_run = progress.may_have_run
        self._is_sent = False
        self._handover = RequestHandover(context, routed, reply, self._relay)
        # A worker's error response, kept while another worker is tried.
        self._failure: Result | None = None
        self._log = RequestLog(context, routed)
        reply.on_disconnect = self._on_disconnect
        reply.on_backpressure = self._on_backpressure

    async def run(self) -> None:
        """Try workers until the request is answered or abandoned."""
        while not self._reply.done and not self._reply.is_disconnected:
            left = self._routed.deadline - self._context.clock.now()
            if left <= 0:
                self._fail(_TIMED_OUT, 'out of time', None)
                return
            if self._is_refused():
                return
            if self._reachability.is_cut_off:
                await self._hand_over()
                continue
            selected = await self._selector.select(left)
            if isinstance(selected, Refusal):
                self._log.refusal = selected
                self._fail(_UNAVAILABLE, selected.reason, selected.retry_after)
                return
            await self._reserve_and_send(selected)
        if self._reply.is_disconnected and not self._reply.done:
            self._log.record_outcome('abandoned', '')

    def stop(self) -> None:
        """Answer now, as the process ends: the caller must not be left waiting.

        A request that no worker has is refused as not run.
        """
        if self._reply.done or self._reply.is_disconnected:
            return
        self._may_have_run = self._may_have_run or self._is_sent
        self._fail(_UNAVAILABLE, 'this gateway stops', _SHORT_RETRY_AFTER)
        self._on_disconnect()

    async def _hand_over(self) -> None:
        """Let another gateway serve the request, as no worker is reached."""
        self._is_sent = True
        outcome = await self._handover.run(
            self._sends, may_have_run=self._may_have_run
        )
        self._is_sent = False
        if outcome is Outcome.ANSWERED:
            self._log.record_outcome('handed over', '')
            return
        if outcome is Outcome.ABANDONED:
            return
        if outcome is Outcome.REFUSED:
            self._fail(_UNAVAILABLE, 'no worker is reached', _SHORT_RETRY_AFTER)
            return
        self._may_have_run = True
        self._sends += 1
        if outcome is Outcome.TIMED_OUT:
            self._fail(_TIMED_OUT, 'out of time', None)
        elif not self._may_retry():
            self._fail(_BAD_GATEWAY, outcome.value, None)

    async def _reserve_and_send(self, selection: Selection) -> None:
        """Send to the selected worker, reserving memory first if needed."""
        if not any(part.reserved_tokens for part in selection.parts):
            await self._send_recorded(selection)
            return
        reservation = await self._selector.reserve(selection)
        if reservation is None:
            self._connect_failures += 1
            if self._connect_failures < _MAX_CONNECT_FAILURES:
                return
            if not await self._reachability.check():
                self._fail(
                    _UNAVAILABLE, 'no memory is free', _SHORT_RETRY_AFTER
                )
            return
        with contextlib.ExitStack() as stack:
            stack.callback(self._context.reservations.release, reservation)
            await self._send_recorded(selection)

    async def _send_recorded(self, selection: Selection) -> None:
        # Announced before connecting: other gateways would pick the same slot
        # until they receive the notice.
        record = self._selector.record_send(selection)
        with contextlib.ExitStack() as stack:
            stack.callback(self._selector.record_end, selection, record)
            result = await self._connect_and_send(selection)
            self._selector.completed_parts = (
                self._context.crash_reports.completed_parts(
                    self._routed.identity, result
                )
            )
        if result is not None:
            if result.verdict is Verdict.STALLED:
                await self._reachability.check()
            await self._context.crash_reports.report(
                selection.worker, self._routed.identity, result
            )
            self._handle_result(selection.worker, result)

    async def _connect_and_send(self, selection: Selection) -> Result | None:
        """Send to the selected worker; return None if nothing was sent."""
        connection = await self._connect(selection.worker)
        if connection is None:
            self._selector.exclude(selection.worker)
            if await self._reachability.check():
                return None
            if self._connect_failures >= _MAX_CONNECT_FAILURES:
                self._fail(
                    _UNAVAILABLE,
                    'no worker accepts connections',
                    _SHORT_RETRY_AFTER,
                )
            return None
        if not self._may_send_now(selection):
            self._context.pool.release(selection.worker, connection)
            return None
        return await self._send(selection, connection)

    def _may_send_now(self, selection: Selection) -> bool:
        """Return whether to send, after the time that connecting took."""
        if self._reply.done or self._reply.is_disconnected:
            return False
        if self._is_quarantined():
            return False
        if not self._selector.is_available(selection):
            # A worker said meanwhile that it leaves or refused another request.
            return False
        budget = self._context.retry_budget
        now = self._context.clock.now()
        service = self._routed.service.name
        if self._sends and not budget.try_acquire(service, now):
            self._fail(
                _UNAVAILABLE, 'the retry budget is used up', _MS_PER_SECOND
            )
            return False
        return True

    def _is_refused(self) -> bool:
        """Fail the request if it may be sent to no worker."""
        if not self._routed.match.route.max_attempts:
            self._fail(_UNAVAILABLE, 'the route allows no attempts', None)
            return True
        return self._is_quarantined()

    def _is_quarantined(self) -> bool:
        """Fail the request if it, or a part of its prompt, crashes workers."""
        retry_after = self._context.quarantine.retry_after(
            self._routed.identity
        )
        if retry_after is None:
            return False
        self._fail(
            _UNAVAILABLE, 'requests like this one crash workers', retry_after
        )
        return True

    async def _connect(self, worker: Worker) -> ClientConnection | None:
        context = self._context
        left = self._routed.deadline - context.clock.now()
        try:
            return await context.pool.acquire(
                worker, left, self._routed.caller.attempt_id
            )
        except (OSError, TimeoutError) as error:
            self._connect_failures += 1
            context.outliers.record_failure(
                worker.worker_id, context.clock.now()
            )
            _log.warning(
                'Connecting to a worker failed.',
                worker=worker.worker_id,
                request_id=self._routed.caller.attempt_id,
                reason=repr(error),
            )
            return None

    async def _send(
        self, selection: Selection, connection: ClientConnection
    ) -> Result:
        context = self._context
        caller = self._routed.caller
        started = context.clock.now()
        attempt = Attempt(
            connection,
            context.dialect,
            Expectation(
                caller.attempt_id,
                self._is_stream(),
                context.max_held_bytes,
                self._routed.request.method == b'HEAD',
            ),
            self._relay,
            _stall_timeouts(self._routed, selection, started),
            context.memory,
            context.clock,
        )
        self._attempt = attempt
        self._sends += 1
        self._is_sent = True
        context.outliers.record_sent(selection.worker.worker_id, started)
        attempt.on_first_event = functools.partial(
            self._selector.record_first_event, selection, started
        )
        attempt.on_response = functools.partial(
            context.signals.observe, selection.worker, sent_at=started
        )
        with contextlib.ExitStack() as stack:
            stack.enter_context(
                context.send_tracker.track(selection.worker, attempt)
            )
            stack.callback(context.memory.release, attempt)
            result = await attempt.run(
                self._encode_request(selection),
                self._routed.deadline,
                functools.partial(
                    probe_stalled_worker,
                    context,
                    selection.worker,
                    caller.attempt_id,
                ),
            )
        self._attempt = None
        if result.verdict in {Verdict.COMPLETE, Verdict.NOT_RUN}:
            context.pool.release(selection.worker, connection)
        self._log.record_send_end(selection, attempt, result, started)
        return result

    def _encode_request(self, selection: Selection) -> bytes:
        routed = self._routed
        now = self._context.clock.now()
        account = routed.match.account
        forward_context = ForwardContext(
            worker_id=selection.worker.worker_id,
            time_left=max(1, routed.deadline - now),
            account=None if account is None else account.name,
            priority=selection.priority,
            last_event_id=self._relay.events.last_id,
            helpers=selection.helpers,
        )
        headers = self._context.dialect.worker_headers(
            routed.request, forward_context
        )
        return encode_request(
            routed.request.method,
            routed.request.target,
            headers,
            routed.request.body,
        )

    def _handle_result(self, worker: Worker, result: Result) -> None:
        """Answer the caller, or exclude the worker and let another one try."""
        self._is_sent = False
        if result.verdict is Verdict.ABANDONED:
            return
        if result.verdict is Verdict.NOT_RUN:
            self._handle_not_run(worker, result)
            return
        if result.verdict is Verdict.COMPLETE and result.head is not None:
            self._handle_complete(worker, result.head, result)
            return
        self._may_have_run = True
        now = self._context.clock.now()
        self._context.outliers.record_failure(worker.worker_id, now)
        if result.verdict is Verdict.TIMED_OUT:
            self._reachability.check_soon()
            self._fail(_TIMED_OUT, 'out of time', None)
        elif self._may_retry():
            self._selector.exclude(worker)
        else:
            self._fail(_BAD_GATEWAY, result.verdict.value, None)

    def _handle_not_run(self, worker: Worker, result: Result) -> None:
        head = result.head
        dialect = self._context.dialect
        is_misdirected = head is not None and dialect.is_misdirected(
            head.status
        )
        if is_misdirected and not dialect.expects_version(self._routed.request):
            self._context.view.mark_misdirected(worker)
        faulty_worker = ''
        if head is not None:
            faulty_worker = dialect.parse_response(head).faulty_worker
        if faulty_worker:
            self._selector.exclude_address(faulty_worker)
        else:
            self._selector.exclude(worker)
        if self._sends >= self._routed.match.route.max_attempts:
            retry_after = max(_SHORT_RETRY_AFTER, self._selector.held_off_for())
            self._fail(_UNAVAILABLE, 'the worker refused', retry_after)

    def _handle_complete(
        self, worker: Worker, head: ResponseHead, result: Result
    ) -> None:
        context = self._context
        if head.status >= _SERVER_FAULT:
            self._may_have_run = True
            context.outliers.record_failure(
                worker.worker_id, context.clock.now()
            )
            self._failure = result
            if self._may_retry() and not self._relay.started:
                self._selector.exclude(worker)
                return
        else:
            context.outliers.record_success(worker.worker_id)
        streamed = self._relay.started or self._is_stream()
        if streamed and not result.body and head.status < _SERVER_FAULT:
            self._relay.finish(head)
            self._log.record_outcome('served', '')
        else:
            self._forward(head, result.body)

    def _forward(self, head: ResponseHead, body: bytes) -> None:
        headers = self._context.dialect.caller_headers(head)
        if self._relay.started:
            self._reply.abort()
            self._log.record_outcome('broken', 'a worker failed midway')
            return
        self._reply.send(head.status, headers, body)
        outcome = 'served' if head.status < _SERVER_FAULT else 'failed'
        self._log.record_outcome(outcome, f'status {head.status}')

    def _may_retry(self) -> bool:
        """Return whether a request that may have run can be retried."""
        route = self._routed.match.route
        if self._relay.started and not self._is_stream():
            # A part of the answer has been relayed.
            return False
        return route.may_retry() and self._sends < route.max_attempts

    def _is_stream(self) -> bool:
        return self._routed.match.route.kind is RequestKind.STREAM

    def _fail(
        self, status: int, reason: str, retry_after: Millis | None
    ) -> None:
        """Answer with a worker's error response or else the gateway's own."""
        if self._reply.done:
            return
        if self._relay.started:
            self._reply.abort()
            self._log.record_outcome('broken', reason)
            return
        if self._failure is not None and self._failure.head is not None:
            self._forward(self._failure.head, self._failure.body)
            return
        if self._may_have_run:
            status = _TIMED_OUT if status == _TIMED_OUT else _BAD_GATEWAY
            retry_after = None
        headers = self._context.dialect.refusal_headers(
            self._routed.caller.attempt_id, retry_after
        )
        self._reply.send(status, headers, f'{reason}\n'.encode())
        outcome = 'refused' if status == _UNAVAILABLE else 'failed'
        self._log.record_outcome(outcome, reason, retry_after)

    def _on_disconnect(self) -> None:
        if self._attempt is not None:
            self._attempt.abandon()
        self._handover.cancel()
        self._selector.cancel()

    def _on_backpressure(self, paused: bool) -> None:  # noqa: FBT001
        self._handover.set_backpressure(paused)
        if self._attempt is not None:
            self._attempt.set_backpressure(paused)


def _stall_timeouts(
    routed: RoutedRequest, selection: Selection, now: Millis
) -> StallTimeouts:
    """Return the times without events after which a worker is probed."""
    route = routed.match.route
    if route.kind is not RequestKind.STREAM:
        return StallTimeouts(routed.deadline, routed.deadline, routed.deadline)
    # Later than half of the time that the caller still waits for an event, a
    # move to another worker would hardly help.
    left = routed.request.received_at + event_timeout(route) - now
    max_probe_delay = max(_MIN_STALL_TIMEOUT, left // 2)
    if any(part.reserved_tokens for part in selection.parts):
        # The memory must be released soon after the worker has died.
        max_probe_delay = _RESERVED_PROBE_DELAY
    between_events = max(
        _MIN_STALL_TIMEOUT, _STALL_PAUSE_FACTOR * route.target_pause
    )
    first = _FIRST_EVENT_MARGIN + int(
        _FIRST_EVENT_LATENCIES * route.target_latency
    )
    return StallTimeouts(
        first + 2 * selection.first_event_in, between_events, max_probe_delay
    )
