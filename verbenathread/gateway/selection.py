"""Chooses a worker for one request, again after each that failed."""

import asyncio
from collections.abc import Sequence
from typing import NamedTuple

from verbenathread.gateway.context import GatewayContext
from verbenathread.gateway.reservations import MemoryShare, Reservation
from verbenathread.http1.messages import ResponseHead
from verbenathread.serving.dialect import CallerRequest, Helper
from verbenathread.serving.estimates import (
    LONG_PROMPT_TOKENS,
    GenerationRequest,
)
from verbenathread.serving.fleet_load import PromptPart, Send
from verbenathread.serving.placement import NoCapacity, Placement, place
from verbenathread.serving.types import Prompt, Route, ServiceSpec, Worker
from verbenathread.types import Millis

_MISDIRECTED = 421
# Ranks that workers know: a short prompt goes before a long one.
_URGENT = 2
_USUAL = 5
# Share of the time left that a generation may wait for a place: one that was
# refused can still come back and be served in the rest.
_PATIENCE = 0.25
# Callers leave a stream on which nothing came for the longest of these
# (the platform's page on requests).
_LEAST_PATIENCE: Millis = 2000
_PATIENT_LATENCIES = 4
_PATIENT_PAUSES = 8
# A forecast beyond this share of it may well fail: then nobody is served.
_SAFE_SHARE = 0.7
# When nothing is known of when a place gets free.
_COME_BACK: Millis = 1000
_SOON: Millis = 100


class Selection(NamedTuple):
    """A worker for one send."""

    worker: Worker
    priority: int | None
    # Forecast of ms to the first event; 0 for a plain service.
    first_event_in: Millis = 0
    # Requests already there, and its pace, when it was chosen.
    concurrent: int = 0
    pace: float = 1
    parts: tuple[PromptPart, ...] = ()
    helpers: Sequence[Helper] = ()


class Refusal(NamedTuple):
    """No worker will do, and when the caller should come back."""

    reason: str
    retry_after: Millis
    # Workers that were looked at, and when the first is free by forecast.
    candidates: int = 0
    free_in: Millis | None = None


class SendRecord(NamedTuple):
    """What was noted of a send, to be taken back at its end."""

    send_id: str
    started: Millis


class WorkerSelector:
    """Chooses for one request."""

    def __init__(
        self,
        parts: GatewayContext,
        service: ServiceSpec,
        caller: CallerRequest,
        route: Route,
    ) -> None:
        """Choose among the workers of ``service``."""
        self._parts = parts
        self._service = service
        self._caller = caller
        self._route = route
        self._excluded: set[str] = set()
        self._sends = 0
        self._waiting: asyncio.Task[Placement | None] | None = None
        self._due = parts.clock.now() + route.target_latency

    def exclude(self, worker: Worker) -> None:
        """Send nothing more to this worker."""
        self._excluded.add(worker.worker_id)

    def exclude_address(self, address: str) -> None:
        """Send nothing more to the worker at an address."""
        for worker in self._parts.view.workers(self._service.name):
            if address in {str(worker.address), worker.worker_id}:
                self.exclude(worker)

    def is_misdirected(self, head: ResponseHead) -> bool:
        """Tell whether a refusal says that another worker answers there."""
        return head.status == _MISDIRECTED

    def cancel(self) -> None:
        """Wait no longer: the caller left."""
        if self._waiting is not None:
            self._waiting.cancel()

    async def select(self, left: Millis) -> Selection | Refusal:
        """Return the worker to send to, perhaps after a wait."""
        if self._service.engine is None or self._caller.prompt is None:
            return self._choose_plain()
        found = self._place()
        if isinstance(found, Placement):
            return self._choice(found)
        count = len(self._candidates())
        free_in = found.free_in
        if not count:
            return Refusal('no worker is known', _COME_BACK)
        if free_in is None:
            return Refusal('the prompt fits no worker', _COME_BACK, count)
        patience = int(left * _PATIENCE)
        if free_in > patience:
            return Refusal('every worker is full', free_in, count, free_in)
        placed = await self._wait(patience)
        if placed is None:
            return Refusal('every worker is full', _SOON, count, free_in)
        return self._choice(placed)

    async def reserve(self, choice: Selection) -> Reservation | None:
        """Set the memory aside that the choice needs; None if that fails."""
        shares = []
        for part in choice.parts:
            worker = self._parts.view.worker_by_id.get(part.worker_id)
            if part.reserved_tokens and worker is not None:
                shares.append(MemoryShare(worker, part.reserved_tokens))
        reserved = await self._parts.reservations.reserve(
            self._reservation_id(), shares
        )
        if isinstance(reserved, Reservation):
            return reserved
        self.exclude(reserved)
        return None

    def record_send(self, choice: Selection) -> SendRecord:
        """Count a send, here and at the other gateways."""
        parts = self._parts
        now = parts.clock.now()
        self._sends += 1
        send_id = f'{self._caller.attempt_id}/{self._sends}'
        engine = self._service.engine
        prompt = self._caller.prompt
        if engine is None or prompt is None:
            parts.plain_balancer.record_start(choice.worker.worker_id)
            return SendRecord(send_id, now)
        send = Send(
            send_id,
            prompt.tokens,
            prompt.expected_output,
            self._route.target_pause,
            self._due,
            parts=choice.parts,
        )
        worker_id = choice.worker.worker_id
        parts.fleet.record_send(worker_id, engine, send, now)
        parts.notices.announce_send(worker_id, send, max(0, self._due - now))
        return SendRecord(send_id, now)

    def record_first_event(self, choice: Selection, actual: Millis) -> None:
        """Compare the first event with its forecast."""
        if choice.parts or self._service.engine is None:
            return
        load = self._parts.fleet.load(choice.worker.worker_id)
        now = self._parts.clock.now()
        load.record_first_event(choice.first_event_in, actual, now)

    def record_end(self, choice: Selection, noted: SendRecord) -> None:
        """Take the count back."""
        parts = self._parts
        now = parts.clock.now()
        worker_id = choice.worker.worker_id
        if self._service.engine is None or self._caller.prompt is None:
            parts.plain_balancer.record_end(worker_id, now - noted.started, now)
            return
        parts.fleet.record_end(worker_id, noted.send_id, now)
        parts.notices.announce_end(worker_id, noted.send_id)
        parts.queue.wake()

    def _choose_plain(self) -> Selection | Refusal:
        parts = self._parts
        now = parts.clock.now()
        worker = parts.plain_balancer.choose(
            self._candidates(), parts.data_centre, now
        )
        if worker is None:
            return Refusal('no worker is known', _SOON)
        return Selection(worker, None)

    def _candidates(self) -> list[Worker]:
        """Return the workers to choose from, the sound ones if any are."""
        parts = self._parts
        aside = parts.outliers.ejected(parts.clock.now())
        sound = []
        others = []
        for worker in parts.view.workers(self._service.name):
            if worker.worker_id in self._excluded:
                continue
            if worker.worker_id in aside:
                others.append(worker)
            else:
                sound.append(worker)
        return sound or others

    def _place(self) -> Placement | NoCapacity:
        parts = self._parts
        engine = self._service.engine
        now = parts.clock.now()
        if engine is None:
            return NoCapacity(None)
        wanted = GenerationRequest(
            self._prompt(),
            max(0, self._due - now),
            self._route.target_pause,
            self._patience(now),
            parts.data_centre,
        )
        return place(
            wanted,
            engine,
            self._candidates(),
            parts.fleet,
            now,
            parts.view.placing_gateway(now),
        )

    async def _wait(self, limit: Millis) -> Placement | None:
        room = self._parts.queue
        self._waiting = asyncio.create_task(
            room.wait(self._due, self._place, limit)
        )
        try:
            return await self._waiting
        except asyncio.CancelledError:
            return None
        finally:
            self._waiting = None

    def _choice(self, placed: Placement) -> Selection:
        load = self._parts.fleet.load(placed.worker.worker_id)
        urgency = _URGENT
        if self._prompt().tokens > LONG_PROMPT_TOKENS:
            urgency = _USUAL
        return Selection(
            placed.worker,
            urgency,
            placed.first_event_in,
            len(load.send_by_id),
            load.pace,
            placed.parts,
            self._holders(placed.parts),
        )

    def _holders(self, parts: Sequence[PromptPart]) -> list[Helper]:
        """Return the addresses of the workers that read or hold a part."""
        holders = []
        for part in parts:
            worker = self._parts.view.worker_by_id.get(part.worker_id)
            if worker is None:
                continue
            ticket = self._reservation_id() if part.reserved_tokens else ''
            holders.append(Helper(worker.address, ticket))
        return holders

    def _reservation_id(self) -> str:
        return f'{self._caller.attempt_id}-{self._sends}'

    def _patience(self, now: Millis) -> Millis:
        """Return how long the caller waits for the first event."""
        route = self._route
        whole = max(
            _LEAST_PATIENCE,
            _PATIENT_LATENCIES * route.target_latency,
            _PATIENT_PAUSES * route.target_pause,
        )
        left = self._due - route.target_latency + whole - now
        return int(left * _SAFE_SHARE)

    def _prompt(self) -> Prompt:
        prompt = self._caller.prompt
        return Prompt(0, 0, 0) if prompt is None else prompt
