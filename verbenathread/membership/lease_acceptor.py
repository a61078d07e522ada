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
LONGEST_LEASE_MS = 5000


class Verdict(enum.IntEnum):
    """What an acceptor answers to one ask."""

    # Prepared, and no other node holds the lease; or accepted.
    OPEN = 1
    # Prepared, but another node holds the lease.
    TAKEN = 2
    # A greater ballot was promised, or the promise is of another life.
    REFUSED = 3
    # Started too short a time ago to know what was accepted before.
    SILENT = 4


class Ballot(NamedTuple):
    """Order of proposals; unique by node and incarnation."""

    round: int
    node_id: NodeId
    incarnation: int


class Answer(NamedTuple):
    """The verdict on one ask, and the promised round on a refusal."""

    verdict: Verdict
    promised_round: int = 0


class _Slot:
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

    def __init__(self, clock: Clock, life: int) -> None:
        """Take the clock and the incarnation of this process."""
        self.life = life
        self._clock = clock
        self._speaks_at = clock.now() + LONGEST_LEASE_MS
        self._slot_by_engine: dict[int, _Slot] = {}

    def silent(self) -> bool:
        """Tell whether a lease of the former life may still run."""
        return self._clock.now() <= self._speaks_at

    def prepare(self, engine: int, ballot: Ballot) -> Answer:
        """Promise to accept nothing below a ballot."""
        if self.silent():
            return Answer(Verdict.SILENT)
        slot = self._slot_by_engine.setdefault(engine, _Slot(ballot))
        if ballot < slot.promised:
            return Answer(Verdict.REFUSED, slot.promised.round)
        slot.promised = ballot
        holder = slot.holder(self._clock.now())
        if holder is None or _same_owner(holder, ballot):
            return Answer(Verdict.OPEN)
        return Answer(Verdict.TAKEN)

    def propose(
        self, engine: int, ballot: Ballot, life: int, lease: Millis
    ) -> Answer:
        """Accept or renew a lease at the promised ballot."""
        if self.silent():
            return Answer(Verdict.SILENT)
        slot = self._slot_by_engine.get(engine)
        if slot is None or life != self.life or lease > LONGEST_LEASE_MS:
            return Answer(Verdict.REFUSED)
        if ballot != slot.promised:
            return Answer(Verdict.REFUSED, slot.promised.round)
        slot.accepted = ballot
        slot.expires_at = self._clock.now() + lease
        return Answer(Verdict.OPEN)

    def release(self, engine: int, ballot: Ballot) -> Answer:
        """Forget a lease that its owner gave up."""
        slot = self._slot_by_engine.get(engine)
        if slot is not None and slot.accepted == ballot:
            slot.accepted = None
        return Answer(Verdict.OPEN)

    def holder(self, engine: int) -> Ballot | None:
        """Return who holds a lease as far as this acceptor knows."""
        slot = self._slot_by_engine.get(engine)
        return None if slot is None else slot.holder(self._clock.now())

    def promised_round(self, engine: int) -> int:
        """Return the round of the greatest promise; 0 if there is none."""
        slot = self._slot_by_engine.get(engine)
        return 0 if slot is None else slot.promised.round
