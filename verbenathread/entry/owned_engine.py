"""One engine whose memory this entry owns: its ledger, grants and waiters.

The ledger marks a grant as started at once, except for a part of a group, which
may yield to another group until the whole group is reserved. Memory of a grant
becomes free only when the entry that requested it releases it, or when the
engine does not list the attempt, which is checked only after the attempt's
start_by has passed. So a lost message never causes the same memory to be
granted twice.
"""

import asyncio
from collections.abc import Callable, Iterable

from verbenathread.clock import Clock, seconds
from verbenathread.entry import reservation_messages
from verbenathread.scheduling.holds import make_reservation_id
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

# Time that an engine may take to list an attempt that reached it in time.
LISTING_DELAY_MS = 500


class Grant:
    """Memory granted to one attempt of one entry."""

    def __init__(
        self,
        reservation_id: str,
        attempt_id: str,
        entry_id: NodeId,
        incarnation: int,
        start_by: Millis,
    ) -> None:
        """Start as not yet confirmed to have reached the engine."""
        self.reservation_id = reservation_id
        self.attempt_id = attempt_id
        self.entry_id = entry_id
        # 0 if the incarnation of the requesting entry is unknown.
        self.incarnation = incarnation
        self.start_by = start_by
        # Reported as started by the entry, or listed by the engine.
        self.confirmed = False


class _Waiter:
    """A queued request and the future of its reply."""

    def __init__(self, message: peer_pb2.ReserveRequest) -> None:
        self.message = message
        loop = asyncio.get_running_loop()
        self.reply: asyncio.Future[peer_pb2.ReserveReply] = loop.create_future()


class OwnedEngine:
    """Grants the memory of one engine while its lease is held."""

    def __init__(
        self,
        ledger: EngineLedger,
        holds_lease: Callable[[], bool],
        clock: Clock,
        *,
        node_id: NodeId,
        incarnation: int,
    ) -> None:
        """Start without grants; ``ledger`` accounts for the memory."""
        self.ledger = ledger
        self._holds_lease = holds_lease
        self._clock = clock
        self._node_id = node_id
        self._incarnation = incarnation
        self._grant_by_id: dict[str, Grant] = {}
        self._waiter_by_attempt: dict[str, _Waiter] = {}

    def restore(self, holds: Iterable[EngineHold]) -> None:
        """Restore the grants of a previous owner from the engine's list."""
        listed = tuple(holds)
        self.ledger.restore(listed)
        for hold in listed:
            grant = Grant(
                make_reservation_id(self.ledger.upstream_id, hold.attempt_id),
                hold.attempt_id,
                hold.entry_id,
                0,
                self._clock.now(),
            )
            grant.confirmed = True
            self._grant_by_id[grant.reservation_id] = grant

    async def reserve(
        self, message: peer_pb2.ReserveRequest
    ) -> peer_pb2.ReserveReply:
        """Grant, refuse, or queue the request until the call ends."""
        if not self._holds_lease():
            return self._not_owner()
        request = reservation_messages.decode_request(message, self._clock)
        if request.group:
            self._renew(request.attempt_id)
        outcome = self.ledger.reserve(request)
        self.grant_waiting()
        if isinstance(outcome, Reservation):
            return self._grant(outcome, message)
        if isinstance(outcome, Refusal):
            return reservation_messages.encode_refusal(outcome)
        if not message.may_queue:
            self.ledger.cancel(request.attempt_id)
            return peer_pb2.ReserveReply(
                refusal=reservation_messages.QUEUED,
                message='The engine has no free memory now.',
                retry_after_ms=max(1, outcome.expected_wait),
            )
        return await self._wait(request, message)

    def update(self, update: peer_pb2.HoldUpdate) -> None:
        """Apply progress or a release from the entry that holds a grant."""
        grant = self._grant_by_id.get(
            make_reservation_id(self.ledger.upstream_id, update.attempt_id)
        )
        if grant is None:
            return
        if update.started:
            self._mark_started(grant)
        if update.released:
            self._drop(grant, update.output_tokens)
        elif update.output_tokens:
            self._mark_started(grant)
            self.ledger.record_progress(
                grant.reservation_id, update.output_tokens
            )

    def grant_waiting(self) -> None:
        """Reply to the waiters whose requests now fit into free memory."""
        if not self._waiter_by_attempt or not self._holds_lease():
            return
        for reservation in self.ledger.take_grants():
            waiter = self._waiter_by_attempt.get(reservation.attempt_id)
            if waiter is None or waiter.reply.done():
                self.ledger.cancel(reservation.attempt_id)
                continue
            waiter.reply.set_result(self._grant(reservation, waiter.message))

    def close(self) -> None:
        """Refuse all waiters because the lease is lost."""
        for waiter in self._waiter_by_attempt.values():
            if not waiter.reply.done():
                waiter.reply.set_result(self._not_owner())

    def unconfirmed_grants(
        self, is_alive: Callable[[NodeId, int], bool]
    ) -> tuple[Grant, ...]:
        """Return the grants that must be compared with the engine's list.

        Their attempts were never reported as started, or their entry is dead
        or restarted, and no attempt can reach the engine any more.
        """
        now = self._clock.now()
        unconfirmed = []
        for grant in self._grant_by_id.values():
            if now <= grant.start_by + LISTING_DELAY_MS:
                continue
            # It may be running: the ledger must not let it expire or yield.
            self.ledger.mark_started(grant.reservation_id)
            if grant.confirmed and is_alive(grant.entry_id, grant.incarnation):
                continue
            unconfirmed.append(grant)
        return tuple(unconfirmed)

    def reconcile(self, grant: Grant, listed_ids: frozenset[str]) -> None:
        """Keep or release an unconfirmed grant by what the engine lists."""
        if self._clock.now() <= grant.start_by + LISTING_DELAY_MS:
            # The grant was renewed while the engine was read.
            return
        if grant.attempt_id in listed_ids:
            grant.confirmed = True
        elif grant.reservation_id in self._grant_by_id:
            self._drop(grant, 0)

    async def _wait(
        self, request: ReservationRequest, message: peer_pb2.ReserveRequest
    ) -> peer_pb2.ReserveReply:
        waiter = _Waiter(message)
        self._waiter_by_attempt[request.attempt_id] = waiter
        remaining = max(0, request.work.deadline - self._clock.now())
        answered = False
        try:
            async with asyncio.timeout(seconds(remaining)):
                reply = await waiter.reply
            answered = True
        except TimeoutError:
            return reservation_messages.encode_refusal(
                Refusal(
                    RefusalReason.DEADLINE,
                    'No memory became free within the time limit; retry later '
                    + 'or with a longer limit.',
                    0,
                )
            )
        finally:
            self._end_wait(request.attempt_id, waiter, answered=answered)
        return reply

    def _end_wait(
        self, attempt_id: str, waiter: _Waiter, *, answered: bool
    ) -> None:
        if self._waiter_by_attempt.get(attempt_id) is waiter:
            self._waiter_by_attempt.pop(attempt_id)
        if answered:
            return
        # The wait timed out or was cancelled; release a grant made in the
        # meantime.
        self.ledger.cancel(attempt_id)
        grant = self._grant_by_id.get(
            make_reservation_id(self.ledger.upstream_id, attempt_id)
        )
        if grant is not None:
            self._drop(grant, 0)

    def _grant(
        self, reservation: Reservation, message: peer_pb2.ReserveRequest
    ) -> peer_pb2.ReserveReply:
        # Read the clock before checking the lease: if the process is
        # suspended in between, start_by still counts from the earlier time,
        # so the grant can't be used to start an attempt later.
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
                message.node_id,
                message.incarnation,
                start_by,
            ),
        )
        grant.start_by = start_by
        if not message.group:
            self.ledger.mark_started(reservation.reservation_id)
        return peer_pb2.ReserveReply(
            reservation_id=reservation.reservation_id,
            memory_tokens=reservation.memory_tokens,
            priority=reservation.priority,
            start_by_ms=start_by,
            owner_incarnation=self._incarnation,
        )

    def _renew(self, attempt_id: str) -> None:
        """Renew a grant of a group, or yield it to another group."""
        grant = self._grant_by_id.get(
            make_reservation_id(self.ledger.upstream_id, attempt_id)
        )
        if grant is None or grant.confirmed:
            return
        if self.ledger.renew(grant.reservation_id) is None:
            self._grant_by_id.pop(grant.reservation_id)
            self.grant_waiting()

    def _mark_started(self, grant: Grant) -> None:
        grant.confirmed = True
        self.ledger.mark_started(grant.reservation_id)

    def _drop(self, grant: Grant, output_tokens: int) -> None:
        self._grant_by_id.pop(grant.reservation_id)
        self.ledger.release(grant.reservation_id, output_tokens)
        self.grant_waiting()

    def _not_owner(self) -> peer_pb2.ReserveReply:
        return reservation_messages.not_owner_reply(
            self._node_id, self.ledger.upstream_id
        )
