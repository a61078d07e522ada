"""Reservations of engine memory, as the callers' side of an entry asks.

The router orders a few engines; the owner of each grants at once or says how
long the wait is; if nobody grants at once, the ask waits at the shortest
queue. An owner that is gone sends the ask to the next engine.
"""

import asyncio
import random
from collections.abc import Sequence
from typing import NamedTuple

from verbenathread.clock import Clock, seconds
from verbenathread.entry import reservation_messages
from verbenathread.entry.engine_owners import EngineOwners
from verbenathread.entry.group_reservations import GroupReservation
from verbenathread.entry.held_reservations import HeldReservations
from verbenathread.entry.hold_outbox import HoldOutbox
from verbenathread.entry.settings_store import SettingsStore
from verbenathread.membership.cell import Cell
from verbenathread.scheduling.candidates import CandidateIterator, reroute_delay
from verbenathread.scheduling.groups import GroupRequest, group_size
from verbenathread.scheduling.messages import EngineReport, ReservationRequest
from verbenathread.scheduling.outliers import OutlierTracker
from verbenathread.scheduling.router import Router
from verbenathread.scheduling.tuning import CURRENT
from verbenathread.schema import peer_pb2
from verbenathread.types import (
    Millis,
    Refusal,
    RefusalReason,
    Reservation,
    UpstreamId,
    UpstreamKind,
    UpstreamRecord,
    Work,
)

# Pause before engines are chosen anew, after no owner could be asked.
_AGAIN_MS = 100
# How long an ask waits for an engine to announce itself.
_NO_ENGINE_MS = 1000
# How long it waits for engines that are there to get an owner: longer than
# the lease of an owner that died and the wait of the next one.
_NO_OWNER_MS = 12_000
_RETRY_AFTER_MS = 2000

# How long the engines with an owner are taken for the same ones; who owns
# them is asked anew each time.
_CANDIDATES_MS = 200

_Outcome = Reservation | Refusal


class _Candidates(NamedTuple):
    """The engines of a service that have an owner, in order."""

    engines: tuple[UpstreamRecord, ...]
    # Memory of the largest one.
    largest_tokens: int
    ready: tuple[UpstreamRecord, ...]
    looked_at: Millis


_NO_CANDIDATES = _Candidates((), 0, (), 0)


class EngineReservations:
    """Reserves memory at the owners of engines; runs on the event loop."""

    def __init__(
        self,
        cell: Cell,
        owners: EngineOwners,
        outbox: HoldOutbox,
        settings_store: SettingsStore,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Hold nothing at first."""
        self.held = HeldReservations()
        self._outliers = OutlierTracker()
        self._cell = cell
        self._owners = owners
        self._outbox = outbox
        self._settings_store = settings_store
        self._clock = clock
        self._rng = rng
        self._router_by_service: dict[str, Router] = {}
        self._candidates_by_service: dict[str, _Candidates] = {}
        self._task_by_request: dict[str, asyncio.Task[_Outcome]] = {}

    async def reserve(self, work: Work, attempt_id: str) -> _Outcome:
        """Wait for memory until the deadline of the work."""
        task = asyncio.create_task(self._reserve(work, attempt_id))
        self._task_by_request[work.request_id] = task
        try:
            await asyncio.wait([task])
        except asyncio.CancelledError:
            task.cancel()
            raise
        finally:
            self._task_by_request.pop(work.request_id, None)
        if task.cancelled():
            return Refusal(RefusalReason.NO_UPSTREAM, 'The caller has gone.', 0)
        outcome = task.result()
        if isinstance(outcome, Reservation):
            self.held.add(outcome, work)
            for upstream_id in outcome.upstream_ids:
                now = self._clock.now()
                self._router(work.service).record_sent(upstream_id, work, now)
                self._outliers.record_sent(upstream_id, now)
        return outcome

    def abandon(self, work: Work) -> None:
        """Stop waiting: the caller has gone."""
        task = self._task_by_request.get(work.request_id)
        if task is not None:
            task.cancel()

    def started(self, reservation: Reservation) -> None:
        """Tell the owners that the engine has taken the attempt."""
        self._tell(reservation, peer_pb2.HoldUpdate(started=True))

    def progress(self, reservation: Reservation, output_tokens: int) -> None:
        """Tell the owners how far the output has come."""
        first = self.held.record_progress(reservation.attempt_id, output_tokens)
        self._tell(
            reservation,
            peer_pb2.HoldUpdate(started=True, output_tokens=output_tokens),
            urgent=first,
        )

    def release(
        self, reservation: Reservation, *, output_tokens: int, failed: bool
    ) -> None:
        """Give the memory back once the engines hold nothing of it."""
        held = self.held.remove(reservation.attempt_id)
        if held is None:
            return
        now = self._clock.now()
        if failed:
            self.held.record_failure(held, now)
        for upstream_id in reservation.upstream_ids:
            self._router(held.work.service).record_done(upstream_id, held.work)
            if failed:
                self._outliers.record_failure(upstream_id, now)
            else:
                self._outliers.record_success(upstream_id)
        self._tell(
            reservation,
            peer_pb2.HoldUpdate(
                released=True, failed=failed, output_tokens=output_tokens
            ),
            urgent=True,
        )

    def note_report(self, report: EngineReport) -> None:
        """Take the load of an engine from its owner."""
        record = self._cell.table.get(report.upstream_id)
        if record is not None:
            router = self._router(record.service)
            router.record_report(report, self._clock.now())

    async def _reserve(self, work: Work, attempt_id: str) -> _Outcome:
        asked_at = self._clock.now()
        while True:
            candidates = self._candidates(work.service)
            outcome = await self._round(work, attempt_id, candidates)
            if outcome is not None:
                return outcome
            now = self._clock.now()
            if candidates.engines:
                # There was an owner to ask, which is gone by now.
                asked_at = now
            patience = _NO_ENGINE_MS
            if self._cell.table.ready(work.service):
                patience = _NO_OWNER_MS
            if now >= min(asked_at + patience, work.deadline):
                return Refusal(
                    RefusalReason.NO_UPSTREAM,
                    f'No engine of {work.service} takes work now; retry later.',
                    _RETRY_AFTER_MS,
                )
            await asyncio.sleep(seconds(_AGAIN_MS))

    async def _round(
        self, work: Work, attempt_id: str, candidates: _Candidates
    ) -> _Outcome | None:
        """Choose and ask once; None if no owner could be asked."""
        engines = candidates.engines
        if not engines:
            return None
        order = self._order(work, engines)
        needed = work.prompt_tokens + work.most_output_tokens
        size = group_size(
            needed,
            candidates.largest_tokens,
            self._settings_store.policy(work.service),
        )
        if size > len(engines):
            return Refusal(
                RefusalReason.TOO_LONG,
                f'The prompt needs {size} engines and {len(engines)} serve '
                + f'{work.service}; split it.',
                0,
            )
        if size > 1:
            members = _members(order, engines, size)
            return await self._group(work, attempt_id, members, needed)
        ask = ReservationRequest(
            work,
            attempt_id,
            self._cell.identity.node_id,
            needed,
            weight=self._weight(work.account),
        )
        return await self._single(ask, order)

    async def _single(
        self, ask: ReservationRequest, order: Sequence[UpstreamId]
    ) -> _Outcome | None:
        refusals: list[peer_pb2.ReserveReply] = []
        walk = CandidateIterator(order, CURRENT.wait_threshold)
        for upstream_id in iter(walk.next, None):
            # One after the other, or two owners would hold memory for it.
            outcome = await self._owners.reserve(  # noqa: WPS476 - see above
                upstream_id, ask, may_queue=False
            )
            if isinstance(outcome, Reservation):
                return outcome
            if outcome.refusal != reservation_messages.QUEUED:
                refusals.append(outcome)
                continue
            wait = outcome.retry_after_ms
            if walk.accepts_wait(upstream_id, wait):
                return await self._wait_at(  # noqa: WPS476 - see above
                    upstream_id, ask, wait
                )
        return _soonest(refusals)

    async def _wait_at(
        self,
        upstream_id: UpstreamId,
        ask: ReservationRequest,
        expected_wait: Millis,
    ) -> _Outcome | None:
        """Wait in one engine's queue; None when it is time to look again."""
        policy = self._settings_store.policy(ask.work.service)
        patience = reroute_delay(ask.work, expected_wait, policy, CURRENT)
        limit = None if patience is None else seconds(patience)
        try:
            async with asyncio.timeout(limit):
                return _final(
                    await self._owners.reserve(upstream_id, ask, may_queue=True)
                )
        except TimeoutError:
            # The cancelled ask leaves the queue of the owner.
            return None

    async def _group(
        self,
        work: Work,
        attempt_id: str,
        members: Sequence[UpstreamId],
        needed: int,
    ) -> _Outcome | None:
        age = self._clock.now() - work.arrival
        claim = GroupRequest(
            work,
            attempt_id,
            self._cell.identity.node_id,
            members,
            needed,
            self._clock.wall() - age,
        )
        try:
            outcome = await GroupReservation(claim, self._owners).reserve()
        except asyncio.CancelledError:
            self._give_back(claim)
            raise
        if isinstance(outcome, peer_pb2.ReserveReply):
            self._give_back(claim)
        return _final(outcome)

    def _give_back(self, claim: GroupRequest) -> None:
        for held in claim.member_reservations():
            self._tell(held, peer_pb2.HoldUpdate(released=True), urgent=True)

    def _tell(
        self,
        reservation: Reservation,
        update: peer_pb2.HoldUpdate,
        *,
        urgent: bool = False,
    ) -> None:
        for upstream_id in reservation.upstream_ids:
            told = peer_pb2.HoldUpdate()
            told.CopyFrom(update)
            told.upstream_id = upstream_id
            told.attempt_id = reservation.attempt_id
            self._outbox.put(told, urgent=urgent)

    def _candidates(self, service: str) -> _Candidates:
        ready = self._cell.table.ready(service)
        known = self._candidates_by_service.get(service, _NO_CANDIDATES)
        now = self._clock.now()
        if known.ready is ready and now - known.looked_at < _CANDIDATES_MS:
            return known
        leases = self._cell.engine_leases
        engines = sorted(
            record
            for record in ready
            if record.kind is UpstreamKind.ENGINE
            and leases.owner(record.upstream_id) is not None
        )
        largest = max((engine.memory_tokens for engine in engines), default=0)
        found = _Candidates(tuple(engines), largest, ready, now)
        self._candidates_by_service[service] = found
        return found

    def _order(
        self, work: Work, engines: Sequence[UpstreamRecord]
    ) -> list[UpstreamId]:
        router = self._router(work.service)
        router.policy = self._settings_store.policy(work.service)
        failed_ids = self.held.failed_engine_ids(work.request_id)
        now = self._clock.now()
        aside_ids = self._outliers.ejected(now)
        for passed_over in (aside_ids.union(failed_ids), failed_ids, ()):
            order = router.choose(work, engines, now, passed_over)
            if order:
                return order
        # Only what failed before is left; it is tried once more.
        return order

    def _router(self, service: str) -> Router:
        if service not in self._router_by_service:
            self._router_by_service[service] = Router(
                self._settings_store.policy(service), self._rng
            )
        return self._router_by_service[service]

    def _weight(self, account: str) -> float:
        settings = self._settings_store.account(account)
        return 1.0 if settings is None else settings.weight


def _members(
    order: Sequence[UpstreamId], engines: Sequence[UpstreamRecord], size: int
) -> list[UpstreamId]:
    """Return the best engines, filled up with others in their order."""
    rest = [
        engine.upstream_id
        for engine in engines
        if engine.upstream_id not in order
    ]
    return [*order, *rest][:size]


def _soonest(refusals: Sequence[peer_pb2.ReserveReply]) -> Refusal | None:
    """Return the refusal that says to come back first; None without one."""
    final = [
        refusal
        for refusal in refusals
        if refusal.refusal != reservation_messages.NOT_OWNER
    ]
    if not final:
        return None
    soonest = min(final, key=lambda refusal: refusal.retry_after_ms)
    return reservation_messages.decode_refusal(soonest)


def _final(outcome: Reservation | peer_pb2.ReserveReply) -> _Outcome | None:
    if isinstance(outcome, Reservation):
        return outcome
    if outcome.refusal == reservation_messages.NOT_OWNER:
        return None
    return reservation_messages.decode_refusal(outcome)
