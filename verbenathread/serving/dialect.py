"""What a gateway needs of the language that callers and workers speak."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from verbenathread.http1.messages import Request, ResponseHead
from verbenathread.serving.types import Prompt
from verbenathread.types import Address, Millis


class CallerRequest(NamedTuple):
    """What the headers of a caller's request say."""

    attempt_id: str
    # Time that the caller still waits; None when it does not say.
    time_left: Millis | None
    host: str
    path: str
    key: str | None
    # None for a request to a plain service.
    prompt: Prompt | None
    # The caller resumes a stream after this event.
    last_event_id: int | None


class BadRequest(NamedTuple):
    """A request that can't be served as sent, and why."""

    message: str


class Helper(NamedTuple):
    """A worker that reads a part of a prompt, and memory set aside there."""

    address: Address
    # Empty where no memory is set aside.
    reservation_id: str


class ForwardContext(NamedTuple):
    """What a gateway tells a worker beside the caller's own headers."""

    worker_id: str
    time_left: Millis
    account: str | None
    # 0 is first; None leaves it to the worker.
    priority: int | None
    # Go on after this event of a stream that broke.
    last_event_id: int | None
    helpers: Sequence[Helper] = ()


class WorkerResponse(NamedTuple):
    """What the headers of a worker's answer say."""

    attempt_id: str
    # The worker signed it; without that it is no answer of a worker.
    signed: bool
    # The worker did not and will not run the request.
    not_run: bool
    # Address of another worker that is to blame; empty when there is none.
    faulty_worker: str = ''


class WorkerCall(NamedTuple):
    """A call to a worker that is no caller's request."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class ReservationResponse(NamedTuple):
    """What a worker said to a call about memory that is set aside."""

    # The memory is set aside, or free again, as was asked.
    done: bool
    # The worker did nothing; otherwise it may have, without a word.
    refused: bool


class LoadReport(NamedTuple):
    """What a worker says of its load; as of some 100 ms before."""

    # How much longer than a sound one it needs; 1 is sound.
    pace: float


class Dialect(Protocol):
    """Reads and writes headers."""

    def parse_request(self, request: Request) -> CallerRequest | BadRequest:
        """Read a caller's headers."""

    def worker_headers(
        self, request: Request, context: ForwardContext
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers with which the request goes to a worker."""

    def parse_response(self, head: ResponseHead) -> WorkerResponse:
        """Read a worker's headers."""

    def parse_load_report(self, body: bytes) -> LoadReport | None:
        """Read the answer to a probe; None when it can't be read."""

    def probe_call(self, worker_id: str) -> WorkerCall:
        """Return a call that a living worker answers at once."""

    def reserve_call(
        self, worker_id: str, reservation_id: str, tokens: int, lease: Millis
    ) -> WorkerCall:
        """Return the call that sets memory aside, or renews its lease."""

    def release_call(self, worker_id: str, reservation_id: str) -> WorkerCall:
        """Return the call that frees memory that was set aside."""

    def parse_reservation_response(self, status: int) -> ReservationResponse:
        """Read the answer to either call."""

    def caller_headers(self, head: ResponseHead) -> list[tuple[bytes, bytes]]:
        """Return the headers of a worker's answer for the caller."""

    def refusal_headers(
        self, attempt_id: str, retry_after: Millis | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of an answer that no worker gave."""
