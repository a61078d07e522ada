"""Acceptor of engine leases; keeps its state in memory only.

Implements the acceptor of PaxosLease (Trencseni, Gazso and Reinhardt 2012);
the proposer is :mod:`verbenathread.membership.engine_leases`. Three rules go
beyond the paper, because a renewal here skips the prepare phase:

- a proposal is accepted only at exactly the ballot that was promised;
- it is accepted only by the incarnation of the acceptor that made the
  promise, so that a promise lost in a restart is not used;
- a restarted acceptor rejects all requests for the maximum lease duration,
  after which every lease that it may have accepted before has expired.
"""

import enum
from typing import NamedTuple

from verbenathread.clock import Clock
from verbenathread.types import Millis, NodeId

# Longest lease that any node of a cell may request.
MAX_LEASE_MS = 5000


class Verdict(enum.IntEnum):
    """Result of one lease request."""

    # A prepare, and no other node holds the lease; or an accepted proposal.
    GRANTED = 1
    # A prepare, but another node holds the lease.
    HELD = 2
    # A greater ballot was promised, or another incarnation promised this one.
    REFUSED = 3
    # Leases accepted before the restart may still be running.
    RECOVERING = 4


class Ballot(NamedTuple):
    """Orders proposals; unique by node and incarnation."""

    round: int
    node_id: NodeId
    incarnation: int


class LeaseResponse(NamedTuple):
    """Verdict on one lease request; on a refusal, also the promised round."""

    verdict: Verdict
    promised_round: int = 0


class _AcceptorState:
    """Promise and accepted lease for one engine."""

    def __init__(self, promised: Ballot) -> None:
        self.promised = promised
        self.accepted: Ballot | None = None
        self.expires_at: Millis = 0

    def holder(self, now: Millis) -> Ballot | None:
        """Return the accepted ballot if its lease has not expired here."""
        return self.accepted if now <= self.expires_at else None


def _same_owner(one: Ballot, other: Ballot) -> bool:
    return one[1:] == other[1:]


class LeaseAcceptor:
    """Handles requests of proposers; each node of a cell runs one.

    An engine is identified by the hash of its upstream id.

    State is kept for every engine until the process ends, since dropping it
    would lose the promise. It takes a few hundred bytes for each engine.
    """

    def __init__(self, clock: Clock, incarnation: int) -> None:
        """Take the clock and the incarnation of this process."""
        self.incarnation = incarnation
        self._clock = clock
        self._recovered_at = clock.now() + MAX_LEASE_MS
        self._state_by_engine: dict[int, _AcceptorState] = {}

    def is_recovering(self) -> bool:
        """Return whether a lease accepted before the restart may still run."""
        return self._clock.now() <= self._recovered_at

    def prepare(self, engine: int, ballot: Ballot) -> LeaseResponse:
        """Promise to accept no proposal below ``ballot``."""
        if self.is_recovering():
            return LeaseResponse(Verdict.RECOVERING)
        state = self._state_by_engine.setdefault(engine, _AcceptorState(ballot))
        if ballot < state.promised:
            return LeaseResponse(Verdict.REFUSED, state.promised.round)
        state.promised = ballot
        holder = state.holder(self._clock.now())
        if holder is None or _same_owner(holder, ballot):
            return LeaseResponse(Verdict.GRANTED)
        return LeaseResponse(Verdict.HELD)

    def propose(
        self, engine: int, ballot: Ballot, incarnation: int, lease: Millis
    ) -> LeaseResponse:
        """Accept or renew a lease at the promised ballot."""
        if self.is_recovering():
            return LeaseResponse(Verdict.RECOVERING)
        state = self._state_by_engine.get(engine)
        if (
            state is None
            or incarnation != self.incarnation
            or lease > MAX_LEASE_MS
        ):
            return LeaseResponse(Verdict.REFUSED)
        if ballot != state.promised:
            return LeaseResponse(Verdict.REFUSED, state.promised.round)
        state.accepted = ballot
        state.expires_at = self._clock.now() + lease
        return LeaseResponse(Verdict.GRANTED)

    def release(self, engine: int, ballot: Ballot) -> LeaseResponse:
        """Clear a lease that its owner released."""
        state = self._state_by_engine.get(engine)
        if state is not None and state.accepted == ballot:
            state.accepted = None
        return LeaseResponse(Verdict.GRANTED)

    def holder(self, engine: int) -> Ballot | None:
        """Return the ballot of the unexpired lease that was accepted here."""
        state = self._state_by_engine.get(engine)
        return None if state is None else state.holder(self._clock.now())

    def promised_round(self, engine: int) -> int:
        """Return the greatest promised round; 0 if there is none."""
        state = self._state_by_engine.get(engine)
        return 0 if state is None else state.promised.round
