"""One engine whose memory this entry owns: its ledger, grants and waiters.

A grant counts as started at once, but for a part of a group, which may yield
to another group until the whole group is held. Its memory comes back only
when the entry that asked releases it, or when the engine, read after the last
moment at which the attempt could reach it, does not list the attempt. So a
lost message gives no memory out twice.
"""

import asyncio
from collections.abc import Callable, Iterable

from verbenathread.clock import Clock, seconds
from verbenathread.entry import reservation_messages
from verbenathread.scheduling.holds import reservation_id
from verbenathread.scheduling.ledger import START_TIMEOUT, EngineLedger
from verbenathread.scheduling.messages import EngineHold, ReservationRequest
from verbenathread.schema import peer_pb2
from verbenathread.types import (
    Millis,
    NodeId,
    Refusal,
    RefusalReason,
    Reservation,
)

# Time that an engine may take to list an attempt which reached it in time.
ARRIVAL_MS = 500


class Grant:
    """Memory given to one attempt of one entry."""

    def __init__(
        self,
        reservation_id: str,
        attempt_id: str,
        entry_id: NodeId,
        incarnation: int,
        start_by: Millis,
    ) -> None:
        """Count the attempt as not yet seen at the engine."""
        self.reservation_id = reservation_id
        self.attempt_id = attempt_id
        self.entry_id = entry_id
        # 0 when it is not known which life of the entry asked.
        self.incarnation = incarnation
        self.start_by = start_by
        self.started = False


class _Waiter:
    """An ask in the queue, and the reply that its caller waits for."""

    def __init__(self, request: peer_pb2.ReserveRequest) -> None:
        self.request = request
        loop = asyncio.get_running_loop()
        self.reply: asyncio.Future[peer_pb2.ReserveReply] = loop.create_future()


class OwnedEngine:
    """Gives out the memory of one engine while its lease is held."""

    def __init__(
        self,
        ledger: EngineLedger,
        holds_lease: Callable[[], bool],
        clock: Clock,
        *,
        node_id: NodeId,
        incarnation: int,
    ) -> None:
        """Take the ledger, after it adopted what the engine holds."""
        self.ledger = ledger
        self._holds_lease = holds_lease
        self._clock = clock
        self._node_id = node_id
        self._incarnation = incarnation
        self._grant_by_id: dict[str, Grant] = {}
        self._waiter_by_attempt: dict[str, _Waiter] = {}

    def adopt(self, holds: Iterable[EngineHold]) -> None:
        """Start from what the engine lists, at takeover."""
        listed = tuple(holds)
        self.ledger.restore(listed)
        for hold in listed:
            grant = Grant(
                reservation_id(self.ledger.upstream_id, hold.attempt_id),
                hold.attempt_id,
                hold.entry_id,
                0,
                self._clock.now(),
            )
            grant.started = True
            self._grant_by_id[grant.reservation_id] = grant

    async def reserve(
        self, request: peer_pb2.ReserveRequest
    ) -> peer_pb2.ReserveReply:
        """Grant, refuse, or wait in the queue for as long as the call."""
        if not self._holds_lease():
            return self._not_owner()
        ask = reservation_messages.decode_request(request, self._clock)
        if ask.group:
            self._renew(ask.attempt_id)
        outcome = self.ledger.reserve(ask)
        self.grant_waiting()
        if isinstance(outcome, Reservation):
            return self._granted(outcome, request)
        if isinstance(outcome, Refusal):
            return reservation_messages.encode_refusal(outcome)
        if not request.may_queue:
            self.ledger.cancel(ask.attempt_id)
            return peer_pb2.ReserveReply(
                refusal=reservation_messages.QUEUED,
                message='The engine has no memory now.',
                retry_after_ms=max(1, outcome.expected_wait),
            )
        return await self._wait(ask, request)

    def update(self, update: peer_pb2.HoldUpdate) -> None:
        """Take progress or a release from the entry that holds a grant."""
        grant = self._grant_by_id.get(
            reservation_id(self.ledger.upstream_id, update.attempt_id)
        )
        if grant is None:
            return
        if update.started:
            self._note_started(grant)
        if update.released:
            self._drop(grant, update.output_tokens)
        elif update.output_tokens:
            self._note_started(grant)
            self.ledger.record_progress(
                grant.reservation_id, update.output_tokens
            )

    def grant_waiting(self) -> None:
        """Answer the waiters for whom there is memory now."""
        if not self._waiter_by_attempt or not self._holds_lease():
            return
        for reservation in self.ledger.take_grants():
            waiter = self._waiter_by_attempt.get(reservation.attempt_id)
            if waiter is None or waiter.reply.done():
                self.ledger.cancel(reservation.attempt_id)
                continue
            waiter.reply.set_result(self._granted(reservation, waiter.request))

    def close(self) -> None:
        """Send every waiter elsewhere: the lease is lost."""
        for waiter in self._waiter_by_attempt.values():
            if not waiter.reply.done():
                waiter.reply.set_result(self._not_owner())

    def unconfirmed_grants(
        self, is_alive: Callable[[NodeId, int], bool]
    ) -> tuple[Grant, ...]:
        """Return the grants that only the engine can tell of.

        They were never seen to start, or their entry is dead or restarted,
        and no attempt can reach the engine any more.
        """
        now = self._clock.now()
        found = []
        for grant in self._grant_by_id.values():
            if now <= grant.start_by + ARRIVAL_MS:
                continue
            # It may run: the ledger must not let it expire or yield.
            self.ledger.mark_started(grant.reservation_id)
            if grant.started and is_alive(grant.entry_id, grant.incarnation):
                continue
            found.append(grant)
        return tuple(found)

    def reconcile(self, grant: Grant, listed_ids: frozenset[str]) -> None:
        """Take what the engine says of a doubtful grant."""
        if self._clock.now() <= grant.start_by + ARRIVAL_MS:
            # It was renewed while the engine was read.
            return
        if grant.attempt_id in listed_ids:
            grant.started = True
        elif grant.reservation_id in self._grant_by_id:
            self._drop(grant, 0)

    async def _wait(
        self, ask: ReservationRequest, request: peer_pb2.ReserveRequest
    ) -> peer_pb2.ReserveReply:
        waiter = _Waiter(request)
        self._waiter_by_attempt[ask.attempt_id] = waiter
        left = max(0, ask.work.deadline - self._clock.now())
        answered = False
        try:
            async with asyncio.timeout(seconds(left)):
                reply = await waiter.reply
            answered = True
        except TimeoutError:
            return reservation_messages.encode_refusal(
                Refusal(
                    RefusalReason.DEADLINE,
                    'No memory came free within the time limit; retry later '
                    + 'or allow more.',
                    0,
                )
            )
        finally:
            self._end_wait(ask.attempt_id, waiter, answered=answered)
        return reply

    def _end_wait(
        self, attempt_id: str, waiter: _Waiter, *, answered: bool
    ) -> None:
        if self._waiter_by_attempt.get(attempt_id) is waiter:
            self._waiter_by_attempt.pop(attempt_id)
        if answered:
            return
        # The caller left; a grant that was on its way to it comes back.
        self.ledger.cancel(attempt_id)
        grant = self._grant_by_id.get(
            reservation_id(self.ledger.upstream_id, attempt_id)
        )
        if grant is not None:
            self._drop(grant, 0)

    def _granted(
        self, reservation: Reservation, request: peer_pb2.ReserveRequest
    ) -> peer_pb2.ReserveReply:
        # The clock is read before the lease is checked: a process frozen
        # between the two grants nothing that could still start later.
        now = self._clock.now()
        if not self._holds_lease():
            self.ledger.cancel(reservation.attempt_id)
            return self._not_owner()
        start_by = now + START_TIMEOUT
        grant = self._grant_by_id.setdefault(
            reservation.reservation_id,
            Grant(
                reservation.reservation_id,
                reservation.attempt_id,
                request.node_id,
                request.incarnation,
                start_by,
            ),
        )
        grant.start_by = start_by
        if not request.group:
            self.ledger.mark_started(reservation.reservation_id)
        return peer_pb2.ReserveReply(
            reservation_id=reservation.reservation_id,
            memory_tokens=reservation.memory_tokens,
            priority=reservation.priority,
            start_by_ms=start_by,
            owner_incarnation=self._incarnation,
        )

    def _renew(self, attempt_id: str) -> None:
        """Renew a part of a group, or give it up to another group."""
        grant = self._grant_by_id.get(
            reservation_id(self.ledger.upstream_id, attempt_id)
        )
        if grant is None or grant.started:
            return
        if self.ledger.renew(grant.reservation_id) is None:
            self._grant_by_id.pop(grant.reservation_id)
            self.grant_waiting()

    def _note_started(self, grant: Grant) -> None:
        grant.started = True
        self.ledger.mark_started(grant.reservation_id)

    def _drop(self, grant: Grant, output_tokens: int) -> None:
        self._grant_by_id.pop(grant.reservation_id)
        self.ledger.release(grant.reservation_id, output_tokens)
        self.grant_waiting()

    def _not_owner(self) -> peer_pb2.ReserveReply:
        return reservation_messages.not_owner_reply(
            self._node_id, self.ledger.upstream_id
        )
