"""Groups of engines for prompts larger than one: all or nothing.

The asking entry asks every owner of the group at once, so that the engines
make room at the same time, and begins when all have granted. One order of
groups holds at every owner: a hold that has not started yields, when its
entry renews the lease, to a group that comes before it. The first group in
that order never yields, so two half-held groups can't wait for each other.
The holds of an entry that dies come back when their leases run out.
"""

from collections.abc import Sequence

from verbenathread.scheduling.messages import ReservationRequest
from verbenathread.schema import settings_pb2
from verbenathread.types import (
    Millis,
    NodeId,
    Reservation,
    UpstreamId,
    Work,
)


def group_size(
    memory_tokens: int,
    engine_tokens: int,
    policy: settings_pb2.PolicySettings,
) -> int:
    """Return how many engines hold ``memory_tokens`` between them.

    What short prompts have to themselves does not count.
    """
    usable = int(engine_tokens * (1 - policy.short_headroom))
    if usable <= 0:
        return 0
    return max(1, -(-memory_tokens // usable))


def group_order(ask: ReservationRequest) -> tuple[Millis, str]:
    """Return the place of a group in the one order of all groups."""
    return ask.group_timestamp, ask.attempt_id


class GroupRequest:
    """One group from the first ask to the last grant."""

    def __init__(
        self,
        work: Work,
        attempt_id: str,
        entry_id: NodeId,
        members: Sequence[UpstreamId],
        memory_tokens: int,
        group_timestamp: Millis,
        *,
        admitted: bool = False,
    ) -> None:
        """Plan to hold an even share of the memory on each member.

        ``order`` is the wall clock at the arrival of the request.
        """
        self.members = tuple(sorted(members))
        self.member_request = ReservationRequest(
            work,
            attempt_id,
            entry_id,
            -(-memory_tokens // len(self.members)),
            group=self.members,
            group_timestamp=group_timestamp,
            admitted=admitted,
        )
        self._accepted: set[UpstreamId] = set()
        self._held_by_id: dict[UpstreamId, Reservation] = {}

    def record_accepted(self, upstream_id: UpstreamId) -> bool:
        """Note that an owner did not refuse; True once none did."""
        self._accepted.add(upstream_id)
        return self._accepted.issuperset(self.members)

    def record_grant(self, reservation: Reservation) -> None:
        """Note a hold."""
        self._held_by_id[reservation.upstream_ids[0]] = reservation

    def record_renewal(self, upstream_id: UpstreamId, start_by: Millis) -> None:
        """Note that an owner has renewed its hold."""
        held = self._held_by_id.get(upstream_id)
        if held is not None:
            self._held_by_id[upstream_id] = held._replace(start_by=start_by)

    def record_loss(self, upstream_id: UpstreamId) -> ReservationRequest:
        """Note that a hold has yielded or run out; return what to ask."""
        self._held_by_id.pop(upstream_id, None)
        return self.member_request._replace(admitted=True)

    def member_reservations(self) -> tuple[Reservation, ...]:
        """Return the holds so far: to renew, or to give back."""
        return tuple(
            self._held_by_id[member]
            for member in self.members
            if member in self._held_by_id
        )

    def complete_reservation(self) -> Reservation | None:
        """Return the reservation of the whole group once all is held."""
        if len(self._held_by_id) < len(self.members):
            return None
        every = self.member_reservations()
        return every[0]._replace(
            upstream_ids=self.members,
            memory_tokens=sum(held.memory_tokens for held in every),
            start_by=min(held.start_by for held in every),
        )
