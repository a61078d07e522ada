"""Cancels failed attempts until their engines confirm it.

A cancel can be lost like any message, so it is repeated until the attempt's
engines report that they hold no memory for it, or are gone; only then is the
reservation released. Attempts that earlier incarnations of this entry left
behind are found by listing the holds of engines, and cancelled too.
"""

import heapq
import itertools
from collections.abc import Callable
from typing import NamedTuple

from verbenathread.clock import Clock, seconds
from verbenathread.entry.engine_client import EngineClient, Owner
from verbenathread.entry.engine_errors import (
    EngineBrokenError,
    EngineNotRunError,
    EngineRejectedError,
)
from verbenathread.entry.interfaces import Reservations, Upstreams
from verbenathread.entry.retry_thread import RetryThread
from verbenathread.observability.logs import get_logger
from verbenathread.types import (
    Millis,
    Reservation,
    UpstreamRecord,
    UpstreamState,
)

_CANCEL_TIMEOUT_MS = 1000
_INITIAL_BACKOFF_MS = 20
_MAX_BACKOFF_MS = 2000
# Time without further cancels to an engine that did not answer one.
_UNRESPONSIVE_PAUSE_MS = 1000
_FIRST_RECONCILE_MS = 1000
_RECONCILE_INTERVAL_MS = 10_000
_IDLE_WAIT_MS = 500
_ENGINE_ERRORS = (EngineBrokenError, EngineNotRunError, EngineRejectedError)

_log = get_logger('reaper')


class _PendingCancel(NamedTuple):
    due: Millis
    # Breaks ties, so that the heap does not compare reservations.
    sequence: int
    reservation: Reservation
    engines: tuple[UpstreamRecord, ...]
    output_tokens: int
    backoff: Millis


class Reaper(RetryThread):
    """Thread that cancels failed and orphaned attempts.

    Cancels that are still pending after a stop are left to the next
    incarnation of this entry. The engine's owner releases the memory once the
    engine no longer lists the attempts.
    """

    def __init__(
        self,
        client: EngineClient,
        reservations: Reservations,
        upstreams: Upstreams,
        owner: Owner,
        clock: Clock,
        known_engines: Callable[[], tuple[UpstreamRecord, ...]] = tuple,
    ) -> None:
        """Create the reaper; :meth:`start` starts its thread.

        ``known_engines`` returns the engines that an earlier incarnation of
        this node may have used; those used since are tracked here.
        """
        self._known_engines = known_engines
        super().__init__('reaper', clock)
        self._client = client
        self._reservations = reservations
        self._upstreams = upstreams
        self._owner = owner
        self._pending: list[_PendingCancel] = []
        self._sequence = itertools.count()
        self._live_attempts: set[str] = set()
        self._engine_by_id: dict[str, UpstreamRecord] = {}
        self._paused_until_by_id: dict[str, Millis] = {}
        self._next_reconcile: Millis = clock.now() + _FIRST_RECONCILE_MS

    def track(self, attempt_id: str, engine: UpstreamRecord) -> None:
        """Record an attempt as live, before it is sent."""
        with self._changed:
            self._live_attempts.add(attempt_id)
            self._engine_by_id[engine.upstream_id] = engine

    def untrack(self, attempt_id: str) -> None:
        """Record that an attempt ended cleanly."""
        with self._changed:
            self._live_attempts.discard(attempt_id)

    def cancel(
        self,
        reservation: Reservation,
        engines: tuple[UpstreamRecord, ...],
        output_tokens: int,
    ) -> None:
        """Schedule cancels until confirmed, then release the reservation."""
        with self._changed:
            self._push(
                _PendingCancel(
                    self._clock.now(),
                    next(self._sequence),
                    reservation,
                    engines,
                    output_tokens,
                    _INITIAL_BACKOFF_MS,
                )
            )
            self._changed.notify_all()

    def reconcile(self, engine: UpstreamRecord) -> int:
        """Cancel the orphaned holds of this node on an engine.

        Returns the number of holds found.
        """
        found = 0
        for hold in self._client.holds(engine.address, _CANCEL_TIMEOUT_MS):
            if hold.owner.node_id != self._owner.node_id:
                continue
            if self._is_live(hold.attempt_id, hold.owner.incarnation):
                continue
            found += 1
            self._client.cancel(
                engine.address, hold.attempt_id, _CANCEL_TIMEOUT_MS
            )
        return found

    def _is_live(self, attempt_id: str, incarnation: int) -> bool:
        if incarnation > self._owner.incarnation:
            # This process was replaced; its successor decides on the hold.
            return True
        if incarnation < self._owner.incarnation:
            return False
        with self._changed:
            return attempt_id in self._live_attempts

    def _run(self) -> None:
        while True:
            with self._changed:
                if self._stopping:
                    return
                cancel = self._next_due_cancel()
            if cancel is not None:
                self._try_cancel(cancel)
            self._reconcile_when_due()

    def _next_due_cancel(self) -> _PendingCancel | None:
        wait = _IDLE_WAIT_MS
        if self._pending:
            wait = min(wait, self._pending[0].due - self._clock.now())
        if wait > 0:
            self._changed.wait(seconds(wait))
        if self._pending and self._pending[0].due <= self._clock.now():
            # It stays pending until it is confirmed.
            return self._pending[0]
        return None

    def _try_cancel(self, cancel: _PendingCancel) -> None:
        try:
            confirmed = all(
                self._is_cancelled(cancel, engine) for engine in cancel.engines
            )
        except Exception:
            _log.exception('A cancel failed.', attempt=_attempt_id(cancel))
            confirmed = False
        if confirmed:
            self._reservations.release(
                cancel.reservation,
                output_tokens=cancel.output_tokens,
                failed=True,
            )
        with self._changed:
            self._pending.remove(cancel)
            heapq.heapify(self._pending)
            if confirmed:
                self._live_attempts.discard(_attempt_id(cancel))
            else:
                backoff = min(cancel.backoff * 2, _MAX_BACKOFF_MS)
                due = self._clock.now() + cancel.backoff
                self._push(cancel._replace(due=due, backoff=backoff))
            self._changed.notify_all()

    def _push(self, cancel: _PendingCancel) -> None:
        heapq.heappush(self._pending, cancel)

    def _is_cancelled(
        self, cancel: _PendingCancel, engine: UpstreamRecord
    ) -> bool:
        paused_until = self._paused_until_by_id.get(engine.upstream_id, 0)
        if self._clock.now() < paused_until:
            return self._is_gone(engine)
        try:
            holds = self._client.cancel(
                engine.address, _attempt_id(cancel), _CANCEL_TIMEOUT_MS
            )
        except _ENGINE_ERRORS:
            # Pause its cancels, so that those of other engines are not delayed.
            paused_until = self._clock.now() + _UNRESPONSIVE_PAUSE_MS
            self._paused_until_by_id[engine.upstream_id] = paused_until
            return self._is_gone(engine)
        return not holds

    def _is_gone(self, engine: UpstreamRecord) -> bool:
        """Return whether the engine, and so its memory, is gone."""
        known = self._upstreams.get(engine.upstream_id)
        if known is None or known.state == UpstreamState.GONE:
            return True
        return known.incarnation > engine.incarnation

    def _reconcile_when_due(self) -> None:
        now = self._clock.now()
        if now < self._next_reconcile:
            return
        self._next_reconcile = now + _RECONCILE_INTERVAL_MS
        with self._changed:
            engine_by_id = dict(self._engine_by_id)
        for engine in self._known_engines():
            engine_by_id[engine.upstream_id] = engine
        for engine in engine_by_id.values():
            self._reconcile_one(engine)

    def _reconcile_one(self, engine: UpstreamRecord) -> None:
        if self._is_gone(engine):
            with self._changed:
                self._engine_by_id.pop(engine.upstream_id, None)
            return
        try:
            found = self.reconcile(engine)
        except _ENGINE_ERRORS:
            return
        if found:
            _log.warning(
                'Cancelled orphaned holds.',
                engine=engine.upstream_id,
                holds=found,
            )


def _attempt_id(cancel: _PendingCancel) -> str:
    return cancel.reservation.attempt_id
