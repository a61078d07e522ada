"""Acceptor of engine leases, without a disk.

One half of PaxosLease (Trencseni, Gazso and Reinhardt 2012). The other half
is :mod:`verbenathread.membership.engine_leases`. Three rules go beyond the
paper, because a renewal here skips the prepare phase:

- a proposal is accepted only at exactly the ballot that was promised;
- and only in the life of the acceptor that promised it, so that a promise
  lost in a restart counts for nobody;
- a restarted acceptor stays silent for one longest lease, after which every
  lease that it may have accepted before has ended.
"""

import enum
from typing import NamedTuple

from verbenathread.clock import Clock
from verbenathread.types import Millis, NodeId

# Longest lease that any node of a cell may ask for.
MAX_LEASE_MS = 5000


class Verdict(enum.IntEnum):
    """What an acceptor answers to one ask."""

    # Prepared, and no other node holds the lease; or accepted.
    GRANTED = 1
    # Prepared, but another node holds the lease.
    HELD = 2
    # A greater ballot was promised, or the promise is of another life.
    REFUSED = 3
    # Started too short a time ago to know what was accepted before.
    RECOVERING = 4


class Ballot(NamedTuple):
    """Order of proposals; unique by node and incarnation."""

    round: int
    node_id: NodeId
    incarnation: int


class LeaseResponse(NamedTuple):
    """The verdict on one ask, and the promised round on a refusal."""

    verdict: Verdict
    promised_round: int = 0


class _AcceptorState:
    """What an acceptor remembers of one engine."""

    def __init__(self, promised: Ballot) -> None:
        self.promised = promised
        self.accepted: Ballot | None = None
        self.expires_at: Millis = 0

    def holder(self, now: Millis) -> Ballot | None:
        """Return the ballot whose lease has not ended here."""
        return self.accepted if now <= self.expires_at else None


def _same_owner(one: Ballot, other: Ballot) -> bool:
    return one[1:] == other[1:]


class LeaseAcceptor:
    """Answers proposers; one for each node of a cell.

    An engine is never forgotten within a life, because its promise would be
    lost; an entry is a few hundred bytes for each engine ever seen.
    """

    def __init__(self, clock: Clock, incarnation: int) -> None:
        """Take the clock and the incarnation of this process."""
        self.incarnation = incarnation
        self._clock = clock
        self._speaks_at = clock.now() + MAX_LEASE_MS
        self._slot_by_engine: dict[int, _AcceptorState] = {}

    def is_recovering(self) -> bool:
        """Tell whether a lease of the former life may still run."""
        return self._clock.now() <= self._speaks_at

    def prepare(self, engine: int, ballot: Ballot) -> LeaseResponse:
        """Promise to accept nothing below a ballot."""
        if self.is_recovering():
            return LeaseResponse(Verdict.RECOVERING)
        slot = self._slot_by_engine.setdefault(engine, _AcceptorState(ballot))
        if ballot < slot.promised:
            return LeaseResponse(Verdict.REFUSED, slot.promised.round)
        slot.promised = ballot
        holder = slot.holder(self._clock.now())
        if holder is None or _same_owner(holder, ballot):
            return LeaseResponse(Verdict.GRANTED)
        return LeaseResponse(Verdict.HELD)

    def propose(
        self, engine: int, ballot: Ballot, incarnation: int, lease: Millis
    ) -> LeaseResponse:
        """Accept or renew a lease at the promised ballot."""
        if self.is_recovering():
            return LeaseResponse(Verdict.RECOVERING)
        slot = self._slot_by_engine.get(engine)
        if (
            slot is None
            or incarnation != self.incarnation
            or lease > MAX_LEASE_MS
        ):
            return LeaseResponse(Verdict.REFUSED)
        if ballot != slot.promised:
            return LeaseResponse(Verdict.REFUSED, slot.promised.round)
        slot.accepted = ballot
        slot.expires_at = self._clock.now() + lease
        return LeaseResponse(Verdict.GRANTED)

    def release(self, engine: int, ballot: Ballot) -> LeaseResponse:
        """Forget a lease that its owner gave up."""
        slot = self._slot_by_engine.get(engine)
        if slot is not None and slot.accepted == ballot:
            slot.accepted = None
        return LeaseResponse(Verdict.GRANTED)

    def holder(self, engine: int) -> Ballot | None:
        """Return who holds a lease as far as this acceptor knows."""
        slot = self._slot_by_engine.get(engine)
        return None if slot is None else slot.holder(self._clock.now())

    def promised_round(self, engine: int) -> int:
        """Return the round of the greatest promise; 0 if there is none."""
        slot = self._slot_by_engine.get(engine)
        return 0 if slot is None else slot.promised.round
