"""Callers of the soak, which check every response they receive."""

import asyncio
import contextlib
import itertools
import random
from collections.abc import Iterable
from typing import NamedTuple

from tests.gateway_harness import Response, read_response
from tools.soak.findings import NOT_RUN, Findings
from tools.soak.worker_trouble import CRASHING_PART, CRASHING_PATH
from verbenathread.clock import Clock, seconds
from verbenathread.types import Address, Millis

KEY = 'k-night'
HOST = 'desk.example'
# Time limit of the routes, and how much later a final response may arrive.
TIME_LIMIT: Millis = 3000
_ANSWER_GRACE: Millis = 500
# Deadline that callers send; longer than the time limit of the routes.
_CLIENT_TIMEOUT: Millis = 6000
_MEAN_PAUSE: Millis = 120
_STATUSES_PER_CLASS = 100
_SUCCESS_CLASS = 2
_CLIENT_ERROR_CLASS = 4
_FIRST_SERVER_ERROR = 500
_REDIRECT = 307
_MAX_CALLS = 3
# A fault may still affect requests this long after its end.
_RECOVERY_TIME: Millis = 3000
# A request that is sent while its connection closes fails within this time.
_CLOSE_RACE_LIMIT: Millis = 200
# Share of the requests that callers abort, and how long after sending.
_ABORT_SHARE = 0.03
_ABORT_AFTER: Millis = 60


class RequestKind(NamedTuple):
    """A kind of request that callers send."""

    name: str
    # Relative frequency among all requests.
    weight: int
    method: str
    path: str
    # Prompt and output tokens; empty for a plain service.
    tokens: str = ''
    events: int = 0
    # Parts of the prompt that others may share.
    shared_parts: str = ''
    # The path is the same each time; it names the request otherwise.
    is_repeated: bool = False


REQUEST_KINDS = (
    RequestKind('short', 10, 'POST', '/note/12/', '4000,500', 12, 'a1:40'),
    # Exceeds the memory of one engine.
    RequestKind('large', 2, 'POST', '/file/8/', '300000,400', 8),
    RequestKind('hold', 6, 'POST', '/hold/'),
    RequestKind('check', 5, 'GET', '/check/'),
)
CRASHING_KINDS = (
    RequestKind(
        'crashing prompt',
        1,
        'POST',
        '/note/12/',
        '4000,500',
        12,
        f'a1:40,{CRASHING_PART}:30',
    ),
    RequestKind('crashing call', 1, 'GET', CRASHING_PATH, is_repeated=True),
)


class _Connection(NamedTuple):
    """A persistent connection to a gateway."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Caller:
    """Sends one request after another to random gateways."""

    def __init__(
        self,
        name: str,
        gateways: list[Address],
        findings: Findings,
        clock: Clock,
    ) -> None:
        """Call any of ``gateways``; ``name`` seeds the random requests."""
        self._name = name
        self._gateways = gateways
        self._findings = findings
        self._clock = clock
        self._random = random.Random(name)
        self._numbers = itertools.count(1)
        self._connection: _Connection | None = None

    async def run(self) -> None:
        """Send requests until cancelled."""
        kinds = (*REQUEST_KINDS, *CRASHING_KINDS)
        weights = [kind.weight for kind in kinds]
        while True:
            pause = self._random.randint(1, 2 * _MEAN_PAUSE)
            await asyncio.sleep(seconds(pause))
            kind = self._random.choices(kinds, weights)[0]
            aborts = self._random.random() < _ABORT_SHARE
            await self.send(kind, aborts=aborts)

    async def send(self, kind: RequestKind, *, aborts: bool = False) -> bool:
        """Send one request; return whether it was served."""
        attempt_id = f'{self._name}-{next(self._numbers)}'
        sent_at = self._clock.now()
        response: Response | None = None
        try:
            response = await self._exchange(kind, attempt_id, aborts=aborts)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.close()
        took = self._clock.now() - sent_at
        if response is None:
            if not aborts:
                self._check_missing_answer(attempt_id, sent_at)
            return False
        self._check_duration(attempt_id, sent_at, took)
        if not response.complete:
            self._check_missing_answer(attempt_id, sent_at)
        connection = response.header_by_name.get('connection')
        if connection == 'close' or not response.complete:
            self.close()
        return self._check_response(kind, attempt_id, response)

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self._connection is not None:
            self._connection.writer.close()
            self._connection = None

    async def _exchange(
        self, kind: RequestKind, attempt_id: str, *, aborts: bool
    ) -> Response | None:
        if self._connection is None:
            gateway = self._random.choice(self._gateways)
            opened = await asyncio.open_connection(*gateway)
            self._connection = _Connection(*opened)
        reader, writer = self._connection
        writer.write(request_bytes(kind, attempt_id))
        if aborts:
            await asyncio.sleep(seconds(_ABORT_AFTER))
            self.close()
            return None
        async with asyncio.timeout(seconds(_CLIENT_TIMEOUT)):
            return await read_response(reader)

    def _check_missing_answer(self, attempt_id: str, sent_at: Millis) -> None:
        """Report a lost response that no unplanned fault explains."""
        self._findings.outcomes['no answer'] += 1
        now = self._clock.now()
        unread = attempt_id not in self._findings.arrived
        if unread and now - sent_at < _CLOSE_RACE_LIMIT:
            # The connection closed before the gateway read the request.
            return
        if self._findings.is_fault_free(
            sent_at - _RECOVERY_TIME, now, ignore_planned=True
        ):
            self._findings.report_violation('LOST', attempt_id)

    def _check_duration(
        self, attempt_id: str, sent_at: Millis, took: Millis
    ) -> None:
        if took < TIME_LIMIT:
            return
        now = self._clock.now()
        if self._findings.is_fault_free(sent_at - _RECOVERY_TIME, now):
            is_late = took > TIME_LIMIT + _ANSWER_GRACE
            self._findings.record_timed_out(late=is_late)

    def _check_response(
        self, kind: RequestKind, attempt_id: str, response: Response
    ) -> bool:
        status_class = response.status // _STATUSES_PER_CLASS
        self._findings.outcomes[f'{kind.name} {response.status}'] += 1
        if kind.name == 'hold':
            self._findings.record_answer(attempt_id, response.status)
        if (
            status_class == _CLIENT_ERROR_CLASS
            and response.status not in NOT_RUN
        ):
            self._findings.report_violation(
                'DENIED', f'{attempt_id} {response.status}'
            )
        if status_class != _SUCCESS_CLASS:
            return False
        if not self._matches_attempt(attempt_id, response):
            self._findings.report_violation('MIXED', f'{attempt_id} {response}')
        if kind.events:
            return self._check_events(kind, attempt_id, response)
        if response.body != f'done {attempt_id}'.encode():
            self._findings.report_violation(
                'MIXED', f'{attempt_id} {response.body!r}'
            )
        return True

    def _matches_attempt(self, attempt_id: str, response: Response) -> bool:
        headers = response.header_by_name
        stamp = headers.get('response-stamp')
        return (
            headers.get('attempt-id') == attempt_id
            and stamp == f'stamp-{attempt_id}'
        )

    def _check_events(
        self, kind: RequestKind, attempt_id: str, response: Response
    ) -> bool:
        events = response.body.decode().split('\n\n')[:-1]
        expected = [
            f'id: {number}\ndata: {attempt_id}-{number}'
            for number in range(1, kind.events + 1)
        ]
        if events != expected[: len(events)]:
            self._findings.report_violation('ORDER', f'{attempt_id} {events}')
        if response.complete and len(events) != kind.events:
            self._findings.report_violation(
                'ORDER', f'{attempt_id} ends at {len(events)}'
            )
        return response.complete


def request_bytes(kind: RequestKind, attempt_id: str) -> bytes:
    """Return the bytes of a request as a caller sends it."""
    tokens = f'Token-Usage: {kind.tokens}\r\n' if kind.tokens else ''
    prompt = ''
    if kind.shared_parts:
        prompt = f'Prompt-Prefix: {kind.shared_parts},{attempt_id}:30\r\n'
    path = kind.path if kind.is_repeated else f'{kind.path}{attempt_id}'
    head = (
        f'{kind.method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Attempt-Id: {attempt_id}\r\nDeadline-Ms: {_CLIENT_TIMEOUT}\r\n'
        f'Authorization: Bearer {KEY}\r\n{tokens}{prompt}Content-Length: 0\r\n\r\n'
    )
    return head.encode()


async def call_once(
    address: Address,
    method: str,
    path: str,
    content: bytes = b'',
    limit: float = 1.0,
) -> Response | None:
    """Send one call on a new connection; return None on no response."""
    writer: asyncio.StreamWriter | None = None
    with contextlib.ExitStack() as stack:
        try:
            async with asyncio.timeout(limit):
                reader, writer = await asyncio.open_connection(*address)
                stack.callback(writer.close)
                writer.write(_plain_request(method, path, content))
                return await read_response(reader)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return None


def _plain_request(method: str, path: str, content: bytes) -> bytes:
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Attempt-Id: probe-{path.strip("/")}\r\n'
        f'Content-Length: {len(content)}\r\n\r\n'
    )
    return head.encode() + content


def redirect_address(response: Response) -> Address | None:
    """Return the address that a redirect points to."""
    location = response.header_by_name.get('location', '')
    parts = location.split('/')
    if len(parts) < 3:
        return None
    host, _, port = parts[2].partition(':')
    return Address(host, int(port))


async def call_any(
    addresses: Iterable[Address], method: str, path: str, content: bytes
) -> Response | None:
    """Return the first response below 500 of ``addresses``, or None."""
    for address in addresses:
        response = await _call_with_redirects(address, method, path, content)
        if response is not None and response.status < _FIRST_SERVER_ERROR:
            return response
    return None


async def _call_with_redirects(
    address: Address, method: str, path: str, content: bytes
) -> Response | None:
    """Call ``address`` and follow at most two redirects."""
    target: Address | None = address
    for _ in range(_MAX_CALLS):
        if target is None:
            break
        response = await call_once(target, method, path, content)
        if response is None or response.status != _REDIRECT:
            return response
        target = redirect_address(response)
    return None
