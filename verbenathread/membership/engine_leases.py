"""Leases of engines over the entries of one cell, without a disk.

The proposer of PaxosLease (Trencseni, Gazso and Reinhardt 2012). An owner
renews at a third of its lease by proposing again at the same ballot, to the
acceptors that promised it and in the life in which they did.

Clocks are monotonic and each node uses only its own. They may run fast or
slow by DRIFT_PER_MILLE; an owner counts its lease from before its first
message went out and shortens it by twice that bound.
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

# Most that a clock gains or loses over true time.
DRIFT_PER_MILLE = 10
_MILLE = 1000
# Clocks are read in whole milliseconds, once at each end.
_ROUNDING_MS = 2
_RENEWALS_PER_LEASE = 3
# A round without a majority is given up and begun anew after this long.
_ROUND_MS = 400
_ROUND_JITTER_MS = 400
# An owner gives at most one engine back to its preferred node in this time.
_HAND_BACK_MS = 5000


class Phase(enum.Enum):
    """The kinds of ask that a proposer sends."""

    PREPARE = 'prepare'
    PROPOSE = 'propose'
    RELEASE = 'release'


class LeaseRequest(NamedTuple):
    """One ask to one acceptor."""

    phase: Phase
    engine: int
    round: int
    # Life of the acceptor that gave the promise behind a proposal.
    acceptor_incarnation: int
    # When the lease starts to count; never sent.
    started_at: Millis


def safe_lease(lease: Millis) -> Millis:
    """Return how long an owner may rely on a lease by its own clock."""
    return lease - lease * 2 * DRIFT_PER_MILLE // _MILLE - _ROUNDING_MS


def safe_wait(wait: Millis) -> Millis:
    """Return how long to wait so that ``wait`` ms passed on any clock."""
    return wait + wait * 2 * DRIFT_PER_MILLE // _MILLE + _ROUNDING_MS


class _EngineState:
    """What the proposer knows of one engine."""

    def __init__(self, upstream_id: UpstreamId) -> None:
        self.upstream_id = upstream_id
        self.engine = hash64(upstream_id)
        self.round = 0
        self.phase = Phase.RELEASE
        self.started_at: Millis = 0
        # Whether the running proposal renews a lease without a prepare.
        self.renewing = False
        self.incarnation_by_node: dict[NodeId, int] = {}
        self.accepted_ids: set[NodeId] = set()
        self.held_until: Millis = 0
        # Grows with each acquisition after a time without the lease.
        self.term = 0
        self.next_action_at: Millis = 0


class EngineLeases:
    """The proposer of one node, for all engines of its cell."""

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
        """Take the nodes of the cell, this one included."""
        self.lease = lease
        self._node_id = node_id
        self._cell_ids = tuple(cell_ids)
        self._majority = len(self._cell_ids) // 2 + 1
        self._acceptor = acceptor
        self._clock = clock
        self._wake = wake
        self._state_by_engine: dict[int, _EngineState] = {}
        self._asks_by_node: dict[NodeId, dict[int, LeaseRequest]] = {}
        self._highest_round = 0
        self._hand_back_at: Millis = 0
        self._preferences = PreferredNodeCache()

    def holds(self, upstream_id: UpstreamId) -> bool:
        """Tell whether this node owns the engine at this moment."""
        return self._clock.now() < self.held_until(upstream_id)

    def term(self, upstream_id: UpstreamId) -> int:
        """Return which unbroken time of ownership this is; 0 if none.

        What was read of an engine in one term is void in the next, since
        another node may have owned it between them.
        """
        state = self._state_by_engine.get(hash64(upstream_id))
        if state is None or self._clock.now() >= state.held_until:
            return 0
        return state.term

    def held_terms(self) -> dict[UpstreamId, int]:
        """Return the present term of every engine that is held now."""
        now = self._clock.now()
        return {
            state.upstream_id: state.term
            for state in self._state_by_engine.values()
            if now < state.held_until
        }

    def held_until(self, upstream_id: UpstreamId) -> Millis:
        """Return the end of this node's lease, 0 if it never had one."""
        state = self._state_by_engine.get(hash64(upstream_id))
        return 0 if state is None else state.held_until

    def owner(self, upstream_id: UpstreamId) -> NodeId | None:
        """Return who owns the engine as far as this node knows."""
        holder = self._acceptor.holder(hash64(upstream_id))
        if self.holds(upstream_id):
            return self._node_id
        if holder is None or holder.node_id == self._node_id:
            return None
        return holder.node_id

    def run_step(
        self,
        upstream_ids: Iterable[UpstreamId],
        alive_ids: frozenset[NodeId],
        stable_ids: Collection[NodeId],
    ) -> None:
        """Acquire, renew and hand back what is due.

        ``alive_ids`` may own engines, this node included unless it stops;
        an engine is handed back only to one of ``settled_ids``, which are
        other nodes.
        """
        now = self._clock.now()
        states = [self._state(upstream_id) for upstream_id in upstream_ids]
        due_by = now
        if any(
            state.next_action_at <= now < state.held_until for state in states
        ):
            # One message renews all that are due soon as well.
            due_by += self.lease // _RENEWALS_PER_LEASE // 2
        for state in states:
            if now < state.held_until:
                self._keep(state, alive_ids, stable_ids, due_by)
            elif now >= state.next_action_at and self._node_id in alive_ids:
                self._acquire(state, alive_ids)

    def release(self, upstream_id: UpstreamId) -> None:
        """Give a lease up; the caller has stopped to rely on it."""
        state = self._state(upstream_id)
        state.held_until = 0
        state.phase = Phase.RELEASE
        state.next_action_at = self._clock.now() + self.lease
        for node_id, life in state.incarnation_by_node.items():
            self._ask(node_id, self._new_ask(state, life))

    def release_all(self) -> None:
        """Give up every lease, for a planned stop."""
        for state in tuple(self._state_by_engine.values()):
            if self.holds(state.upstream_id):
                self.release(state.upstream_id)

    def take_requests(self, node_id: NodeId) -> tuple[LeaseRequest, ...]:
        """Return and forget the asks that wait for one acceptor."""
        asks = self._asks_by_node.pop(node_id, {})
        return tuple(asks.values())

    def handle_response(
        self,
        node_id: NodeId,
        acceptor_incarnation: int,
        request: LeaseRequest,
        response: LeaseResponse,
    ) -> None:
        """Take one acceptor's answer to one ask."""
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
                # Its promise is gone; the next renewal prepares anew.
                state.incarnation_by_node.pop(node_id, None)
            return
        if request.phase is Phase.PREPARE:
            self._promised(state, node_id, acceptor_incarnation)
        elif request.phase is Phase.PROPOSE and request.phase is state.phase:
            self._accepted(state, node_id)

    def handle_request(
        self,
        node_id: NodeId,
        incarnation: int,
        request: LeaseRequest,
        lease: Millis,
    ) -> LeaseResponse:
        """Answer another proposer's ask, or this node's own."""
        ballot = Ballot(request.round, node_id, incarnation)
        if request.phase is Phase.PREPARE:
            return self._acceptor.prepare(request.engine, ballot)
        if request.phase is Phase.PROPOSE:
            return self._acceptor.propose(
                request.engine, ballot, request.acceptor_incarnation, lease
            )
        return self._acceptor.release(request.engine, ballot)

    def _acquire(
        self, state: _EngineState, alive_ids: frozenset[NodeId]
    ) -> None:
        preferred = self._preferences.get(state.upstream_id, alive_ids)
        if preferred != self._node_id:
            return
        if self.owner(state.upstream_id) is None:
            self._prepare(state)

    def _keep(
        self,
        state: _EngineState,
        alive_ids: frozenset[NodeId],
        settled_ids: Collection[NodeId],
        due_by: Millis,
    ) -> None:
        now = self._clock.now()
        preferred = self._preferences.get(state.upstream_id, alive_ids)
        if preferred in settled_ids and now >= self._hand_back_at:
            self._hand_back_at = now + _HAND_BACK_MS
            self.release(state.upstream_id)
            return
        if state.next_action_at > due_by:
            return
        if state.incarnation_by_node.keys() >= alive_ids:
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
        state.next_action_at = now + _ROUND_MS + jitter
        ask = self._new_ask(state, 0)
        for node_id in self._cell_ids:
            self._ask(node_id, ask)

    def _promised(
        self, state: _EngineState, node_id: NodeId, life: int
    ) -> None:
        state.incarnation_by_node[node_id] = life
        if state.phase is Phase.PROPOSE:
            # A late promise joins the running proposal.
            self._ask(node_id, self._new_ask(state, life))
        elif len(state.incarnation_by_node) >= self._majority:
            self._propose(state)

    def _propose(self, state: _EngineState) -> None:
        state.phase = Phase.PROPOSE
        state.accepted_ids = set()
        for node_id, life in tuple(state.incarnation_by_node.items()):
            self._ask(node_id, self._new_ask(state, life))

    def _accepted(self, state: _EngineState, node_id: NodeId) -> None:
        now = self._clock.now()
        if state.renewing and now >= state.held_until:
            # The lease lapsed; only a new prepare can bring it back.
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

    def _ask(self, node_id: NodeId, ask: LeaseRequest) -> None:
        if node_id == self._node_id:
            life = self._acceptor.incarnation
            answer = self.handle_request(node_id, life, ask, self.lease)
            self.handle_response(node_id, life, ask, answer)
            return
        self._asks_by_node.setdefault(node_id, {})[ask.engine] = ask
        self._wake(node_id)

    def _new_ask(self, state: _EngineState, life: int) -> LeaseRequest:
        return LeaseRequest(
            state.phase, state.engine, state.round, life, state.started_at
        )

    def _state(self, upstream_id: UpstreamId) -> _EngineState:
        engine = hash64(upstream_id)
        if engine not in self._state_by_engine:
            self._state_by_engine[engine] = _EngineState(upstream_id)
        return self._state_by_engine[engine]
