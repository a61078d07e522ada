"""Entries, owners and engines of one replay, and their network."""

from collections import Counter
from collections.abc import Callable, Sequence

from verbenathread.replay.deployment import (
    Deployment,
    engine_records,
    entry_id_at,
)
from verbenathread.replay.engine import Engine, Job
from verbenathread.replay.entry import Entry
from verbenathread.replay.event_loop import EventLoop, VirtualClock
from verbenathread.replay.group_run import GroupRun
from verbenathread.replay.owner import Answer, EngineOwner, LedgerAction
from verbenathread.replay.results import RequestResult
from verbenathread.scheduling.ledger import EngineLedger
from verbenathread.scheduling.messages import ReservationRequest
from verbenathread.scheduling.tuning import Tuning
from verbenathread.schema import settings_pb2
from verbenathread.types import (
    Millis,
    NodeId,
    Refusal,
    RefusalReason,
    UpstreamId,
    UpstreamRecord,
)

# Time in ms from the death of an engine until its ledger and its record are
# dropped.
_ENGINE_LOSS_DETECTION: Millis = 1500
# Time in ms from the death of an entry until the others react to it.
_ENTRY_LOSS_DETECTION: Millis = 2000
# Time in ms from the death of an owner until its engines have a new one.
_OWNER_TAKEOVER: Millis = 6500


class Fleet:
    """Holds every node and carries the messages between them."""

    def __init__(
        self,
        deployment: Deployment,
        policy: settings_pb2.PolicySettings,
        tuning: Tuning,
        loop: EventLoop,
    ) -> None:
        """Create the engines and assign each an owner."""
        self.deployment = deployment
        self.loop = loop
        self.entry_by_id: dict[NodeId, Entry] = {}
        self.results: list[RequestResult] = []
        self.run_twice = 0
        self.engine_by_id = _engines(deployment, loop)
        self.owner_by_id = _owners(deployment, loop, self)
        self._policy = policy
        self._tuning = tuning
        self._records = engine_records(deployment)
        self._owner_by_engine: dict[UpstreamId, NodeId] = {}
        self._running_attempts = Counter[str]()
        owner_ids = sorted(self.owner_by_id)
        for position, upstream_id in enumerate(sorted(self.engine_by_id)):
            self.assign_owner(upstream_id, owner_ids[position % len(owner_ids)])

    def now(self) -> Millis:
        """Return the virtual time in ms."""
        return int(self.loop.now)

    def call_later(self, delay: float, action: Callable[..., object]) -> None:
        """Run an action after a delay in ms."""
        self.loop.call_later(delay, action)

    def records(self) -> Sequence[UpstreamRecord]:
        """Return the engines in service."""
        return self._records

    def assign_owner(self, upstream_id: UpstreamId, owner_id: NodeId) -> None:
        """Make an entry the owner of an engine.

        Its new ledger is restored from the jobs that run there.
        """
        engine = self.engine_by_id[upstream_id]
        ledger = EngineLedger(
            upstream_id,
            engine.rates.memory_tokens,
            self._policy,
            VirtualClock(self.loop),
            self._tuning,
        )
        ledger.restore(engine.holds())
        self.owner_by_id[owner_id].ledger_by_id[upstream_id] = ledger
        self._owner_by_engine[upstream_id] = owner_id

    def ledgers(self) -> list[EngineLedger]:
        """Return the ledger of every engine that has an owner."""
        return [
            self.owner_by_id[owner_id].ledger_by_id[upstream_id]
            for upstream_id, owner_id in self._owner_by_engine.items()
        ]

    def cached_prefixes(self, upstream_id: UpstreamId) -> tuple[int, ...]:
        """Return the hashes of the prefixes that an engine has cached."""
        return self.engine_by_id[upstream_id].cache.hashes()

    def request_reservation(
        self,
        entry_id: NodeId,
        upstream_id: UpstreamId,
        request: ReservationRequest,
    ) -> None:
        """Send a reservation request to the owner of an engine.

        An engine without an owner yields a refusal.
        """
        owner_id = self._owner_by_engine.get(upstream_id)
        if owner_id is None:
            refusal = Refusal(RefusalReason.NO_UPSTREAM, 'No owner.', 1000)
            entry = self.entry_by_id[entry_id]
            self.loop.call_later(
                2 * self.deployment.inter_centre_ms,
                entry.receive_answer,
                upstream_id,
                request.attempt_id,
                refusal,
            )
            return
        owner = self.owner_by_id[owner_id]
        delay = self._latency_ms(entry_id, owner_id)
        self.loop.call_later(delay, owner.reserve, upstream_id, request)

    def update_ledger(
        self, entry_id: NodeId, upstream_id: UpstreamId, action: LedgerAction
    ) -> None:
        """Send a ledger update, which is lost if there is no owner."""
        owner_id = self._owner_by_engine.get(upstream_id)
        if owner_id is None:
            return
        owner = self.owner_by_id[owner_id]
        delay = self._latency_ms(entry_id, owner_id)
        self.loop.call_later(delay, owner.update_ledger, upstream_id, action)

    def send_answer(
        self,
        owner_id: NodeId,
        entry_id: NodeId,
        upstream_id: UpstreamId,
        attempt_id: str,
        answer: Answer,
    ) -> None:
        """Deliver an owner's answer to an entry."""
        entry = self.entry_by_id[entry_id]
        self.loop.call_later(
            self._latency_ms(owner_id, entry_id),
            entry.receive_answer,
            upstream_id,
            attempt_id,
            answer,
        )

    def start_job(
        self, upstream_ids: Sequence[UpstreamId], job: Job
    ) -> GroupRun:
        """Start a job on its engines after the network latency."""
        engines = [self.engine_by_id[upstream] for upstream in upstream_ids]
        listener = _DelayedListener(
            self, self.entry_by_id[job.entry_id], job.request_id
        )
        run = GroupRun(engines, job, listener)
        self._running_attempts[job.request_id] += 1
        if self._running_attempts[job.request_id] > 1:
            self.run_twice += 1
        self.loop.call_later(self.deployment.inter_centre_ms, run.begin)
        return run

    def cancel_job(
        self, run: GroupRun, confirmed: Callable[[], object]
    ) -> None:
        """Cancel a job and confirm it, each after the network latency."""
        delay = self.deployment.inter_centre_ms
        self.loop.call_later(delay, run.end)
        self.loop.call_later(2 * delay, confirmed)

    def record_attempt_end(self, request_id: str) -> None:
        """Record that an attempt no longer runs on any engine."""
        self._running_attempts[request_id] -= 1

    def record_result(self, result: RequestResult) -> None:
        """Record how a request ended."""
        self.results.append(result)

    def kill_engine(self, position: int) -> None:
        """Kill an engine; its owner detects that after a delay."""
        upstream_id = sorted(self.engine_by_id)[position]
        self.engine_by_id[upstream_id].die()
        self.call_later(
            _ENGINE_LOSS_DETECTION, lambda: self._drop_engine(upstream_id)
        )

    def kill_entry(self, position: int) -> None:
        """Kill an entry and its ledgers; others detect that after a delay."""
        entry_id = sorted(self.entry_by_id)[position]
        self.entry_by_id[entry_id].die()
        owned = [
            upstream_id
            for upstream_id, owner_id in self._owner_by_engine.items()
            if owner_id == entry_id
        ]
        for upstream_id in owned:
            self._owner_by_engine.pop(upstream_id)
        self.owner_by_id[entry_id].ledger_by_id.clear()
        self.call_later(
            _ENTRY_LOSS_DETECTION, lambda: self._drop_entry(entry_id, owned)
        )
        self.call_later(
            _OWNER_TAKEOVER, lambda: self._take_over(entry_id, owned)
        )

    def _drop_engine(self, upstream_id: UpstreamId) -> None:
        self._records = tuple(
            record
            for record in self._records
            if record.upstream_id != upstream_id
        )
        owner_id = self._owner_by_engine.pop(upstream_id, None)
        if owner_id is None:
            return
        gone = Refusal(RefusalReason.NO_UPSTREAM, 'The engine is gone.', 1000)
        self.owner_by_id[owner_id].drop_engine(upstream_id, gone)

    def _drop_entry(
        self, entry_id: NodeId, owned: Sequence[UpstreamId]
    ) -> None:
        for entry in self.entry_by_id.values():
            if entry.alive:
                entry.owner_lost(owned)
        for upstream_id in tuple(self._owner_by_engine):
            self._cancel_orphans(entry_id, upstream_id)

    def _take_over(self, entry_id: NodeId, owned: Sequence[UpstreamId]) -> None:
        alive = [
            other
            for other in sorted(self.entry_by_id)
            if self.entry_by_id[other].alive
        ]
        for position, upstream_id in enumerate(owned):
            if not self.engine_by_id[upstream_id].alive:
                continue
            self.assign_owner(upstream_id, alive[position % len(alive)])
            self._cancel_orphans(entry_id, upstream_id)

    def _cancel_orphans(
        self, entry_id: NodeId, upstream_id: UpstreamId
    ) -> None:
        """Cancel the jobs that a dead entry started on an engine."""
        owner = self.owner_by_id[self._owner_by_engine[upstream_id]]
        ledger = owner.ledger_by_id[upstream_id]
        for reservation in ledger.drop_entry(entry_id):
            self.engine_by_id[upstream_id].end(reservation.attempt_id)
            ledger.release(reservation.reservation_id, 0)
        owner.send_grants(upstream_id)

    def _latency_ms(self, one: NodeId, other: NodeId) -> float:
        if one == other:
            return 0
        deployment = self.deployment
        centres = len(deployment.data_centres)
        positions = [int(node_id[1:]) % centres for node_id in (one, other)]
        if positions[0] == positions[1]:
            return deployment.intra_centre_ms
        return deployment.inter_centre_ms


class _DelayedListener:
    """Forwards job progress to the entry after the network latency."""

    def __init__(self, fleet: Fleet, entry: Entry, request_id: str) -> None:
        self._fleet = fleet
        self._entry = entry
        self._request_id = request_id

    def prefilled(self, attempt_id: str) -> None:
        """Forward the first token."""
        self._deliver(self._entry.prefilled, attempt_id)

    def finished(self, attempt_id: str) -> None:
        """Forward the last token."""
        self._fleet.record_attempt_end(self._request_id)
        self._deliver(self._entry.finished, attempt_id)

    def broken(self, attempt_id: str) -> None:
        """Forward the loss of an engine."""
        self._fleet.record_attempt_end(self._request_id)
        self._deliver(self._entry.broken, attempt_id)

    def _deliver(self, action: Callable[[str], None], attempt_id: str) -> None:
        delay = self._fleet.deployment.inter_centre_ms
        self._fleet.loop.call_later(delay, action, attempt_id)


def _engines(
    deployment: Deployment, loop: EventLoop
) -> dict[UpstreamId, Engine]:
    by_id = {}
    for position in range(deployment.engines):
        upstream_id = f'e{position:04d}'
        by_id[upstream_id] = Engine(upstream_id, deployment.rates, loop)
    return by_id


def _owners(
    deployment: Deployment, loop: EventLoop, fleet: Fleet
) -> dict[NodeId, EngineOwner]:
    by_id = {}
    for position in range(deployment.entries):
        owner_id = entry_id_at(position)
        by_id[owner_id] = EngineOwner(owner_id, loop, fleet)
    return by_id
