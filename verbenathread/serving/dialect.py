"""Interface to the wire format that callers and workers use."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from verbenathread.http1.messages import Request, ResponseHead
from verbenathread.serving.types import Prompt
from verbenathread.types import Address, Millis


class CallerRequest(NamedTuple):
    """The parsed headers of a caller's request."""

    attempt_id: str
    # Time that the caller still waits; None if it states none.
    time_left: Millis | None
    host: str
    path: str
    key: str | None
    # None for a request to a plain service.
    prompt: Prompt | None
    # The caller resumes a stream after this event.
    last_event_id: int | None


class BadRequest(NamedTuple):
    """A malformed request; the message says why."""

    message: str


class Helper(NamedTuple):
    """A worker that prefills a part of a prompt or reserves memory for it."""

    address: Address
    # Empty if no memory is reserved there.
    reservation_id: str


class ForwardContext(NamedTuple):
    """What a gateway sends to a worker in addition to the caller's headers."""

    worker_id: str
    time_left: Millis
    account: str | None
    # 0 is the highest; None leaves it to the worker.
    priority: int | None
    # Resume a broken stream after this event.
    last_event_id: int | None
    helpers: Sequence[Helper] = ()


class WorkerResponse(NamedTuple):
    """The parsed headers of a worker's response."""

    attempt_id: str
    # A success without a response stamp does not come from a worker.
    has_stamp: bool
    # The worker states that it has not run and will not run the request.
    not_run: bool
    # Address of another worker that caused the failure, or empty.
    faulty_worker: str = ''
    # The worker is about to stop and wants no new requests.
    is_leaving: bool = False
    # The worker refused and wants nothing for this time.
    retry_after: Millis | None = None
    # Requests a second that the worker takes from all gateways; None if it
    # names no limit.
    request_limit: float | None = None


class WorkerCall(NamedTuple):
    """A call to a worker by the gateway itself."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class ReservationResponse(NamedTuple):
    """A worker's response to a reserve or release call."""

    # The memory is reserved or released, as requested.
    done: bool
    # The worker did not execute the call. If neither is set, it may have.
    refused: bool


class LoadReport(NamedTuple):
    """A worker's report of its load, as of about 100 ms ago."""

    # Slowdown factor; 1 is healthy.
    pace: float
    # Unix ms at which the worker started; None if it does not say.
    started_at: int | None = None


class Dialect(Protocol):
    """Parses and builds headers and calls of one wire format."""

    def parse_request(self, request: Request) -> CallerRequest | BadRequest:
        """Parse the headers of a caller's request."""

    def worker_headers(
        self, request: Request, context: ForwardContext
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of the request as forwarded to a worker."""

    def parse_response(self, head: ResponseHead) -> WorkerResponse:
        """Parse the headers of a worker's response."""

    def parse_load_report(self, body: bytes) -> LoadReport | None:
        """Parse the response to a probe; None if it is malformed."""

    def probe_call(self, worker_id: str) -> WorkerCall:
        """Return a call that a live worker answers at once."""

    def reserve_call(
        self, worker_id: str, reservation_id: str, tokens: int, lease: Millis
    ) -> WorkerCall:
        """Return the call that reserves memory or renews its lease."""

    def release_call(self, worker_id: str, reservation_id: str) -> WorkerCall:
        """Return the call that releases reserved memory."""

    def is_misdirected(self, status: int) -> bool:
        """Return whether another worker than the expected one answered."""

    def expects_version(self, request: Request) -> bool:
        """Return whether a worker may also refuse for its version's sake.

        The status is then that of another worker than the expected one.
        """

    def parse_reservation_response(self, status: int) -> ReservationResponse:
        """Interpret the status of a reserve or release call."""

    def caller_headers(self, head: ResponseHead) -> list[tuple[bytes, bytes]]:
        """Return the headers of a worker's response for the caller."""

    def refusal_headers(
        self, attempt_id: str, retry_after: Millis | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a response by the gateway itself."""
