"""Simulated gossip: delayed state of the engines and the other entries."""

import random
from collections.abc import Sequence

from verbenathread.replay.entry import Entry
from verbenathread.replay.fleet import Fleet
from verbenathread.scheduling.limits import AccountUsage
from verbenathread.scheduling.messages import EngineReport
from verbenathread.scheduling.prefixes import CacheEvent, PrefixIndex
from verbenathread.types import Millis, NodeId, UpstreamId

_INTERVAL: Millis = 1000
_DELAY: Millis = 1000
# Share of the cache events that are lost.
_EVENT_LOSS_SHARE = 0.02


class Gossip:
    """Spreads load reports, account usage and cache events.

    Each owner sends every ``_INTERVAL`` ms, with a delay of ``_DELAY`` ms.
    """

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        """Create the gossip of ``fleet``; ``rng`` draws the lost events."""
        self.prefixes_by_entry: dict[NodeId, PrefixIndex] = {}
        self._fleet = fleet
        self._rng = rng
        self._outage: tuple[Millis, Millis] = (0, 0)
        self._sequence: int = 0

    def start(self, end: Millis, outage: tuple[Millis, Millis]) -> None:
        """Schedule rounds up to ``end``; none is delivered in ``outage``."""
        self._outage = outage
        owners = sorted(self._fleet.owner_by_id)
        for position, owner_id in enumerate(owners):
            # Rounds of different entries are staggered.
            offset = _INTERVAL * position // len(owners)
            for time in range(offset, end, _INTERVAL):
                self._fleet.loop.call_at(time, self._send_round, owner_id)

    def _send_round(self, owner_id: NodeId) -> None:
        owner = self._fleet.owner_by_id[owner_id]
        entry = self._fleet.entry_by_id[owner_id]
        if not entry.alive:
            return
        limiter = entry.components.admission.limiter
        reports = [ledger.report() for ledger in owner.ledger_by_id.values()]
        events = []
        if self.prefixes_by_entry:
            for upstream_id in owner.ledger_by_id:
                events.append((upstream_id, self._cache_event(upstream_id)))
        self._fleet.loop.call_later(
            _DELAY,
            self._deliver,
            owner_id,
            reports,
            limiter.usage(),
            events,
        )

    def _cache_event(self, upstream_id: UpstreamId) -> CacheEvent:
        """Return a snapshot of the prefixes that an engine has cached."""
        self._sequence += 1
        cached = self._fleet.cached_prefixes(upstream_id)
        return CacheEvent(self._sequence, cached, (), is_snapshot=True)

    def _deliver(
        self,
        owner_id: NodeId,
        reports: Sequence[EngineReport],
        usages: Sequence[AccountUsage],
        events: Sequence[tuple[UpstreamId, CacheEvent]],
    ) -> None:
        now = self._fleet.now()
        if self._outage[0] <= now < self._outage[1]:
            return
        for entry_id, entry in self._fleet.entry_by_id.items():
            if not entry.alive:
                continue
            _record_reports(entry, reports, now)
            if entry_id != owner_id:
                limiter = entry.components.admission.limiter
                limiter.record_usage(owner_id, usages, now)
            self._apply_events(entry_id, events)

    def _apply_events(
        self,
        entry_id: NodeId,
        events: Sequence[tuple[UpstreamId, CacheEvent]],
    ) -> None:
        index = self.prefixes_by_entry.get(entry_id)
        if index is None:
            return
        for upstream_id, event in events:
            if self._rng.random() > _EVENT_LOSS_SHARE:
                index.apply(upstream_id, event)


def _record_reports(
    entry: Entry, reports: Sequence[EngineReport], now: Millis
) -> None:
    for report in reports:
        entry.components.chooser.record_report(report, now)
