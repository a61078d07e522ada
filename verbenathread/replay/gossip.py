"""What entries hear of one another and of the engines, late."""

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
# Cache events of this share are lost.
_EVENT_LOSS_SHARE = 0.02


class Gossip:
    """Load reports, account usage and cache events, each second, 1 s late."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        """Speak of ``fleet``; ``rng`` decides which events are lost."""
        self.prefixes_by_entry: dict[NodeId, PrefixIndex] = {}
        self._fleet = fleet
        self._rng = rng
        self._outage: tuple[Millis, Millis] = (0, 0)
        self._sequence: int = 0

    def start(self, end: Millis, missing: tuple[Millis, Millis]) -> None:
        """Plan every round up to ``end``, but no reports in ``missing``."""
        self._outage = missing
        owners = sorted(self._fleet.owner_by_id)
        for place, owner_id in enumerate(owners):
            # Entries are not in step with one another.
            offset = _INTERVAL * place // len(owners)
            for moment in range(offset, end, _INTERVAL):
                self._fleet.loop.call_at(moment, self._send_round, owner_id)

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
        """Return what changed; every so often all that is cached."""
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
