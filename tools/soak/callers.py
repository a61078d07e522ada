"""Callers of the soak, which check each answer that they get."""

import asyncio
import contextlib
import itertools
import random
from collections.abc import Iterable
from typing import NamedTuple

from tests.gateway_harness import Response, read_response
from tools.soak.findings import NOT_RUN, Findings
from verbenathread.clock import Clock, seconds
from verbenathread.types import Address, Millis

KEY = 'k-night'
HOST = 'desk.example'
# The routes' time limit, and how much later a final answer may come.
TIME_LIMIT: Millis = 3000
_ANSWER_GRACE: Millis = 500
# What callers say they wait: longer than the routes allow.
_CLIENT_TIMEOUT: Millis = 6000
_MEAN_PAUSE: Millis = 120
_STATUS_CLASS = 100
_SUCCESS = 2
_CLIENT_FAULT = 4
_SERVER_FAULT = 500
_REDIRECT = 307
_MAX_CALLS = 3
_RECOVERY_TIME: Millis = 3000
# A request that crosses a close ends within this.
_CLOSE_RACE_LIMIT: Millis = 200
# Share of the requests whose callers leave, and after how long.
_ABORT_SHARE = 0.03
_ABORT_AFTER: Millis = 60


class RequestKind(NamedTuple):
    """A request of one kind."""

    name: str
    # Share among all requests.
    weight: int
    method: str
    path: str
    # Prompt and output tokens; none for a plain service.
    tokens: str = ''
    events: int = 0


REQUEST_KINDS = (
    RequestKind('short', 10, 'POST', '/note/12/', '4000,500', 12),
    # Larger than one engine's memory.
    RequestKind('large', 2, 'POST', '/file/8/', '300000,400', 8),
    RequestKind('hold', 6, 'POST', '/hold/'),
    RequestKind('check', 5, 'GET', '/check/'),
)


class _Connection(NamedTuple):
    """A connection to a gateway, kept for as long as it is open."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Caller:
    """Sends one request after the other to gateways."""

    def __init__(
        self,
        name: str,
        gateways: list[Address],
        findings: Findings,
        clock: Clock,
    ) -> None:
        """Ask any of ``gateways``; ``name`` seeds what is asked."""
        self._name = name
        self._gateways = gateways
        self._findings = findings
        self._clock = clock
        self._random = random.Random(name)
        self._numbers = itertools.count(1)
        self._connection: _Connection | None = None

    async def run(self) -> None:
        """Ask until cancelled."""
        weights = [ask.weight for ask in REQUEST_KINDS]
        while True:
            pause = self._random.randint(1, 2 * _MEAN_PAUSE)
            await asyncio.sleep(seconds(pause))
            ask = self._random.choices(REQUEST_KINDS, weights)[0]
            leaves = self._random.random() < _ABORT_SHARE
            await self.send(ask, aborts=leaves)

    async def send(self, ask: RequestKind, *, aborts: bool = False) -> bool:
        """Send one request; tell whether it was served."""
        attempt_id = f'{self._name}-{next(self._numbers)}'
        sent_at = self._clock.now()
        answered: Response | None = None
        try:
            answered = await self._exchange(ask, attempt_id, aborts=aborts)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.close()
        took = self._clock.now() - sent_at
        if answered is None:
            if not aborts:
                self._check_missing_answer(attempt_id, sent_at)
            return False
        self._check_duration(attempt_id, sent_at, took)
        if not answered.complete:
            self._check_missing_answer(attempt_id, sent_at)
        says = answered.header_by_name.get('connection')
        if says == 'close' or not answered.complete:
            self.close()
        return self._check_response(ask, attempt_id, answered)

    def close(self) -> None:
        """Use another connection from now on."""
        if self._connection is not None:
            self._connection.writer.close()
            self._connection = None

    async def _exchange(
        self, ask: RequestKind, attempt_id: str, *, aborts: bool
    ) -> Response | None:
        if self._connection is None:
            gateway = self._random.choice(self._gateways)
            opened = await asyncio.open_connection(*gateway)
            self._connection = _Connection(*opened)
        reader, writer = self._connection
        writer.write(request_bytes(ask, attempt_id))
        if aborts:
            await asyncio.sleep(seconds(_ABORT_AFTER))
            self.close()
            return None
        async with asyncio.timeout(seconds(_CLIENT_TIMEOUT)):
            return await read_response(reader)

    def _check_missing_answer(self, attempt_id: str, sent_at: Millis) -> None:
        """Planned work alone must not cost a caller its answer."""
        self._findings.outcomes['no answer'] += 1
        now = self._clock.now()
        crossed = attempt_id not in self._findings.arrived
        if crossed and now - sent_at < _CLOSE_RACE_LIMIT:
            # It crossed the close of its connection and was read by nobody.
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
            late = took > TIME_LIMIT + _ANSWER_GRACE
            self._findings.record_timed_out(late=late)

    def _check_response(
        self, ask: RequestKind, attempt_id: str, answered: Response
    ) -> bool:
        family = answered.status // _STATUS_CLASS
        self._findings.outcomes[f'{ask.name} {answered.status}'] += 1
        if ask.name == 'hold':
            self._findings.record_answer(attempt_id, answered.status)
        if family == _CLIENT_FAULT and answered.status not in NOT_RUN:
            self._findings.report_violation(
                'DENIED', f'{attempt_id} {answered.status}'
            )
        if family != _SUCCESS:
            return False
        if not self._matches_attempt(attempt_id, answered):
            self._findings.report_violation('MIXED', f'{attempt_id} {answered}')
        if ask.events:
            return self._check_events(ask, attempt_id, answered)
        if answered.body != f'done {attempt_id}'.encode():
            self._findings.report_violation(
                'MIXED', f'{attempt_id} {answered.body!r}'
            )
        return True

    def _matches_attempt(self, attempt_id: str, answered: Response) -> bool:
        headers = answered.header_by_name
        stamp = headers.get('response-stamp')
        return (
            headers.get('attempt-id') == attempt_id
            and stamp == f'stamp-{attempt_id}'
        )

    def _check_events(
        self, ask: RequestKind, attempt_id: str, answered: Response
    ) -> bool:
        got = answered.body.decode().split('\n\n')[:-1]
        expected = [
            f'id: {number}\ndata: {attempt_id}-{number}'
            for number in range(1, ask.events + 1)
        ]
        if got != expected[: len(got)]:
            self._findings.report_violation('ORDER', f'{attempt_id} {got}')
        if answered.complete and len(got) != ask.events:
            self._findings.report_violation(
                'ORDER', f'{attempt_id} ends at {len(got)}'
            )
        return answered.complete


def request_bytes(ask: RequestKind, attempt_id: str) -> bytes:
    """Return a request as a caller sends it."""
    tokens = f'Token-Usage: {ask.tokens}\r\n' if ask.tokens else ''
    head = (
        f'{ask.method} {ask.path}{attempt_id} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Attempt-Id: {attempt_id}\r\nDeadline-Ms: {_CLIENT_TIMEOUT}\r\n'
        f'Authorization: Bearer {KEY}\r\n{tokens}Content-Length: 0\r\n\r\n'
    )
    return head.encode()


async def call_once(
    address: Address,
    method: str,
    path: str,
    content: bytes = b'',
    limit: float = 1.0,
) -> Response | None:
    """Send one call on a connection of its own; None without an answer."""
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


def redirect_address(answered: Response) -> Address | None:
    """Return where a redirect leads."""
    location = answered.header_by_name.get('location', '')
    parts = location.split('/')
    if len(parts) < 3:
        return None
    host, _, port = parts[2].partition(':')
    return Address(host, int(port))


async def call_any(
    addresses: Iterable[Address], method: str, path: str, content: bytes
) -> Response | None:
    """Ask one after the other; None when none can tell."""
    for address in addresses:
        answered = await _call_with_redirects(address, method, path, content)
        if answered is not None and answered.status < _SERVER_FAULT:
            return answered
    return None


async def _call_with_redirects(
    address: Address, method: str, path: str, content: bytes
) -> Response | None:
    """Follow redirects from ``address``, twice at most."""
    there: Address | None = address
    for _ in range(_MAX_CALLS):
        if there is None:
            break
        answered = await call_once(there, method, path, content)
        if answered is None or answered.status != _REDIRECT:
            return answered
        there = redirect_address(answered)
    return None
