"""Keeps the holds of a group until all of it is granted."""

from collections.abc import Callable

from verbenathread.replay.pending import EntryPlace, Grants, Pending
from verbenathread.scheduling.groups import GroupClaim
from verbenathread.scheduling.ledger import GROUP_LEASE
from verbenathread.scheduling.messages import Ask
from verbenathread.types import Millis, Reservation, UpstreamId

_RENEW_EVERY: Millis = 2000


class GroupKeeper:
    """Renews holds, and asks again for those that yielded."""

    def __init__(
        self,
        place: EntryPlace,
        grants: Grants,
        send: Callable[[Pending, UpstreamId, Ask], None],
    ) -> None:
        """Send asks by ``send``."""
        self._place = place
        self._grants = grants
        self._send = send

    def keep(self, pending: Pending, claim: GroupClaim) -> None:
        """Renew from now on, until the group starts or is given up."""
        self._place.later(_RENEW_EVERY, lambda: self._renew(pending, claim))

    def _renew(self, pending: Pending, claim: GroupClaim) -> None:
        """Keep the holds of a group until it starts."""
        if not _is_current(pending, claim):
            return
        start_by = self._place.now() + GROUP_LEASE
        for held in claim.held():
            # The owner counts from when it hears this, so no earlier.
            claim.renewed(held.upstream_ids[0], start_by)
            self._grants.renew(held, self._lost(pending, claim, held))
        pending.held = claim.held()
        self._place.later(_RENEW_EVERY, lambda: self._renew(pending, claim))

    def _lost(
        self, pending: Pending, claim: GroupClaim, held: Reservation
    ) -> Callable[[], None]:
        """Return what to do when an owner has let a hold of a group go."""

        def ask_again() -> None:  # noqa: WPS430 - binds the hold.
            if not _is_current(pending, claim):
                return
            upstream_id = held.upstream_ids[0]
            ask = claim.lost(upstream_id)
            pending.held = claim.held()
            self._send(pending, upstream_id, ask)

        return ask_again


def _is_current(pending: Pending, claim: GroupClaim) -> bool:
    """Tell whether a claim still waits for its group."""
    if pending.is_over or pending.run is not None:
        return False
    return pending.claim is claim
