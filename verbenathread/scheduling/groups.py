"""Reservations on a group of engines, for prompts larger than one engine.

A group is reserved as a whole or not at all. The entry sends a request to
the owner of each member at once, so that the engines free memory at the same
time, and starts when all have granted it. Groups have the same order at
every owner: when an entry renews the lease of a hold that has not started,
the hold yields to a group that precedes its own. The first group in that
order never yields, so two groups that each hold a part can't deadlock. Holds
of an entry that dies are released when their leases expire.
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
    """Return the number of engines needed to hold ``memory_tokens``.

    The headroom for short prompts can't be used.
    """
    usable = int(engine_tokens * (1 - policy.short_headroom))
    if usable <= 0:
        return 0
    return max(1, -(-memory_tokens // usable))


def group_sort_key(request: ReservationRequest) -> tuple[Millis, str]:
    """Return the sort key that orders groups at every owner."""
    return request.group_timestamp, request.attempt_id


class GroupRequest:
    """Tracks one group from its first request to its last grant."""

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
        """Prepare to request an even share of the memory on each member.

        ``group_timestamp`` is the wall clock at the arrival of the request.
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
        self._reservation_by_id: dict[UpstreamId, Reservation] = {}

    def record_accepted(self, upstream_id: UpstreamId) -> bool:
        """Record that an owner did not refuse; return whether none did."""
        self._accepted.add(upstream_id)
        return self._accepted.issuperset(self.members)

    def record_grant(self, reservation: Reservation) -> None:
        """Record the reservation that an owner has granted."""
        self._reservation_by_id[reservation.upstream_ids[0]] = reservation

    def record_renewal(self, upstream_id: UpstreamId, start_by: Millis) -> None:
        """Record that an owner has renewed the lease on a member."""
        reservation = self._reservation_by_id.get(upstream_id)
        if reservation is not None:
            self._reservation_by_id[upstream_id] = reservation._replace(
                start_by=start_by
            )

    def record_loss(self, upstream_id: UpstreamId) -> ReservationRequest:
        """Record that a hold yielded or expired; return what to request."""
        self._reservation_by_id.pop(upstream_id, None)
        return self.member_request._replace(admitted=True)

    def member_reservations(self) -> tuple[Reservation, ...]:
        """Return the reservations granted so far, to renew or release."""
        return tuple(
            self._reservation_by_id[member]
            for member in self.members
            if member in self._reservation_by_id
        )

    def complete_reservation(self) -> Reservation | None:
        """Return the reservation of the group once every member granted."""
        if len(self._reservation_by_id) < len(self.members):
            return None
        granted = self.member_reservations()
        return granted[0]._replace(
            upstream_ids=self.members,
            memory_tokens=sum(
                reservation.memory_tokens for reservation in granted
            ),
            start_by=min(reservation.start_by for reservation in granted),
        )
