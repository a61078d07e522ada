"""Keeps the holds of a group until all of it is granted."""

from collections.abc import Callable

from verbenathread.replay.pending import (
    EntryEnvironment,
    OwnerClient,
    PendingRequest,
)
from verbenathread.scheduling.groups import GroupRequest
from verbenathread.scheduling.ledger import GROUP_LEASE
from verbenathread.scheduling.messages import ReservationRequest
from verbenathread.types import Millis, Reservation, UpstreamId

_RENEWAL_INTERVAL: Millis = 2000


class GroupRenewer:
    """Renews holds, and asks again for those that yielded."""

    def __init__(
        self,
        environment: EntryEnvironment,
        owners: OwnerClient,
        send: Callable[[PendingRequest, UpstreamId, ReservationRequest], None],
    ) -> None:
        """Send asks by ``send``."""
        self._environment = environment
        self._owners = owners
        self._send = send

    def start(self, pending: PendingRequest, claim: GroupRequest) -> None:
        """Renew from now on, until the group starts or is given up."""
        self._environment.call_later(
            _RENEWAL_INTERVAL, lambda: self._renew(pending, claim)
        )

    def _renew(self, pending: PendingRequest, claim: GroupRequest) -> None:
        """Keep the holds of a group until it starts."""
        if not _is_current(pending, claim):
            return
        start_by = self._environment.now() + GROUP_LEASE
        for held in claim.member_reservations():
            # The owner counts from when it hears this, so no earlier.
            claim.record_renewal(held.upstream_ids[0], start_by)
            self._owners.renew(held, self._loss_handler(pending, claim, held))
        pending.reservations = claim.member_reservations()
        self._environment.call_later(
            _RENEWAL_INTERVAL, lambda: self._renew(pending, claim)
        )

    def _loss_handler(
        self, pending: PendingRequest, claim: GroupRequest, held: Reservation
    ) -> Callable[[], None]:
        """Return what to do when an owner has let a hold of a group go."""

        def ask_again() -> None:  # noqa: WPS430 - binds the hold.
            if not _is_current(pending, claim):
                return
            upstream_id = held.upstream_ids[0]
            ask = claim.record_loss(upstream_id)
            pending.reservations = claim.member_reservations()
            self._send(pending, upstream_id, ask)

        return ask_again


def _is_current(pending: PendingRequest, claim: GroupRequest) -> bool:
    """Tell whether a claim still waits for its group."""
    if pending.is_over or pending.run is not None:
        return False
    return pending.group is claim
