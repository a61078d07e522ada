"""Reserves engine memory for the requests that this entry serves.

The router orders a few candidate engines. The owner of each one grants the
memory at once or replies with the expected wait. If none grants at once, the
request waits in the queue with the shortest wait. If an owner has gone, the
next engine is tried.
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

# Pause before engines are chosen again.
_ROUND_PAUSE_MS = 100
# How long a request waits for an engine to announce itself.
_NO_ENGINE_TIMEOUT_MS = 1000
# How long it waits for announced engines to get an owner: longer than the
# lease of an owner that died plus the takeover delay of the next one.
_NO_OWNER_TIMEOUT_MS = 12_000
_RETRY_AFTER_MS = 2000

# Lifetime of the cached list of engines that have an owner. The owners
# themselves are not cached but looked up for each call.
_CANDIDATES_TTL_MS = 200

_Outcome = Reservation | Refusal


class _Candidates(NamedTuple):
    """The engines of a service that have an owner, sorted."""

    engines: tuple[UpstreamRecord, ...]
    # Memory of the largest engine.
    largest_tokens: int
    # The ready upstreams from which ``engines`` was computed.
    ready: tuple[UpstreamRecord, ...]
    computed_at: Millis


_NO_CANDIDATES = _Candidates((), 0, (), 0)


class EngineReservations:
    """Reserves memory with the owners of engines; runs on the event loop."""

    def __init__(
        self,
        cell: Cell,
        owners: EngineOwners,
        outbox: HoldOutbox,
        settings_store: SettingsStore,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Start with no reservations."""
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
        """Wait for memory until the deadline of ``work``."""
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
            return Refusal(
                RefusalReason.NO_UPSTREAM, 'The caller disconnected.', 0
            )
        outcome = task.result()
        if isinstance(outcome, Reservation):
            self.held.add(outcome, work)
            for upstream_id in outcome.upstream_ids:
                now = self._clock.now()
                self._router(work.service).record_sent(upstream_id, work, now)
                self._outliers.record_sent(upstream_id, now)
        return outcome

    def abandon(self, work: Work) -> None:
        """Cancel a pending reservation because the caller disconnected."""
        task = self._task_by_request.get(work.request_id)
        if task is not None:
            task.cancel()

    def report_started(self, reservation: Reservation) -> None:
        """Report to the owners that the attempt was sent to the engine."""
        self._send_update(reservation, peer_pb2.HoldUpdate(started=True))

    def report_progress(
        self, reservation: Reservation, output_tokens: int
    ) -> None:
        """Report the output tokens generated so far to the owners."""
        first = self.held.record_progress(reservation.attempt_id, output_tokens)
        self._send_update(
            reservation,
            peer_pb2.HoldUpdate(started=True, output_tokens=output_tokens),
            urgent=first,
        )

    def release(
        self, reservation: Reservation, *, output_tokens: int, failed: bool
    ) -> None:
        """Release the memory; the engines must no longer hold any of it."""
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
        self._send_update(
            reservation,
            peer_pb2.HoldUpdate(
                released=True, failed=failed, output_tokens=output_tokens
            ),
            urgent=True,
        )

    def record_report(self, report: EngineReport) -> None:
        """Pass an owner's load report to the router."""
        record = self._cell.table.get(report.upstream_id)
        if record is not None:
            router = self._router(record.service)
            router.record_report(report, self._clock.now())

    async def _reserve(self, work: Work, attempt_id: str) -> _Outcome:
        waiting_since = self._clock.now()
        while True:
            candidates = self._candidates(work.service)
            outcome = await self._try_candidates(work, attempt_id, candidates)
            if outcome is not None:
                return outcome
            now = self._clock.now()
            if candidates.engines:
                # An owner was found, so the wait for one starts again.
                waiting_since = now
            timeout = _NO_ENGINE_TIMEOUT_MS
            if self._cell.table.ready(work.service):
                timeout = _NO_OWNER_TIMEOUT_MS
            if now >= min(waiting_since + timeout, work.deadline):
                return Refusal(
                    RefusalReason.NO_UPSTREAM,
                    f'No engine of {work.service} accepts requests now; retry '
                    + 'later.',
                    _RETRY_AFTER_MS,
                )
            await asyncio.sleep(seconds(_ROUND_PAUSE_MS))

    async def _try_candidates(
        self, work: Work, attempt_id: str, candidates: _Candidates
    ) -> _Outcome | None:
        """Choose engines and try them once.

        Returns None if no owner was reached or engines must be chosen again.
        """
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
            return await self._reserve_group(work, attempt_id, members, needed)
        request = ReservationRequest(
            work,
            attempt_id,
            self._cell.identity.node_id,
            needed,
            weight=self._weight(work.account),
        )
        return await self._reserve_single(request, order)

    async def _reserve_single(
        self, request: ReservationRequest, order: Sequence[UpstreamId]
    ) -> _Outcome | None:
        refusals: list[peer_pb2.ReserveReply] = []
        candidates = CandidateIterator(order, CURRENT.wait_threshold)
        for upstream_id in iter(candidates.next, None):
            # Sequential: in parallel, two owners could grant it memory.
            outcome = await self._owners.reserve(  # noqa: WPS476 - see above
                upstream_id, request, may_queue=False
            )
            if isinstance(outcome, Reservation):
                return outcome
            if outcome.refusal != reservation_messages.QUEUED:
                refusals.append(outcome)
                continue
            wait = outcome.retry_after_ms
            if candidates.accepts_wait(upstream_id, wait):
                return await self._wait_in_queue(  # noqa: WPS476 - see above
                    upstream_id, request, wait
                )
        return _soonest_retry(refusals)

    async def _wait_in_queue(
        self,
        upstream_id: UpstreamId,
        request: ReservationRequest,
        expected_wait: Millis,
    ) -> _Outcome | None:
        """Wait in one engine's queue; None to choose engines again."""
        policy = self._settings_store.policy(request.work.service)
        timeout = reroute_delay(request.work, expected_wait, policy, CURRENT)
        limit = None if timeout is None else seconds(timeout)
        try:
            async with asyncio.timeout(limit):
                return _outcome_of(
                    await self._owners.reserve(
                        upstream_id, request, may_queue=True
                    )
                )
        except TimeoutError:
            # The cancelled call removes the request from the owner's queue.
            return None

    async def _reserve_group(
        self,
        work: Work,
        attempt_id: str,
        members: Sequence[UpstreamId],
        needed: int,
    ) -> _Outcome | None:
        age = self._clock.now() - work.arrival
        group = GroupRequest(
            work,
            attempt_id,
            self._cell.identity.node_id,
            members,
            needed,
            self._clock.wall() - age,
        )
        try:
            outcome = await GroupReservation(group, self._owners).reserve()
        except asyncio.CancelledError:
            self._release_group(group)
            raise
        if isinstance(outcome, peer_pb2.ReserveReply):
            self._release_group(group)
        return _outcome_of(outcome)

    def _release_group(self, group: GroupRequest) -> None:
        for held in group.member_reservations():
            self._send_update(
                held, peer_pb2.HoldUpdate(released=True), urgent=True
            )

    def _send_update(
        self,
        reservation: Reservation,
        update: peer_pb2.HoldUpdate,
        *,
        urgent: bool = False,
    ) -> None:
        for upstream_id in reservation.upstream_ids:
            engine_update = peer_pb2.HoldUpdate()
            engine_update.CopyFrom(update)
            engine_update.upstream_id = upstream_id
            engine_update.attempt_id = reservation.attempt_id
            self._outbox.put(engine_update, urgent=urgent)

    def _candidates(self, service: str) -> _Candidates:
        ready = self._cell.table.ready(service)
        cached = self._candidates_by_service.get(service, _NO_CANDIDATES)
        now = self._clock.now()
        if (
            cached.ready is ready
            and now - cached.computed_at < _CANDIDATES_TTL_MS
        ):
            return cached
        leases = self._cell.engine_leases
        engines = sorted(
            record
            for record in ready
            if record.kind is UpstreamKind.ENGINE
            and leases.owner(record.upstream_id) is not None
        )
        largest = max((engine.memory_tokens for engine in engines), default=0)
        candidates = _Candidates(tuple(engines), largest, ready, now)
        self._candidates_by_service[service] = candidates
        return candidates

    def _order(
        self, work: Work, engines: Sequence[UpstreamRecord]
    ) -> list[UpstreamId]:
        router = self._router(work.service)
        router.policy = self._settings_store.policy(work.service)
        failed_ids = self.held.failed_engine_ids(work.request_id)
        now = self._clock.now()
        ejected_ids = self._outliers.ejected(now)
        # If every engine is ejected or has failed this request, try those
        # anyway: first the ejected ones, then the failed ones.
        for excluded_ids in (ejected_ids.union(failed_ids), failed_ids, ()):
            order = router.choose(work, engines, now, excluded_ids)
            if order:
                return order
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
    """Return the ordered engines, filled up with the remaining ones."""
    rest = [
        engine.upstream_id
        for engine in engines
        if engine.upstream_id not in order
    ]
    return [*order, *rest][:size]


def _soonest_retry(
    refusals: Sequence[peer_pb2.ReserveReply],
) -> Refusal | None:
    """Return the refusal with the shortest retry delay, or None."""
    from_owners = [
        refusal
        for refusal in refusals
        if refusal.refusal != reservation_messages.NOT_OWNER
    ]
    if not from_owners:
        return None
    soonest = min(from_owners, key=lambda refusal: refusal.retry_after_ms)
    return reservation_messages.decode_refusal(soonest)


def _outcome_of(
    outcome: Reservation | peer_pb2.ReserveReply,
) -> _Outcome | None:
    """Return a reservation or refusal; None if the peer isn't the owner."""
    if isinstance(outcome, Reservation):
        return outcome
    if outcome.refusal == reservation_messages.NOT_OWNER:
        return None
    return reservation_messages.decode_refusal(outcome)
