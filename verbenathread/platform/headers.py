"""Request and response headers of the platform."""

import json
import math
from typing import Any, Final

from verbenathread.http1.messages import (
    Request,
    ResponseHead,
    end_to_end_headers,
)
from verbenathread.observability.logs import get_logger
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

_log = get_logger('platform')

# Identifies the caller's attempt, not a single upstream send.
_ATTEMPT_ID: Final = b'attempt-id'
_DEADLINE: Final = b'deadline-ms'
_AUTHORIZATION: Final = b'authorization'
_BEARER: Final = b'bearer '
_TENANT: Final = b'tenant'
_EXPECTED_WORKER: Final = b'expect-instance'
_EXPECTED_VERSION: Final = b'expect-version'
_PRIORITY: Final = b'request-priority'
_LAST_EVENT_ID: Final = b'last-event-id'
_HELPERS: Final = b'helpers'
# Holds the prompt tokens and the output token limit, not actual usage.
_TOKEN_USAGE: Final = b'token-usage'
_LENGTH_HINT: Final = b'length-hint'
# Parts of the prompt as ID:TOKENS; the last one is the request's own.
_PROMPT_PARTS: Final = b'prompt-prefix'
_RESPONSE_STAMP: Final = b'response-stamp'
_FAULTY_WORKER: Final = b'at-server'
_NOT_RUN: Final = b'not-executed'
_RETRY_AFTER: Final = b'Retry-After'
_LEAVING: Final = b'server-leaving'
_LEAVING_VALUE: Final = b'1'
# Requests a second, from all gateways together.
_REQUEST_LIMIT: Final = b'server-limit'
_UNAVAILABLE: Final = 503
_HOST: Final = b'host'
# Status of a worker other than the expected one.
_MISDIRECTED: Final = 421
_OK: Final = 200
_BAD_REQUEST: Final = 400
_CONFLICT: Final = 409
_MS_PER_SECOND: Final = 1000
# Notices carry the pace in hundredths, in 32 bits.
_MAX_PACE: Final = 10_000
# Largest numbers that these messages carry: tokens, and ids of events.
_MAX_TOKENS: Final = 0xFFFFFFFF
_MAX_NUMBER: Final = (1 << 63) - 1  # noqa: WPS432
# Bytes of a malformed value that are logged.
_MAX_LOGGED: Final = 64
# Longer ids and further parts are ignored; a notice of all parts has to fit
# into a datagram.
_MAX_PART_ID: Final = 32
_MAX_SHARED_PARTS: Final = 32
# Not forwarded from the caller; the gateway writes its own values.
_GATEWAY_HEADERS: Final = frozenset(
    (
        _DEADLINE,
        _AUTHORIZATION,
        _TENANT,
        _EXPECTED_WORKER,
        _PRIORITY,
        _HELPERS,
        _LAST_EVENT_ID,
    )
)


class PlatformDialect:
    """Implements the dialect of the platform."""

    def parse_request(self, request: Request) -> CallerRequest | BadRequest:
        """Parse a caller's headers."""
        values = request.value_by_name
        attempt_id = values.get(_ATTEMPT_ID, b'').decode('latin-1')
        host = values.get(_HOST, b'').decode('latin-1')
        if not attempt_id or not host:
            return BadRequest('the Host or Attempt-Id header is missing')
        try:
            return CallerRequest(
                attempt_id=attempt_id,
                time_left=_parse_number(values.get(_DEADLINE)),
                host=host.partition(':')[0].lower(),
                path=request.path.decode('latin-1'),
                key=_parse_bearer_key(values.get(_AUTHORIZATION)),
                prompt=_parse_prompt(values),
                last_event_id=_parse_number(values.get(_LAST_EVENT_ID)),
            )
        except ValueError:
            return BadRequest(
                'a Deadline-Ms, Last-Event-Id, Token-Usage or Length-Hint'
                ' header is not a number, or is out of range'
            )

    def worker_headers(
        self, request: Request, context: ForwardContext
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of the request to a worker."""
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
        """Parse a worker's headers."""
        values = head.value_by_name
        return WorkerResponse(
            attempt_id=values.get(_ATTEMPT_ID, b'').decode('latin-1'),
            has_stamp=_RESPONSE_STAMP in values,
            not_run=_NOT_RUN in values or head.status == _MISDIRECTED,
            faulty_worker=values.get(_FAULTY_WORKER, b'').decode('latin-1'),
            is_leaving=values.get(_LEAVING, b'').strip() == _LEAVING_VALUE,
            retry_after=_parse_retry_after(head),
            request_limit=_parse_request_limit(values.get(_REQUEST_LIMIT)),
        )

    def parse_load_report(self, body: bytes) -> LoadReport | None:
        """Parse the response to a probe; None if it is invalid."""
        try:
            return _decode_report(read_object(body))
        except InvalidBodyError:
            return None
        except MALFORMED_BODY_ERRORS:
            return None

    def probe_call(self, worker_id: str) -> WorkerCall:
        """Return a probe that a live worker answers immediately."""
        return WorkerCall(
            b'GET', b'/report', ((b'Expect-Instance', worker_id.encode()),), b''
        )

    def reserve_call(
        self, worker_id: str, reservation_id: str, tokens: int, lease: Millis
    ) -> WorkerCall:
        """Return the call that reserves memory or renews its lease."""
        order = {
            'operation': 'reserve',
            'id': reservation_id,
            'tokens': tokens,
            'hold-ms': lease,
        }
        return _order_call(worker_id, order)

    def release_call(self, worker_id: str, reservation_id: str) -> WorkerCall:
        """Return the call that releases reserved memory."""
        return _order_call(
            worker_id, {'operation': 'release', 'id': reservation_id}
        )

    def is_misdirected(self, status: int) -> bool:
        """Return whether another worker than the expected one answered."""
        return status == _MISDIRECTED

    def expects_version(self, request: Request) -> bool:
        """Return whether the caller asks for one version of the weights."""
        return _EXPECTED_VERSION in request.value_by_name

    def parse_reservation_response(self, status: int) -> ReservationResponse:
        """Parse the response to a reserve or release call."""
        return ReservationResponse(
            done=status == _OK,
            refused=status in {_CONFLICT, _BAD_REQUEST, _MISDIRECTED},
        )

    def caller_headers(self, head: ResponseHead) -> list[tuple[bytes, bytes]]:
        """Return the headers of a worker's response to forward."""
        return end_to_end_headers(head.headers, head.value_by_name)

    def refusal_headers(
        self, attempt_id: str, retry_after: Millis | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of an error response by the gateway itself."""
        headers = []
        if attempt_id:
            headers.append((b'Attempt-Id', attempt_id.encode('latin-1')))
        if retry_after is not None:
            text = f'{retry_after / _MS_PER_SECOND:.3f}'.encode()
            headers.append((_RETRY_AFTER, text))
        return headers


def _order_call(worker_id: str, order: dict[str, object]) -> WorkerCall:
    headers = (
        (b'Content-Type', b'application/json'),
        (b'Expect-Instance', worker_id.encode()),
    )
    return WorkerCall(b'POST', b'/order', headers, json.dumps(order).encode())


def _decode_report(fields: dict[str, Any]) -> LoadReport:
    born = fields.get('born')
    pace = float(fields.get('pace', 1))
    if not 0 < pace <= _MAX_PACE:
        raise ValueError(f'the pace {pace} is out of range')
    return LoadReport(
        pace=pace,
        started_at=born if isinstance(born, int) else None,
    )


def _parse_retry_after(head: ResponseHead) -> Millis | None:
    """Return the time that a refusal names; None if there is no valid one."""
    text = head.value_by_name.get(_RETRY_AFTER.lower())
    if text is None or head.status != _UNAVAILABLE:
        return None
    try:
        wait = float(text)
    except ValueError:
        wait = math.nan
    if wait > 0 and math.isfinite(wait):
        return math.ceil(wait * _MS_PER_SECOND)
    if wait:
        _log.warning(
            'Ignoring a Retry-After that is no number of seconds.',
            value=text[:_MAX_LOGGED].decode('latin-1'),
        )
    return None


def _parse_request_limit(text: bytes | None) -> float | None:
    """Return the requests a second; None if there is no valid number."""
    if text is None:
        return None
    try:
        limit = float(text)
    except ValueError:
        limit = math.nan
    if limit >= 0 and math.isfinite(limit):
        return limit
    _log.warning(
        'Ignoring a Server-Limit that is no number of requests a second.',
        value=text[:_MAX_LOGGED].decode('latin-1'),
    )
    return None


def _parse_number(text: bytes | None, most: int = _MAX_NUMBER) -> int | None:
    """Return a number from 0 to ``most``; raises ValueError."""
    if text is None:
        return None
    number = int(text)
    if not 0 <= number <= most:
        raise ValueError(f'{number} is out of range')
    return number


def _parse_bearer_key(text: bytes | None) -> str | None:
    if text is None or text[: len(_BEARER)].lower() != _BEARER:
        return None
    return text[len(_BEARER) :].strip().decode('latin-1')


def _parse_prompt(values: dict[bytes, bytes]) -> Prompt | None:
    sizes = values.get(_TOKEN_USAGE)
    if sizes is None:
        return None
    tokens, _, output_limit = sizes.partition(b',')
    max_output = _parse_number(output_limit, _MAX_TOKENS) or 0
    expected = _parse_number(values.get(_LENGTH_HINT), _MAX_TOKENS)
    return Prompt(
        _parse_number(tokens, _MAX_TOKENS) or 0,
        max_output,
        max_output if expected is None else expected,
        _parse_shared_parts(values.get(_PROMPT_PARTS, b'')),
    )


def _parse_shared_parts(text: bytes) -> tuple[str, ...]:
    """Return the ids of all parts but the last one."""
    parts: list[str] = []
    entries = text.split(b',')
    for entry in entries[: min(_MAX_SHARED_PARTS, len(entries) - 1)]:
        part = entry.partition(b':')[0].strip().lower()
        if part and len(part) <= _MAX_PART_ID:
            parts.append(part.decode('latin-1'))
    return tuple(parts)


def _encode_helpers(context: ForwardContext) -> bytes:
    parts = []
    for helper in context.helpers:
        reservation_id = helper.reservation_id
        parts.append(
            f'{helper.address}/{reservation_id}'
            if reservation_id
            else f'{helper.address}'
        )
    return ','.join(parts).encode()
