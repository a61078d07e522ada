"""Log lines and metrics of one request."""

from typing import NamedTuple

from verbenathread.gateway.attempt import Attempt, Result, Verdict
from verbenathread.gateway.context import GatewayContext
from verbenathread.gateway.progress import NO_PROGRESS, Progress
from verbenathread.gateway.selection import Refusal, Selection
from verbenathread.http1.messages import Request
from verbenathread.observability.logs import get_logger
from verbenathread.observability.metrics import length_label
from verbenathread.serving.dialect import CallerRequest
from verbenathread.serving.request_key import RequestIdentity
from verbenathread.serving.routes import RouteMatch
from verbenathread.serving.types import ServiceSpec
from verbenathread.types import Millis

_log = get_logger('gateway')

_MS_PER_SECOND = 1000


class RoutedRequest(NamedTuple):
    """A request with its route and service."""

    request: Request
    caller: CallerRequest
    match: RouteMatch
    service: ServiceSpec
    # The earlier of the caller's deadline and the route's time limit.
    deadline: Millis
    identity: RequestIdentity
    progress: Progress = NO_PROGRESS


class RequestLog:
    """Records what becomes of one request and of its sends."""

    def __init__(self, context: GatewayContext, routed: RoutedRequest) -> None:
        """Record for ``routed``."""
        self._context = context
        self._routed = routed
        # Why no worker was selected, if none was.
        self.refusal: Refusal | None = None
        self._sends = 0

    def record_outcome(
        self,
        outcome: str,
        reason: str,
        retry_after: Millis | None = None,
    ) -> None:
        """Record the end of the request."""
        routed = self._routed
        self._context.metrics.requests.labels(outcome).inc()
        if outcome == 'served' and self._sends == 1:
            return
        refusal = self.refusal
        _log.info(
            'A request ended.',
            request_id=routed.caller.attempt_id,
            outcome=outcome,
            reason=reason,
            retry_after=retry_after,
            route=routed.match.route.name,
            sends=self._sends,
            took=self._context.clock.now() - routed.request.received_at,
            config=self._context.view.config_version,
            view_age=self._context.clock.now() - self._context.view.updated_at,
            candidates=None if refusal is None else refusal.candidates,
            free_in=None if refusal is None else refusal.free_in,
        )

    def record_send_end(
        self,
        selection: Selection,
        attempt: Attempt,
        result: Result,
        started: Millis,
    ) -> None:
        """Log a send that ended and measure its times."""
        now = self._context.clock.now()
        prompt = self._routed.caller.prompt
        metrics = self._context.metrics
        self._sends += 1
        metrics.sends.labels(result.verdict.value).inc()
        first = attempt.first_event_at
        if prompt is not None and first is not None:
            waited = (first - self._routed.request.received_at) / _MS_PER_SECOND
            metrics.first_event.labels(length_label(prompt.tokens)).observe(
                waited
            )
        elif prompt is None:
            metrics.answer.observe((now - started) / _MS_PER_SECOND)
        _log.info(
            'A send ended.',
            request_id=self._routed.caller.attempt_id,
            worker=selection.worker.worker_id,
            verdict=result.verdict.value,
            status=None if result.head is None else result.head.status,
            queued=started - self._routed.request.received_at,
            forecast=selection.first_event_in,
            beside=selection.concurrent,
            parts=1 + len(selection.parts),
            pace=round(selection.pace, 2),
            first=None if first is None else first - started,
            pause=attempt.longest_pause,
            took=now - started,
            tokens=0 if prompt is None else prompt.tokens,
            shared_parts=() if prompt is None else prompt.shared_parts,
            written=attempt.written_bytes,
            request=self._request_key(result),
        )

    def _request_key(self, result: Result) -> str | None:
        """Return the key of a request whose send broke, maybe with its worker."""
        if result.verdict is not Verdict.BROKEN:
            return None
        return self._routed.identity.key
