"""Groups of engines for prompts larger than one: all or nothing.

Every entry asks the owners in ascending order of the engines, and waits at
one before it asks the next; so two half-held groups can't wait for each
other. Each hold has a lease, which the asking entry renews until the attempt
starts; the holds of an entry that dies come back when theirs run out.
"""

from collections.abc import Sequence

from verbenathread.scheduling.messages import Ask
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


class GroupClaim:
    """One group from the first ask to the last grant."""

    def __init__(
        self,
        work: Work,
        attempt_id: str,
        entry_id: NodeId,
        members: Sequence[UpstreamId],
        memory_tokens: int,
        *,
        admitted: bool = False,
    ) -> None:
        """Plan to hold an even share of the memory on each member."""
        self.members = tuple(sorted(members))
        share = -(-memory_tokens // len(self.members))
        self._ask = Ask(work, attempt_id, entry_id, share, group=self.members)
        self._held: list[Reservation] = []

    def next_ask(self) -> tuple[UpstreamId, Ask] | None:
        """Return the next engine and what to ask its owner; None if all."""
        if len(self._held) == len(self.members):
            return None
        # What holds memory already is not turned away for its deadline.
        admitted = self._ask.admitted or bool(self._held)
        ask = self._ask._replace(admitted=admitted)
        return self.members[len(self._held)], ask

    def granted(self, reservation: Reservation) -> None:
        """Note the hold that the last ask came to."""
        self._held.append(reservation)

    def held(self) -> tuple[Reservation, ...]:
        """Return the holds so far: to renew, or to release on a refusal."""
        return tuple(self._held)

    def renewed(self, reservation_id: str, start_by: Millis) -> None:
        """Note that one owner has renewed its hold."""
        self._held = [
            held._replace(start_by=start_by)
            if held.reservation_id == reservation_id
            else held
            for held in self._held
        ]

    def whole(self) -> Reservation | None:
        """Return the reservation of the whole group once all is held."""
        if len(self._held) < len(self.members):
            return None
        first = self._held[0]
        start_by: Millis = min(held.start_by for held in self._held)
        return first._replace(
            upstream_ids=self.members,
            memory_tokens=sum(held.memory_tokens for held in self._held),
            start_by=start_by,
        )
