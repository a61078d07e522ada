"""The part of an entry that owns the memory ledgers of some engines."""

from collections.abc import Callable
from typing import Protocol

from verbenathread.replay.event_loop import EventLoop
from verbenathread.scheduling.ledger import EngineLedger
from verbenathread.scheduling.messages import Queued, ReservationRequest
from verbenathread.types import NodeId, Refusal, Reservation, UpstreamId

Answer = Reservation | Queued | Refusal
LedgerAction = Callable[[EngineLedger], object]


class AnswerSender(Protocol):
    """Sends an owner's answers to the entries that made the requests."""

    def send_answer(
        self,
        owner_id: NodeId,
        entry_id: NodeId,
        upstream_id: UpstreamId,
        attempt_id: str,
        answer: Answer,
    ) -> None:
        """Deliver an answer after the network latency."""


class EngineOwner:
    """Keeps the ledgers of the engines that one entry owns."""

    def __init__(
        self, owner_id: NodeId, loop: EventLoop, sender: AnswerSender
    ) -> None:
        """Create an owner without engines."""
        self.owner_id = owner_id
        self.ledger_by_id: dict[UpstreamId, EngineLedger] = {}
        self._loop = loop
        self._sender = sender
        self._entry_by_queued: dict[tuple[UpstreamId, str], NodeId] = {}
        self._tick_time_by_id: dict[UpstreamId, float] = {}

    def reserve(
        self, upstream_id: UpstreamId, request: ReservationRequest
    ) -> None:
        """Answer a reservation request.

        A queued request is answered again when it is granted.
        """
        ledger = self.ledger_by_id.get(upstream_id)
        if ledger is None:
            return
        answer = ledger.reserve(request)
        if isinstance(answer, Queued):
            key = (upstream_id, request.attempt_id)
            self._entry_by_queued[key] = request.entry_id
        self._sender.send_answer(
            self.owner_id,
            request.entry_id,
            upstream_id,
            request.attempt_id,
            answer,
        )
        self.send_grants(upstream_id)

    def update_ledger(
        self, upstream_id: UpstreamId, action: LedgerAction
    ) -> None:
        """Apply an entry's update to the ledger and send new grants."""
        ledger = self.ledger_by_id.get(upstream_id)
        if ledger is None:
            return
        action(ledger)
        self.send_grants(upstream_id)

    def send_grants(self, upstream_id: UpstreamId) -> None:
        """Send the grants of queued requests and schedule the next tick."""
        ledger = self.ledger_by_id.get(upstream_id)
        if ledger is None:
            return
        for reservation in ledger.take_grants():
            key = (upstream_id, reservation.attempt_id)
            entry_id = self._entry_by_queued.pop(key, None)
            if entry_id is None:
                continue
            self._sender.send_answer(
                self.owner_id,
                entry_id,
                upstream_id,
                reservation.attempt_id,
                reservation,
            )
        self._schedule_tick(upstream_id, ledger)

    def drop_engine(self, upstream_id: UpstreamId, refusal: Refusal) -> None:
        """Drop an engine that is gone and refuse its queued requests."""
        self.ledger_by_id.pop(upstream_id, None)
        for key in tuple(self._entry_by_queued):
            if key[0] != upstream_id:
                continue
            entry_id = self._entry_by_queued.pop(key)
            self._sender.send_answer(
                self.owner_id, entry_id, upstream_id, key[1], refusal
            )

    def _schedule_tick(
        self, upstream_id: UpstreamId, ledger: EngineLedger
    ) -> None:
        time = ledger.next_tick()
        if time is None:
            return
        scheduled = self._tick_time_by_id.get(upstream_id, 0)
        if self._loop.now < scheduled <= time:
            return
        # A reservation expires only after its start_by, hence the 1 ms.
        self._tick_time_by_id[upstream_id] = time + 1
        self._loop.call_at(time + 1, self._on_tick, upstream_id, time + 1)

    def _on_tick(self, upstream_id: UpstreamId, time: float) -> None:
        if self._tick_time_by_id.get(upstream_id) != time:
            # Superseded by an earlier tick.
            return
        self._tick_time_by_id.pop(upstream_id)
        self.send_grants(upstream_id)
