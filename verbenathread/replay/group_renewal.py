"""Renews the reservations of a group until every member is granted."""

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
    """Renews the reservations of groups, and requests lost ones again."""

    def __init__(
        self,
        environment: EntryEnvironment,
        owners: OwnerClient,
        send: Callable[[PendingRequest, UpstreamId, ReservationRequest], None],
    ) -> None:
        """Send repeated reservation requests through ``send``."""
        self._environment = environment
        self._owners = owners
        self._send = send

    def start(self, pending: PendingRequest, group: GroupRequest) -> None:
        """Renew periodically until the group starts or is abandoned."""
        self._environment.call_later(
            _RENEWAL_INTERVAL, lambda: self._renew(pending, group)
        )

    def _renew(self, pending: PendingRequest, group: GroupRequest) -> None:
        """Renew every reservation of a group that has not started."""
        if not _is_current(pending, group):
            return
        start_by = self._environment.now() + GROUP_LEASE
        for reservation in group.member_reservations():
            # The owner counts the lease from when the renewal arrives, so
            # its expiry is never earlier than this.
            group.record_renewal(reservation.upstream_ids[0], start_by)
            self._owners.renew(
                reservation, self._loss_handler(pending, group, reservation)
            )
        pending.reservations = group.member_reservations()
        self._environment.call_later(
            _RENEWAL_INTERVAL, lambda: self._renew(pending, group)
        )

    def _loss_handler(
        self,
        pending: PendingRequest,
        group: GroupRequest,
        reservation: Reservation,
    ) -> Callable[[], None]:
        """Return a callback for when the owner has dropped a reservation."""

        def request_again() -> None:  # noqa: WPS430 - binds the reservation.
            if not _is_current(pending, group):
                return
            upstream_id = reservation.upstream_ids[0]
            request = group.record_loss(upstream_id)
            pending.reservations = group.member_reservations()
            self._send(pending, upstream_id, request)

        return request_again


def _is_current(pending: PendingRequest, group: GroupRequest) -> bool:
    """Return whether the group is still waiting for its grants."""
    if pending.is_over or pending.run is not None:
        return False
    return pending.group is group
