"""What the callers' side of an entry needs from its neighbours.

Each is a ``Protocol`` so that the HTTP side can be tested with small fakes
and the users' own bench can stand behind any of them.
"""

from typing import Protocol

from verbenathread.schema import control_pb2, settings_pb2
from verbenathread.types import (
    Millis,
    Refusal,
    Reservation,
    UpstreamRecord,
    Work,
)


class SharedSettings(Protocol):
    """The shared settings in force on this node."""

    def revision(self) -> int:
        """Return the revision in force; 0 before the first one."""

    def account_by_key(
        self, bearer_key: str
    ) -> tuple[str, settings_pb2.AccountSettings] | None:
        """Return name and settings of the account that owns the key."""

    def service(self, name: str) -> settings_pb2.ServiceSettings | None:
        """Return the settings of one service."""

    def service_names(self) -> tuple[str, ...]:
        """Return the names of all services, sorted."""

    def policy(self, service: str) -> settings_pb2.PolicySettings:
        """Return the policy of the branch that holds the service."""


class Upstreams(Protocol):
    """The upstreams known to this node, and where to tell of them."""

    def by_service(self, service: str) -> tuple[UpstreamRecord, ...]:
        """Return the upstreams that may get new work for a service."""

    def get(self, upstream_id: str) -> UpstreamRecord | None:
        """Return one upstream in whatever state, or None."""

    def announce(self, record: UpstreamRecord) -> UpstreamRecord:
        """Take an announcement or a renewal; return what holds now."""

    def leave(self, upstream_id: str, incarnation: int) -> bool:
        """Take a leave; return only when other entries have it too.

        False means that no other entry could be told in time.
        """


class Reservations(Protocol):
    """Memory of engines, promised once over all entries."""

    def reserve(self, work: Work, attempt_id: str) -> Reservation | Refusal:
        """Wait for memory until the deadline of the work.

        Chooses the engine or the group of engines. Engines that the work
        already failed on are passed over.
        """

    def started(self, reservation: Reservation) -> None:
        """Tell that the engine has taken the attempt."""

    def progress(self, reservation: Reservation, output_tokens: int) -> None:
        """Tell how far the output has come, at the first token and later."""

    def release(
        self, reservation: Reservation, *, output_tokens: int, failed: bool
    ) -> None:
        """Give the memory back once the engine holds nothing of it."""

    def abandon(self, work: Work) -> None:
        """Stop waiting: the caller has gone."""


class Admissions(Protocol):
    """The first answer that a request gets."""

    def admit(
        self, work: Work, account: settings_pb2.AccountSettings
    ) -> Refusal | None:
        """Count one model request, or refuse it and say when to come back."""

    def admit_call(
        self, name: str, account: settings_pb2.AccountSettings
    ) -> Refusal | None:
        """Count one call of a plain service, or refuse it."""

    def done(self, work: Work, output_tokens: int) -> None:
        """Note the end of an admitted model request, however it ended."""


class Claims(Protocol):
    """Claims on a quorum for calls that may not be repeated."""

    def claim(
        self, request: control_pb2.ClaimRequest, timeout: Millis
    ) -> control_pb2.ClaimReply:
        """Record the claim durably before the first byte goes out."""

    def settle(
        self, request: control_pb2.SettleRequest, timeout: Millis
    ) -> control_pb2.SettleReply:
        """Record the outcome of the one attempt."""
