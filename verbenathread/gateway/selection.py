"""Selects a worker for a request, and another one after each failure."""

import asyncio
from collections.abc import Sequence
from typing import NamedTuple

from verbenathread.gateway.context import GatewayContext
from verbenathread.gateway.reservations import MemoryShare, Reservation
from verbenathread.serving.dialect import CallerRequest, Helper
from verbenathread.serving.estimates import GenerationRequest
from verbenathread.serving.fleet_load import (
    LONG_PROMPT_TOKENS,
    PromptPart,
    Send,
)
from verbenathread.serving.placement import NoCapacity, Placement, place
from verbenathread.serving.types import Prompt, Route, ServiceSpec, Worker
from verbenathread.types import Millis

# Priorities sent to workers: short prompts go before long ones.
_SHORT_PRIORITY = 2
_LONG_PRIORITY = 5
# Share of the time left that a generation may wait for a slot. If it is
# refused then, the caller has time left to retry.
_QUEUE_TIME_SHARE = 0.25
# Callers abandon a stream without events after the longest of these times
# (see the platform's documentation of requests).
_MIN_FIRST_EVENT_TIMEOUT: Millis = 2000
_TIMEOUT_LATENCIES = 4
_TIMEOUT_PAUSES = 8
# A placement whose forecast exceeds this share of the timeout is rejected: it
# may well miss the timeout, and the work would be wasted.
_SAFE_FORECAST_SHARE = 0.7
# Retry-after when no forecast of a free slot exists.
_UNKNOWN_RETRY_AFTER: Millis = 1000
_SHORT_RETRY_AFTER: Millis = 100


class Selection(NamedTuple):
    """The worker selected for one send."""

    worker: Worker
    priority: int | None
    # Forecast time to the first event; 0 for a plain service.
    first_event_in: Millis = 0
    # Requests running there and its slowdown factor when it was selected.
    concurrent: int = 0
    pace: float = 1
    parts: tuple[PromptPart, ...] = ()
    helpers: Sequence[Helper] = ()
    # The id under which memory is reserved for this send alone.
    reservation_id: str = ''


class Refusal(NamedTuple):
    """No worker can take the request; says when the caller may retry."""

    reason: str
    retry_after: Millis
    # Workers considered, and the forecast time until one is free.
    candidates: int = 0
    free_in: Millis | None = None


class SendRecord(NamedTuple):
    """Identifies a recorded send, to be removed when it ends."""

    send_id: str
    started: Millis


class WorkerSelector:
    """Selects workers for one request."""

    def __init__(
        self,
        context: GatewayContext,
        service: ServiceSpec,
        caller: CallerRequest,
        route: Route,
        *,
        is_handed_over: bool,
    ) -> None:
        """Select among the workers of ``service``.

        ``is_handed_over`` tells that another gateway may have sent the request
        and may still release its reservations.
        """
        self._context = context
        self._service = service
        self._caller = caller
        self._prompt = caller.prompt or Prompt(0, 0, 0)
        self._route = route
        # Begins the ids of sends and reservations.
        self._id = caller.attempt_id
        if is_handed_over:
            self._id = f'{caller.attempt_id}-{context.node_id}'
        self._excluded: set[str] = set()
        self._sends = 0
        # The parts of the request that the last send answered to the end.
        self.completed_parts: Sequence[str] = ()
        self._queued: asyncio.Task[Placement | None] | None = None
        self._due = context.clock.now() + route.target_latency

    def exclude(self, worker: Worker) -> None:
        """Do not select this worker again."""
        self._excluded.add(worker.worker_id)

    def exclude_address(self, address: str) -> None:
        """Do not select the worker with this address or id again."""
        for worker in self._context.view.workers(self._service.name):
            if address in {str(worker.address), worker.worker_id}:
                self.exclude(worker)

    def is_available(self, selection: Selection) -> bool:
        """Return whether all workers of the selection still take new work."""
        accepts = self._context.signals.accepts
        if not accepts(selection.worker):
            return False
        for part in selection.parts:
            worker = self._context.view.worker_by_id.get(part.worker_id)
            if worker is None or not accepts(worker):
                return False
        return True

    def held_off_for(self) -> Millis:
        """Return the time until the first worker takes requests again."""
        context = self._context
        workers = context.view.workers(self._service.name)
        return min(map(context.signals.left, workers), default=0)

    def cancel(self) -> None:
        """Stop waiting for a slot: the caller disconnected."""
        if self._queued is not None:
            self._queued.cancel()

    async def select(self, left: Millis) -> Selection | Refusal:
        """Return the worker to send to, waiting for a slot if needed."""
        if self._service.engine is None or self._caller.prompt is None:
            return self._select_plain()
        result = self._place()
        if isinstance(result, Placement):
            return self._selection(result)
        count = len(self._candidates())
        free_in = result.free_in
        if not count:
            return self._refuse_without_candidates(_UNKNOWN_RETRY_AFTER)
        if free_in is None:
            return Refusal(
                'the prompt fits no worker', _UNKNOWN_RETRY_AFTER, count
            )
        queue_timeout = int(left * _QUEUE_TIME_SHARE)
        if free_in > queue_timeout:
            return Refusal('every worker is full', free_in, count, free_in)
        placement = await self._wait_in_queue(queue_timeout)
        if placement is None:
            return Refusal(
                'every worker is full', _SHORT_RETRY_AFTER, count, free_in
            )
        return self._selection(placement)

    async def reserve(self, selection: Selection) -> Reservation | None:
        """Reserve the memory that the selection needs; None on failure."""
        shares = []
        for part in selection.parts:
            worker = self._context.view.worker_by_id.get(part.worker_id)
            if part.reserved_tokens and worker is not None:
                shares.append(MemoryShare(worker, part.reserved_tokens))
        reservation = await self._context.reservations.reserve(
            selection.reservation_id, shares
        )
        if isinstance(reservation, Reservation):
            return reservation
        self.exclude(reservation)
        return None

    def record_send(self, selection: Selection) -> SendRecord:
        """Record a send here and announce it to the other gateways."""
        context = self._context
        now = context.clock.now()
        self._sends += 1
        send_id = f'{self._id}/{self._sends}'
        engine = self._service.engine
        prompt = self._caller.prompt
        if engine is None or prompt is None:
            self._record_plain_send(selection.worker.worker_id, now)
            return SendRecord(send_id, now)
        send = Send(
            send_id,
            prompt.tokens,
            prompt.expected_output,
            self._route.target_pause,
            self._due,
            parts=selection.parts,
        )
        worker_id = selection.worker.worker_id
        context.signals.limits.record_send(worker_id, now)
        for part in selection.parts:
            context.signals.limits.record_send(part.worker_id, now)
        context.fleet.record_send(worker_id, engine, send, now)
        context.notices.announce_send(worker_id, send, max(0, self._due - now))
        return SendRecord(send_id, now)

    def record_first_event(self, selection: Selection, sent: Millis) -> None:
        """Compare the time from ``sent`` to the first event with its forecast."""
        if selection.parts or self._service.engine is None:
            return
        load = self._context.fleet.load(selection.worker.worker_id)
        now = self._context.clock.now()
        load.record_first_event(selection.first_event_in, now - sent, now)

    def record_end(self, selection: Selection, record: SendRecord) -> None:
        """Remove a recorded send and announce its end."""
        context = self._context
        now = context.clock.now()
        worker_id = selection.worker.worker_id
        parts = self.completed_parts
        context.quarantine.record_completion(parts)
        if self._service.engine is None or self._caller.prompt is None:
            context.plain_balancer.record_end(
                worker_id, now - record.started, now
            )
            if parts:
                context.notices.announce_completion(parts)
            return
        context.fleet.record_end(worker_id, record.send_id, now)
        context.notices.announce_end(worker_id, record.send_id, parts)
        context.queue.wake()

    def _record_plain_send(self, worker_id: str, now: Millis) -> None:
        context = self._context
        context.plain_balancer.record_start(worker_id)
        context.signals.limits.record_send(worker_id, now)
        if context.signals.limits.is_named(worker_id):
            context.notices.announce_plain_send(worker_id)

    def _select_plain(self) -> Selection | Refusal:
        context = self._context
        context.notices.read()
        now = context.clock.now()
        worker = context.plain_balancer.choose(
            self._candidates(), context.data_centre, now
        )
        if worker is None:
            return self._refuse_without_candidates(_SHORT_RETRY_AFTER)
        return Selection(worker, None)

    def _refuse_without_candidates(self, retry_after: Millis) -> Refusal:
        held_off_for = self.held_off_for()
        if held_off_for:
            return Refusal('every worker refuses for a time', held_off_for)
        return Refusal('no worker is known', retry_after)

    def _candidates(self) -> list[Worker]:
        """Return the workers to select from: healthy ones if there are any."""
        context = self._context
        ejected = context.outliers.ejected(context.clock.now())
        healthy = []
        ejected_workers = []
        workers = context.view.workers(self._service.name)
        for worker in context.signals.accepting(workers):
            if worker.worker_id in self._excluded:
                continue
            if worker.worker_id in ejected:
                ejected_workers.append(worker)
            else:
                healthy.append(worker)
        return healthy or ejected_workers

    def _place(self) -> Placement | NoCapacity:
        context = self._context
        context.notices.read()
        engine = self._service.engine
        now = context.clock.now()
        if engine is None:
            return NoCapacity(None)
        request = GenerationRequest(
            self._prompt,
            max(0, self._due - now),
            self._route.target_pause,
            self._max_first_event_in(now),
            context.data_centre,
        )
        return place(
            request,
            engine,
            self._candidates(),
            context.fleet,
            now,
            context.view.placing_gateway(now),
        )

    async def _wait_in_queue(self, limit: Millis) -> Placement | None:
        queue = self._context.queue
        self._queued = asyncio.create_task(
            queue.wait(self._due, self._place, limit)
        )
        try:
            return await self._queued
        except asyncio.CancelledError:
            return None
        finally:
            self._queued = None

    def _selection(self, placement: Placement) -> Selection:
        load = self._context.fleet.load(placement.worker.worker_id)
        reservation_id = self._context.reservations.new_id(self._id)
        priority = _SHORT_PRIORITY
        if self._prompt.tokens > LONG_PROMPT_TOKENS:
            priority = _LONG_PRIORITY
        return Selection(
            placement.worker,
            priority,
            placement.first_event_in,
            len(load.send_by_id),
            load.pace,
            placement.parts,
            self._helpers(placement.parts, reservation_id),
            reservation_id,
        )

    def _helpers(
        self, parts: Sequence[PromptPart], reservation_id: str
    ) -> list[Helper]:
        """Return the helpers with their addresses and reservations."""
        helpers = []
        for part in parts:
            worker = self._context.view.worker_by_id.get(part.worker_id)
            if worker is None:
                continue
            helpers.append(
                Helper(
                    worker.address,
                    reservation_id if part.reserved_tokens else '',
                )
            )
        return helpers

    def _max_first_event_in(self, now: Millis) -> Millis:
        """Return the longest acceptable forecast time to the first event."""
        route = self._route
        left = self._due - route.target_latency + event_timeout(route) - now
        return int(left * _SAFE_FORECAST_SHARE)


def event_timeout(route: Route) -> Millis:
    """Return the time without events after which callers abandon a stream."""
    return max(
        _MIN_FIRST_EVENT_TIMEOUT,
        _TIMEOUT_LATENCIES * route.target_latency,
        _TIMEOUT_PAUSES * route.target_pause,
    )
