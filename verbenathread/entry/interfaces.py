"""Interfaces between the HTTP frontend of an entry and its other parts.

Each is a ``Protocol``, so that tests can use small fakes and users can
benchmark the frontend with implementations of their own.
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
        """Return the name and the settings of the account with this key."""

    def service(self, name: str) -> settings_pb2.ServiceSettings | None:
        """Return the settings of one service."""

    def service_names(self) -> tuple[str, ...]:
        """Return the names of all services, sorted."""

    def policy(self, service: str) -> settings_pb2.PolicySettings:
        """Return the policy of the branch that holds the service."""


class Upstreams(Protocol):
    """The upstreams known to this node."""

    def by_service(self, service: str) -> tuple[UpstreamRecord, ...]:
        """Return the upstreams that accept new work for a service."""

    def get(self, upstream_id: str) -> UpstreamRecord | None:
        """Return the upstream in any state, or None if it is unknown."""

    def announce(self, record: UpstreamRecord) -> UpstreamRecord:
        """Apply an announcement or a renewal; return the current record."""

    def leave(self, upstream_id: str, incarnation: int) -> bool:
        """Mark an upstream as leaving; return once other entries have it.

        Returns False if no majority of the live ones confirmed it in time.
        """


class Reservations(Protocol):
    """Reservations of engine memory, coordinated across all entries."""

    def reserve(self, work: Work, attempt_id: str) -> Reservation | Refusal:
        """Choose an engine or a group of engines and reserve memory.

        Waits for memory until the deadline of the work. Engines on which the
        work already failed are avoided.
        """

    def report_started(self, reservation: Reservation) -> None:
        """Report that the attempt was sent to the engine."""

    def report_progress(
        self, reservation: Reservation, output_tokens: int
    ) -> None:
        """Report the output tokens so far, at the first token and later."""

    def release(
        self, reservation: Reservation, *, output_tokens: int, failed: bool
    ) -> None:
        """Release the memory once the engine no longer holds it."""

    def abandon(self, work: Work) -> None:
        """Stop waiting for memory because the caller disconnected."""


class Admissions(Protocol):
    """Admission control for requests."""

    def admit(
        self, work: Work, account: settings_pb2.AccountSettings
    ) -> Refusal | None:
        """Count a model request, or refuse it with a time to retry after."""

    def admit_call(
        self, name: str, account: settings_pb2.AccountSettings
    ) -> Refusal | None:
        """Count a call of a plain service, or refuse it."""

    def finish(self, work: Work, output_tokens: int) -> None:
        """Record the end of an admitted model request, whatever its outcome."""


class Claims(Protocol):
    """Quorum claims for calls that must not be repeated."""

    def claim(
        self, request: control_pb2.ClaimRequest, timeout: Millis
    ) -> control_pb2.ClaimReply:
        """Record the claim durably before any byte of the call is sent."""

    def settle(
        self, request: control_pb2.SettleRequest, timeout: Millis
    ) -> control_pb2.SettleReply:
        """Record the outcome of the only attempt."""
