"""Reports of engine load, sent by the owners to all entries of the cell."""

import asyncio

from verbenathread.clock import Clock, seconds
from verbenathread.entry.ledger_host import LedgerHost
from verbenathread.entry.reservations import EngineReservations
from verbenathread.membership.hashing import hash64
from verbenathread.membership.upstreams import UpstreamTable
from verbenathread.scheduling.messages import EngineReport
from verbenathread.schema import peer_pb2
from verbenathread.types import Millis, NodeId

# How often reports are created.
REPORT_INTERVAL_MS = 1000
# An unchanged report is sent again only after this time.
_REPEAT_MS = 10_000
# Number of length classes in a report.
_CLASSES = 3


class LoadReports:
    """Adds changed load reports to the messages between entries."""

    def __init__(self, clock: Clock) -> None:
        """Start without reports."""
        self._clock = clock
        self._table = UpstreamTable()
        # By the hash of the upstream id.
        self._load_by_engine: dict[int, peer_pb2.EngineLoad] = {}
        self._changed_at_by_engine: dict[int, Millis] = {}
        self._sent_at_by_peer: dict[NodeId, Millis] = {}
        self._reservations: EngineReservations | None = None

    def connect(
        self, table: UpstreamTable, reservations: EngineReservations
    ) -> None:
        """Pass reports on engines in ``table`` to ``reservations``."""
        self._table = table
        self._reservations = reservations

    def fill_message(
        self, peer_id: NodeId, message: peer_pb2.PeerMessage
    ) -> None:
        """Add the loads that changed since the last message to a peer."""
        sent_at = self._sent_at_by_peer.get(peer_id, 0)
        now = self._clock.now()
        for engine, changed_at in self._changed_at_by_engine.items():
            if changed_at >= sent_at:
                message.loads.append(self._load_by_engine[engine])
        self._sent_at_by_peer[peer_id] = now

    def handle_message(
        self, message: peer_pb2.PeerMessage, reply: peer_pb2.PeerReply
    ) -> None:
        """Pass on what a peer reports about its engines."""
        for load in message.loads:
            record = self._table.by_hash(load.engine)
            if record is None or self._reservations is None:
                continue
            report = _report_of(load, record.upstream_id, record.memory_tokens)
            if report is not None:
                self._reservations.record_report(report)

    def handle_reply(
        self,
        peer_id: NodeId,
        message: peer_pb2.PeerMessage,
        reply: peer_pb2.PeerReply,
    ) -> None:
        """Ignore the reply."""

    async def run(self, host: LedgerHost) -> None:
        """Report on the engines owned by this entry, until cancelled."""
        while True:
            self._update(host)
            await asyncio.sleep(seconds(REPORT_INTERVAL_MS))

    def _update(self, host: LedgerHost) -> None:
        now = self._clock.now()
        reports = host.reports()
        owned = {hash64(report.upstream_id) for report in reports}
        for lost in self._load_by_engine.keys() - owned:
            self._load_by_engine.pop(lost)
            self._changed_at_by_engine.pop(lost)
        for report in reports:
            load = _load_of(report)
            old = self._load_by_engine.get(load.engine)
            changed_at = self._changed_at_by_engine.get(load.engine, 0)
            if old is None or not _is_same(old, load):
                changed_at = now
            elif now - changed_at >= _REPEAT_MS:
                changed_at = now
            self._load_by_engine[load.engine] = load
            self._changed_at_by_engine[load.engine] = changed_at
            if self._reservations is not None:
                self._reservations.record_report(report)


def _is_same(old: peer_pb2.EngineLoad, new: peer_pb2.EngineLoad) -> bool:
    """Return whether two reports are equal except for their sequence."""
    same = peer_pb2.EngineLoad()
    same.CopyFrom(old)
    same.sequence = new.sequence
    return same == new


def _load_of(report: EngineReport) -> peer_pb2.EngineLoad:
    return peer_pb2.EngineLoad(
        engine=hash64(report.upstream_id),
        sequence=report.sequence,
        free_tokens=max(0, report.free_tokens),
        running=report.running,
        queued=report.queued,
        backlog_by_class=map(int, report.backlog_by_class),
        granted_by_class=map(int, report.granted_by_class),
        prefill_us=report.prefill_us,
        output_us=report.output_us,
    )


def _report_of(
    load: peer_pb2.EngineLoad, upstream_id: str, memory_tokens: int
) -> EngineReport | None:
    if len(load.backlog_by_class) != _CLASSES:
        return None
    if len(load.granted_by_class) != _CLASSES:
        return None
    return EngineReport(
        upstream_id=upstream_id,
        sequence=load.sequence,
        memory_tokens=memory_tokens,
        free_tokens=load.free_tokens,
        running=load.running,
        queued=load.queued,
        backlog_by_class=(
            load.backlog_by_class[0],
            load.backlog_by_class[1],
            load.backlog_by_class[2],
        ),
        granted_by_class=(
            load.granted_by_class[0],
            load.granted_by_class[1],
            load.granted_by_class[2],
        ),
        prefill_us=load.prefill_us,
        output_us=load.output_us,
    )
