"""Engine leases among the entries of one cell, kept in memory only.

Implements the proposer of PaxosLease (Trencseni, Gazso and Reinhardt 2012).
An owner renews after a third of its lease by proposing again at the same
ballot, to the acceptors that promised it and still run under the same
incarnation.

Clocks are monotonic and each node uses only its own. They may run fast or
slow by DRIFT_PER_MILLE; an owner counts its lease from before it sends its
first message and shortens it by twice that bound.
"""

import enum
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from verbenathread.clock import Clock
from verbenathread.membership.hashing import PreferredNodeCache, hash64
from verbenathread.membership.lease_acceptor import (
    MAX_LEASE_MS,
    Ballot,
    LeaseAcceptor,
    LeaseResponse,
    Verdict,
)
from verbenathread.types import Millis, NodeId, UpstreamId

# Maximum drift of a clock in either direction.
DRIFT_PER_MILLE = 10
_MILLE = 1000
# Clocks are read in whole milliseconds, at the start and at the end.
_ROUNDING_MS = 2
_RENEWALS_PER_LEASE = 3
# A round without a majority is abandoned and restarted after this long.
_ROUND_TIMEOUT_MS = 400
_ROUND_JITTER_MS = 400
# An owner hands at most one engine back to its preferred node per interval.
_HAND_BACK_INTERVAL_MS = 5000


class Phase(enum.Enum):
    """Phase of the lease protocol to which a request belongs."""

    PREPARE = 'prepare'
    PROPOSE = 'propose'
    RELEASE = 'release'


class LeaseRequest(NamedTuple):
    """One request of a proposer to one acceptor."""

    phase: Phase
    # Hash of the upstream id.
    engine: int
    round: int
    # Incarnation under which the acceptor promised the proposed ballot.
    acceptor_incarnation: int
    # Start of the lease on the proposer's clock; not sent.
    started_at: Millis


def safe_lease(lease: Millis) -> Millis:
    """Return how long an owner may rely on a lease on its own clock."""
    return lease - lease * 2 * DRIFT_PER_MILLE // _MILLE - _ROUNDING_MS


def safe_wait(wait: Millis) -> Millis:
    """Return how long to wait so that ``wait`` ms pass on every clock."""
    return wait + wait * 2 * DRIFT_PER_MILLE // _MILLE + _ROUNDING_MS


class _EngineState:
    """Proposer state of one engine."""

    def __init__(self, upstream_id: UpstreamId) -> None:
        self.upstream_id = upstream_id
        # The hash that identifies the engine in requests.
        self.engine = hash64(upstream_id)
        self.round = 0
        self.phase = Phase.RELEASE
        self.started_at: Millis = 0
        # Whether the current proposal renews a lease without a prepare.
        self.renewing = False
        # Acceptors that promised the current ballot.
        self.incarnation_by_node: dict[NodeId, int] = {}
        self.accepted_ids: set[NodeId] = set()
        self.held_until: Millis = 0
        # Incremented when the lease is acquired, but not when it is renewed.
        self.term = 0
        self.next_action_at: Millis = 0


class EngineLeases:
    """Proposer of one node for all engines of its cell."""

    def __init__(
        self,
        cell_ids: Collection[NodeId],
        acceptor: LeaseAcceptor,
        clock: Clock,
        wake: Callable[[NodeId], None],
        *,
        node_id: NodeId,
        lease: Millis = MAX_LEASE_MS,
    ) -> None:
        """Manage leases among ``cell_ids``, which include this node."""
        self.lease = lease
        self._node_id = node_id
        self._cell_ids = tuple(cell_ids)
        self._majority = len(self._cell_ids) // 2 + 1
        self._acceptor = acceptor
        self._clock = clock
        self._wake = wake
        # By the hash of the upstream id.
        self._state_by_engine: dict[int, _EngineState] = {}
        self._requests_by_node: dict[NodeId, dict[int, LeaseRequest]] = {}
        self._highest_round = 0
        self._next_hand_back_at: Millis = 0
        self._preferred_nodes = PreferredNodeCache()

    def holds(self, upstream_id: UpstreamId) -> bool:
        """Return whether this node owns the engine now."""
        return self._clock.now() < self.held_until(upstream_id)

    def term(self, upstream_id: UpstreamId) -> int:
        """Return the number of the current ownership term; 0 if not owner.

        State read from an engine in one term is invalid in the next, since
        another node may have owned the engine in between.
        """
        state = self._state_by_engine.get(hash64(upstream_id))
        if state is None or self._clock.now() >= state.held_until:
            return 0
        return state.term

    def held_terms(self) -> dict[UpstreamId, int]:
        """Return the term of every engine that this node owns now."""
        now = self._clock.now()
        return {
            state.upstream_id: state.term
            for state in self._state_by_engine.values()
            if now < state.held_until
        }

    def held_until(self, upstream_id: UpstreamId) -> Millis:
        """Return the end of this node's lease; 0 if it never had one."""
        state = self._state_by_engine.get(hash64(upstream_id))
        return 0 if state is None else state.held_until

    def owner(self, upstream_id: UpstreamId) -> NodeId | None:
        """Return the owner of the engine, if known to this node."""
        holder = self._acceptor.holder(hash64(upstream_id))
        if self.holds(upstream_id):
            return self._node_id
        if holder is None or holder.node_id == self._node_id:
            return None
        return holder.node_id

    def run_step(
        self,
        upstream_ids: Iterable[UpstreamId],
        serving_ids: frozenset[NodeId],
        stable_ids: Collection[NodeId],
    ) -> None:
        """Acquire, renew and hand back the leases that are due.

        ``serving_ids`` are the nodes that may own engines, including this one
        unless it is stopping; an engine is handed back only to one of
        ``stable_ids``, which are other nodes.
        """
        now = self._clock.now()
        states = [self._state(upstream_id) for upstream_id in upstream_ids]
        due_by = now
        if any(
            state.next_action_at <= now < state.held_until for state in states
        ):
            # Renew those that are due soon in the same message.
            due_by += self.lease // _RENEWALS_PER_LEASE // 2
        for state in states:
            if now < state.held_until:
                self._maintain(state, serving_ids, stable_ids, due_by)
            elif now >= state.next_action_at and self._node_id in serving_ids:
                self._acquire(state, serving_ids)

    def release(self, upstream_id: UpstreamId) -> None:
        """Release a lease; the caller must have stopped relying on it."""
        state = self._state(upstream_id)
        state.held_until = 0
        state.phase = Phase.RELEASE
        state.next_action_at = self._clock.now() + self.lease
        for node_id, incarnation in state.incarnation_by_node.items():
            self._send(node_id, self._make_request(state, incarnation))

    def release_all(self) -> None:
        """Release every lease before a planned stop."""
        for state in tuple(self._state_by_engine.values()):
            if self.holds(state.upstream_id):
                self.release(state.upstream_id)

    def take_requests(self, node_id: NodeId) -> tuple[LeaseRequest, ...]:
        """Return and clear the queued requests to one acceptor."""
        requests = self._requests_by_node.pop(node_id, {})
        return tuple(requests.values())

    def handle_response(
        self,
        node_id: NodeId,
        acceptor_incarnation: int,
        request: LeaseRequest,
        response: LeaseResponse,
    ) -> None:
        """Apply the response of one acceptor to a request."""
        state = self._state_by_engine.get(request.engine)
        if state is None:
            return
        self._highest_round = max(self._highest_round, response.promised_round)
        if (request.round, request.started_at) != (
            state.round,
            state.started_at,
        ):
            return
        if response.verdict is not Verdict.GRANTED:
            if request.phase is Phase.PROPOSE:
                # The promise is lost; the next renewal starts with a prepare.
                state.incarnation_by_node.pop(node_id, None)
            return
        if request.phase is Phase.PREPARE:
            self._record_promise(state, node_id, acceptor_incarnation)
        elif request.phase is Phase.PROPOSE and request.phase is state.phase:
            self._record_acceptance(state, node_id)

    def handle_request(
        self,
        node_id: NodeId,
        incarnation: int,
        request: LeaseRequest,
        lease: Millis,
    ) -> LeaseResponse:
        """Handle a request of another proposer or of this node."""
        ballot = Ballot(request.round, node_id, incarnation)
        if request.phase is Phase.PREPARE:
            return self._acceptor.prepare(request.engine, ballot)
        if request.phase is Phase.PROPOSE:
            return self._acceptor.propose(
                request.engine, ballot, request.acceptor_incarnation, lease
            )
        return self._acceptor.release(request.engine, ballot)

    def _acquire(
        self, state: _EngineState, serving_ids: frozenset[NodeId]
    ) -> None:
        preferred = self._preferred_nodes.get(state.upstream_id, serving_ids)
        if preferred != self._node_id:
            return
        if self.owner(state.upstream_id) is None:
            self._prepare(state)

    def _maintain(
        self,
        state: _EngineState,
        serving_ids: frozenset[NodeId],
        stable_ids: Collection[NodeId],
        due_by: Millis,
    ) -> None:
        now = self._clock.now()
        preferred = self._preferred_nodes.get(state.upstream_id, serving_ids)
        if preferred in stable_ids and now >= self._next_hand_back_at:
            self._next_hand_back_at = now + _HAND_BACK_INTERVAL_MS
            self.release(state.upstream_id)
            return
        if state.next_action_at > due_by:
            return
        if state.incarnation_by_node.keys() >= serving_ids:
            state.renewing = True
            state.started_at = now
            self._propose(state)
        else:
            self._prepare(state)
        state.next_action_at = now + self.lease // _RENEWALS_PER_LEASE

    def _prepare(self, state: _EngineState) -> None:
        now = self._clock.now()
        self._highest_round = 1 + max(
            self._highest_round, self._acceptor.promised_round(state.engine)
        )
        state.round = self._highest_round
        state.phase = Phase.PREPARE
        state.started_at = now
        state.renewing = False
        state.incarnation_by_node = {}
        jitter = hash64(f'{self._node_id} {state.round}') % _ROUND_JITTER_MS
        state.next_action_at = now + _ROUND_TIMEOUT_MS + jitter
        request = self._make_request(state, 0)
        for node_id in self._cell_ids:
            self._send(node_id, request)

    def _record_promise(
        self, state: _EngineState, node_id: NodeId, incarnation: int
    ) -> None:
        state.incarnation_by_node[node_id] = incarnation
        if state.phase is Phase.PROPOSE:
            # A late promise joins the current proposal.
            self._send(node_id, self._make_request(state, incarnation))
        elif len(state.incarnation_by_node) >= self._majority:
            self._propose(state)

    def _propose(self, state: _EngineState) -> None:
        state.phase = Phase.PROPOSE
        state.accepted_ids = set()
        for node_id, incarnation in tuple(state.incarnation_by_node.items()):
            self._send(node_id, self._make_request(state, incarnation))

    def _record_acceptance(self, state: _EngineState, node_id: NodeId) -> None:
        now = self._clock.now()
        if state.renewing and now >= state.held_until:
            # The lease lapsed; acquiring it again takes a new prepare.
            return
        state.accepted_ids.add(node_id)
        if len(state.accepted_ids) < self._majority:
            return
        if now >= state.held_until:
            state.term += 1
            state.next_action_at = (
                state.started_at + self.lease // _RENEWALS_PER_LEASE
            )
        state.held_until = max(
            state.held_until, state.started_at + safe_lease(self.lease)
        )

    def _send(self, node_id: NodeId, request: LeaseRequest) -> None:
        if node_id == self._node_id:
            incarnation = self._acceptor.incarnation
            response = self.handle_request(
                node_id, incarnation, request, self.lease
            )
            self.handle_response(node_id, incarnation, request, response)
            return
        self._requests_by_node.setdefault(node_id, {})[request.engine] = request
        self._wake(node_id)

    def _make_request(
        self, state: _EngineState, incarnation: int
    ) -> LeaseRequest:
        return LeaseRequest(
            state.phase,
            state.engine,
            state.round,
            incarnation,
            state.started_at,
        )

    def _state(self, upstream_id: UpstreamId) -> _EngineState:
        engine = hash64(upstream_id)
        if engine not in self._state_by_engine:
            self._state_by_engine[engine] = _EngineState(upstream_id)
        return self._state_by_engine[engine]
