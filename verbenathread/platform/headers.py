"""Headers of requests and answers on the platform."""

import json
from typing import Any, Final

from verbenathread.http1.messages import (
    Request,
    ResponseHead,
    end_to_end_headers,
)
from verbenathread.platform.bodies import (
    MALFORMED_BODY_ERRORS,
    InvalidBodyError,
    read_object,
)
from verbenathread.serving.dialect import (
    BadRequest,
    CallerRequest,
    ForwardContext,
    LoadReport,
    ReservationResponse,
    WorkerCall,
    WorkerResponse,
)
from verbenathread.serving.types import Prompt
from verbenathread.types import Millis

# The caller's attempt, not one send of ours.
_ATTEMPT: Final = b'attempt-id'
_TIME_LEFT: Final = b'deadline-ms'
_KEY: Final = b'authorization'
_BEARER: Final = b'bearer '
_ACCOUNT: Final = b'tenant'
_WORKER: Final = b'expect-instance'
_URGENCY: Final = b'request-priority'
_RESUME: Final = b'last-event-id'
_HOLDERS: Final = b'helpers'
# Prompt tokens and the most output tokens, not what was used.
_PROMPT: Final = b'token-usage'
_EXPECTED_OUTPUT: Final = b'length-hint'
_SIGNATURE: Final = b'response-stamp'
_AT_FAULT: Final = b'at-server'
_NOT_RUN: Final = b'not-executed'
_RETRY_AFTER: Final = b'Retry-After'
_HOST: Final = b'host'
# Another worker than the one meant answers with this status.
_MISDIRECTED: Final = 421
_OK: Final = 200
_BAD_REQUEST: Final = 400
_CONFLICT: Final = 409
_MS_PER_SECOND: Final = 1000
# Set by the gateway, whatever the caller sent.
_GATEWAY_HEADERS: Final = frozenset(
    (_TIME_LEFT, _KEY, _ACCOUNT, _WORKER, _URGENCY, _HOLDERS, _RESUME)
)


class PlatformDialect:
    """Reads and writes the platform's headers."""

    def parse_request(self, request: Request) -> CallerRequest | BadRequest:
        """Read a caller's headers."""
        values = request.value_by_name
        attempt_id = values.get(_ATTEMPT, b'').decode('latin-1')
        host = values.get(_HOST, b'').decode('latin-1')
        if not attempt_id or not host:
            return BadRequest('Host or the identifier of the attempt is absent')
        try:
            return CallerRequest(
                attempt_id=attempt_id,
                time_left=_parse_number(values.get(_TIME_LEFT)),
                host=host.partition(':')[0].lower(),
                path=request.path.decode('latin-1'),
                key=_parse_bearer_key(values.get(_KEY)),
                prompt=_parse_prompt(values),
                last_event_id=_parse_number(values.get(_RESUME)),
            )
        except ValueError:
            return BadRequest('a header that holds a number holds none')

    def worker_headers(
        self, request: Request, context: ForwardContext
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers with which the request goes to a worker."""
        headers = []
        for name, text in end_to_end_headers(
            request.headers, request.value_by_name
        ):
            if name.lower() not in _GATEWAY_HEADERS:
                headers.append((name, text))
        headers.append((b'Deadline-Ms', b'%d' % context.time_left))
        headers.append((b'Expect-Instance', context.worker_id.encode()))
        if context.account is not None:
            headers.append((b'Tenant', context.account.encode()))
        if context.priority is not None:
            headers.append((b'Request-Priority', b'%d' % context.priority))
        if context.last_event_id is not None:
            headers.append((b'Last-Event-Id', b'%d' % context.last_event_id))
        if context.helpers:
            headers.append((b'Helpers', _encode_helpers(context)))
        return headers

    def parse_response(self, head: ResponseHead) -> WorkerResponse:
        """Read a worker's headers."""
        values = head.value_by_name
        return WorkerResponse(
            attempt_id=values.get(_ATTEMPT, b'').decode('latin-1'),
            signed=_SIGNATURE in values,
            not_run=_NOT_RUN in values or head.status == _MISDIRECTED,
            faulty_worker=values.get(_AT_FAULT, b'').decode('latin-1'),
        )

    def parse_load_report(self, body: bytes) -> LoadReport | None:
        """Read the answer to a probe; None when it can't be read."""
        try:
            return _decode_report(read_object(body))
        except InvalidBodyError:
            return None
        except MALFORMED_BODY_ERRORS:
            return None

    def probe_call(self, worker_id: str) -> WorkerCall:
        """Return a call that a living worker answers at once."""
        return WorkerCall(
            b'GET', b'/report', ((b'Expect-Instance', worker_id.encode()),), b''
        )

    def reserve_call(
        self, worker_id: str, reservation_id: str, tokens: int, lease: Millis
    ) -> WorkerCall:
        """Return the call that sets memory aside, or renews its lease."""
        said = {
            'operation': 'reserve',
            'id': reservation_id,
            'tokens': tokens,
            'hold-ms': lease,
        }
        return _order_call(worker_id, said)

    def release_call(self, worker_id: str, reservation_id: str) -> WorkerCall:
        """Return the call that frees memory that was set aside."""
        return _order_call(
            worker_id, {'operation': 'release', 'id': reservation_id}
        )

    def parse_reservation_response(self, status: int) -> ReservationResponse:
        """Read the answer to either call."""
        return ReservationResponse(
            done=status == _OK,
            refused=status in {_CONFLICT, _BAD_REQUEST, _MISDIRECTED},
        )

    def caller_headers(self, head: ResponseHead) -> list[tuple[bytes, bytes]]:
        """Return the headers of a worker's answer for the caller."""
        return end_to_end_headers(head.headers, head.value_by_name)

    def refusal_headers(
        self, attempt_id: str, retry_after: Millis | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of an answer that no worker gave."""
        headers = []
        if attempt_id:
            headers.append((b'Attempt-Id', attempt_id.encode('latin-1')))
        if retry_after is not None:
            text = f'{retry_after / _MS_PER_SECOND:.3f}'.encode()
            headers.append((_RETRY_AFTER, text))
        return headers


def _order_call(worker_id: str, said: dict[str, object]) -> WorkerCall:
    headers = (
        (b'Content-Type', b'application/json'),
        (b'Expect-Instance', worker_id.encode()),
    )
    return WorkerCall(b'POST', b'/order', headers, json.dumps(said).encode())


def _decode_report(said: dict[str, Any]) -> LoadReport:
    return LoadReport(
        pace=float(said.get('pace', 1)),
    )


def _parse_number(text: bytes | None) -> int | None:
    return None if text is None else int(text)


def _parse_bearer_key(text: bytes | None) -> str | None:
    if text is None or text[: len(_BEARER)].lower() != _BEARER:
        return None
    return text[len(_BEARER) :].strip().decode('latin-1')


def _parse_prompt(values: dict[bytes, bytes]) -> Prompt | None:
    sizes = values.get(_PROMPT)
    if sizes is None:
        return None
    tokens, _, most_output = sizes.partition(b',')
    most = int(most_output)
    expected = _parse_number(values.get(_EXPECTED_OUTPUT))
    return Prompt(int(tokens), most, most if expected is None else expected)


def _encode_helpers(context: ForwardContext) -> bytes:
    parts = []
    for holder in context.helpers:
        ticket = holder.reservation_id
        parts.append(
            f'{holder.address}/{ticket}' if ticket else f'{holder.address}'
        )
    return ','.join(parts).encode()
