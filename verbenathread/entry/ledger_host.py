"""Ledgers of the engines whose leases this entry holds.

A new owner first waits until no attempt that the previous owner granted can
still reach the engine. Then it reads what the engine holds, and only then does
it grant memory. An engine that can't be read stays without an owner: it
couldn't serve requests either.
"""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Protocol

from verbenathread.clock import Clock, seconds
from verbenathread.entry import reservation_messages
from verbenathread.entry.owned_engine import LISTING_DELAY_MS, OwnedEngine
from verbenathread.exceptions import UnavailableError
from verbenathread.membership.cell import Cell
from verbenathread.membership.engine_leases import safe_wait
from verbenathread.observability.logs import get_logger
from verbenathread.scheduling.ledger import START_TIMEOUT, EngineLedger
from verbenathread.scheduling.messages import EngineHold, EngineReport
from verbenathread.schema import peer_pb2, settings_pb2
from verbenathread.types import Millis, NodeId, UpstreamId, UpstreamRecord

# How often the leases and queues are checked.
_POLL_INTERVAL_MS = 100
# How often unconfirmed grants are compared with what the engine lists.
_RECONCILE_INTERVAL_MS = 1000
# Timeout for an engine to list what it holds.
_READ_TIMEOUT_MS = 1000
_READ_RETRY_MS = 500

_log = get_logger('owner')


class HoldReader(Protocol):
    """Reads what an engine holds."""

    async def holds(
        self, record: UpstreamRecord, timeout: Millis
    ) -> Sequence[EngineHold]:
        """Return the attempts for which the engine holds memory.

        Raises :class:`UnavailableError` when it can't be read in time.
        """


class HoldingsSource(Protocol):
    """Queries all entries for their reservations at an engine."""

    async def __call__(
        self, upstream_id: UpstreamId
    ) -> Sequence[peer_pb2.Holding]:
        """Return the holdings of the entries that reply in time."""


class LedgerHost:
    """Opens a ledger for each leased engine and serves reservations."""

    def __init__(
        self,
        cell: Cell,
        reader: HoldReader,
        policy_of: Callable[[str], settings_pb2.PolicySettings],
        holdings_at: HoldingsSource,
        clock: Clock,
    ) -> None:
        """Own no engine before :meth:`start`."""
        self._cell = cell
        self._reader = reader
        self._policy_of = policy_of
        self._holdings_at = holdings_at
        self._clock = clock
        self._engine_by_id: dict[UpstreamId, OwnedEngine] = {}
        self._term_by_id: dict[UpstreamId, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Start to watch the leases and to reconcile unconfirmed grants."""
        self._spawn(self._watch_leases())
        self._spawn(self._reconcile())

    async def close(self) -> None:
        """Refuse all waiters and cancel all tasks."""
        for upstream_id in tuple(self._term_by_id):
            self._close_engine(upstream_id)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def owned_ids(self) -> tuple[UpstreamId, ...]:
        """Return the engines whose memory this entry grants now."""
        return tuple(self._engine_by_id)

    def engine(self, upstream_id: UpstreamId) -> OwnedEngine | None:
        """Return an engine owned by this entry, or None."""
        return self._engine_by_id.get(upstream_id)

    async def reserve(
        self, request: peer_pb2.ReserveRequest
    ) -> peer_pb2.ReserveReply:
        """Handle a reservation request from this entry or a peer."""
        engine = self.engine(request.upstream_id)
        if engine is None:
            return reservation_messages.not_owner_reply(
                self._cell.identity.node_id, request.upstream_id
            )
        return await engine.reserve(request)

    def update(self, update: peer_pb2.HoldUpdate) -> bool:
        """Apply progress or a release; False if the engine is not owned."""
        engine = self.engine(update.upstream_id)
        if engine is None:
            return False
        engine.update(update)
        return True

    def reports(self) -> tuple[EngineReport, ...]:
        """Return the load of every engine owned by this entry."""
        return tuple(
            engine.ledger.report() for engine in self._engine_by_id.values()
        )

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _watch_leases(self) -> None:
        while True:
            self._update_terms()
            for engine in tuple(self._engine_by_id.values()):
                engine.grant_waiting()
            await asyncio.sleep(seconds(_POLL_INTERVAL_MS))

    def _update_terms(self) -> None:
        term_by_id = self._cell.engine_leases.held_terms()
        for owned_id, owned_term in tuple(self._term_by_id.items()):
            if term_by_id.get(owned_id) != owned_term:
                self._close_engine(owned_id)
        for engine_id, term in term_by_id.items():
            if engine_id not in self._term_by_id:
                self._term_by_id[engine_id] = term
                self._spawn(self._take_over(engine_id, term))

    def _close_engine(self, upstream_id: UpstreamId) -> None:
        self._term_by_id.pop(upstream_id)
        engine = self._engine_by_id.pop(upstream_id, None)
        if engine is not None:
            engine.close()
            _log.info('Engine lease ended.', engine=upstream_id)

    async def _take_over(self, upstream_id: UpstreamId, term: int) -> None:
        await asyncio.sleep(
            seconds(safe_wait(START_TIMEOUT) + LISTING_DELAY_MS)
        )
        while self._term_by_id.get(upstream_id) == term:
            record = self._cell.table.get(upstream_id)
            if record is None:
                return
            try:
                holds = await self._read(record)
            except UnavailableError as error:
                _log.info('Could not read the engine state.', why=str(error))
                await asyncio.sleep(seconds(_READ_RETRY_MS))
                continue
            if self._term_by_id.get(upstream_id) == term:
                self._open_engine(record, holds, term)
            return

    async def _read(self, record: UpstreamRecord) -> tuple[EngineHold, ...]:
        """Return what the engine holds, completed by what entries reserved."""
        holdings = await self._holdings_at(record.upstream_id)
        holding_by_attempt = {
            holding.attempt_id: holding for holding in holdings
        }
        # The engine is read last, so attempts that ended meanwhile are left
        # out.
        listed = await self._reader.holds(record, _READ_TIMEOUT_MS)
        return tuple(
            _completed(hold, holding_by_attempt.get(hold.attempt_id))
            for hold in listed
        )

    def _open_engine(
        self,
        record: UpstreamRecord,
        holds: tuple[EngineHold, ...],
        term: int,
    ) -> None:
        leases = self._cell.engine_leases
        upstream_id = record.upstream_id
        engine = OwnedEngine(
            EngineLedger(
                upstream_id,
                record.memory_tokens,
                self._policy_of(record.service),
                self._clock,
            ),
            lambda: leases.term(upstream_id) == term,
            self._clock,
            node_id=self._cell.identity.node_id,
            incarnation=self._cell.identity.incarnation,
        )
        engine.restore(holds)
        self._engine_by_id[upstream_id] = engine
        _log.info('Engine taken over.', engine=upstream_id, holds=len(holds))

    async def _reconcile(self) -> None:
        while True:
            await asyncio.sleep(seconds(_RECONCILE_INTERVAL_MS))
            await asyncio.gather(
                *[
                    self._reconcile_one(upstream_id, engine)
                    for upstream_id, engine in self._engine_by_id.items()
                ]
            )

    async def _reconcile_one(
        self, upstream_id: UpstreamId, engine: OwnedEngine
    ) -> None:
        record = self._cell.table.get(upstream_id)
        if record is None:
            return
        engine.ledger.policy = self._policy_of(record.service)
        unconfirmed = engine.unconfirmed_grants(self._is_alive)
        if not unconfirmed:
            return
        try:
            listed = await self._reader.holds(record, _READ_TIMEOUT_MS)
        except UnavailableError:
            # An unreadable engine may still hold the memory.
            return
        listed_ids = frozenset(hold.attempt_id for hold in listed)
        for grant in unconfirmed:
            engine.reconcile(grant, listed_ids)

    def _is_alive(self, entry_id: NodeId, incarnation: int) -> bool:
        identity = self._cell.identity
        if entry_id == identity.node_id:
            return incarnation in {0, identity.incarnation}
        view = self._cell.views.by_id.get(entry_id)
        if view is None or not view.is_alive(self._clock.now()):
            return False
        return incarnation in {0, view.incarnation}


def _completed(
    hold: EngineHold, holding: peer_pb2.Holding | None
) -> EngineHold:
    """Return a hold completed by what its entry reserved for it.

    The larger of both memory sizes counts.
    """
    if holding is None:
        return hold
    return hold._replace(
        memory_tokens=max(hold.memory_tokens, holding.memory_tokens),
        prompt_tokens=holding.prompt_tokens,
        output_tokens=holding.output_tokens,
    )
