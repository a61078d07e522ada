"""Hands one request over to another gateway."""

import asyncio

from verbenathread.gateway.attempt import Relay
from verbenathread.gateway.context import GatewayContext
from verbenathread.gateway.handover_client import Outcome
from verbenathread.gateway.handover_relay import HandoverRelay
from verbenathread.gateway.progress import Progress
from verbenathread.gateway.reply import Reply
from verbenathread.gateway.request_log import RoutedRequest
from verbenathread.serving.types import RequestKind


class RequestHandover:
    """Lets other gateways serve one request."""

    def __init__(
        self,
        context: GatewayContext,
        routed: RoutedRequest,
        reply: Reply,
        relay: Relay,
    ) -> None:
        """Answer on ``reply``; ``relay`` knows what the caller has."""
        self._context = context
        self._routed = routed
        self._relay = relay
        self._receiver = HandoverRelay(
            reply,
            relay,
            is_stream=routed.match.route.kind is RequestKind.STREAM,
        )
        self._task: asyncio.Task[Outcome] | None = None

    async def run(self, sends: int, *, may_have_run: bool) -> Outcome:
        """Return what became of the request after ``sends`` own sends."""
        routed = self._routed
        if routed.progress.is_handed_over:
            return Outcome.REFUSED
        # The other gateway sends whole events.
        self._relay.events.discard_partial()
        self._task = asyncio.create_task(
            self._context.handover.serve(
                routed.caller.attempt_id,
                routed.request,
                Progress(
                    sends,
                    may_have_run,
                    self._relay.started,
                    self._relay.events.last_id,
                ),
                routed.deadline,
                self._receiver,
            )
        )
        await asyncio.wait((self._task,))
        if self._task.cancelled():
            return Outcome.ABANDONED
        outcome = self._task.result()
        if outcome is Outcome.ANSWERED:
            # The other gateway counts the request.
            self._context.retry_budget.forget_request(routed.service.name)
        return outcome

    def cancel(self) -> None:
        """End the call, because the caller disconnected."""
        if self._task is not None:
            self._task.cancel()

    def set_backpressure(self, paused: bool) -> None:  # noqa: FBT001
        """Stop or resume reading, as the caller's connection requires."""
        self._receiver.set_backpressure(paused)
