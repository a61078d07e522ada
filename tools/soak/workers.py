"""Workers of the soak: engines that reserve memory, and a plain ledger."""

import asyncio
import contextlib
import json
import random
from collections.abc import Callable
from types import MappingProxyType
from typing import NamedTuple

from tests.standins import platform_worker as standin
from tests.standins.platform_worker import PlatformWorker, ReceivedRequest
from tests.standins.troubled_worker import shared_parts
from tools.soak.findings import Findings
from tools.soak.loopback_proxy import LoopbackProxy
from tools.soak.worker_trouble import (
    CRASHING_PART,
    CRASHING_PATH,
    CrashingRequests,
    NamedLimit,
)
from verbenathread.clock import Clock, seconds
from verbenathread.types import Millis

ACCOUNT = 'night'
ENGINE_SERVICE = 'desk'
LEDGER_SERVICE = 'ledger'
MEMORY_TOKENS = 232_000
# Time between two events of a stream, and duration of a plain call.
_EVENT_INTERVAL: Millis = 30
_PLAIN_CALL_TIME: Millis = 20
# A gateway may still forward requests that it routed just before it received
# the leave.
_DRAIN_LIMIT: Millis = 2000
# A gateway that a fault affected may receive a leave this much later.
_RECOVERY_TIME: Millis = 3000
_HANG_SECONDS = 30.0
# How much later the second copy of a refusal is sent.
_COPY_DELAY: Millis = 15
# Chunks of one byte that are sent at once, and how often.
_PIECES = 1000
_PIECE_ROUNDS = 400


class _Reservation(NamedTuple):
    """Reserved memory and the end of its lease."""

    tokens: int
    until: Millis


class SoakWorker:
    """One worker, at an address that earlier workers may have used."""

    def __init__(
        self,
        service: str,
        worker_id: str,
        proxy: LoopbackProxy,
        findings: Findings,
        crashing: CrashingRequests,
        clock: Clock,
    ) -> None:
        """Prepare to serve at ``proxy``; :meth:`start` begins."""
        self._crashing = crashing
        # Called when a request crashes this worker.
        self.on_crash: Callable[[SoakWorker], None] | None = None
        self.is_down = False
        # The limit that its answers name, if any.
        self.limit: NamedLimit | None = None
        self.service = service
        self.worker_id = worker_id
        self.address = proxy.listen
        self._proxy = proxy
        self._findings = findings
        self._clock = clock
        self._random = random.Random(worker_id)
        self._standin = PlatformWorker(worker_id, self._answer)
        self.sequence = 0
        self.born = clock.wall()
        # Share of the requests that this worker fails.
        self.failure_share: float = 0
        self.is_draining = False
        # Time at which its leave was acknowledged.
        self.drained_at: Millis | None = None
        self._reservation_by_id: dict[str, _Reservation] = {}
        self._used: set[str] = set()
        # All workers by address, to find the helpers of a request.
        self.peer_by_address: dict[str, SoakWorker] = {}

    async def start(self) -> None:
        """Listen, and make this worker the target of the proxy."""
        self._proxy.target = await self._standin.start()

    async def crash(self) -> None:
        """Reset all connections and stop at once."""
        self._proxy.reset()
        await self._standin.stop()

    def reservations(self) -> list[str]:
        """Return the ids of the unexpired reservations."""
        now = self._clock.now()
        for reservation_id, reservation in tuple(
            self._reservation_by_id.items()
        ):
            if reservation.until <= now:
                self._reservation_by_id.pop(reservation_id)
        return list(self._reservation_by_id)

    def begin_use(self, reservation_id: str) -> bool:
        """Mark a reservation as in use; return False if it does not exist."""
        if reservation_id not in self.reservations():
            return False
        if reservation_id in self._used:
            self._findings.report_violation(
                'LIMIT', f'{reservation_id} is used twice'
            )
        self._used.add(reservation_id)
        return True

    def end_use(self, reservation_id: str) -> None:
        """Mark a reservation as no longer in use."""
        self._used.discard(reservation_id)

    async def _answer(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if request.request_line.startswith('POST /order '):
            writer.write(self._handle_order(json.loads(request.body)))
            return
        if request.header_by_name.get('expect-instance') != self.worker_id:
            writer.write(
                standin.not_executed_response('421 Misdirected Request')
            )
            return
        self._check(request)
        if self.limit is not None:
            self.limit.record_arrival()
        if self._random.random() < self.failure_share:
            if await self._fail(request, writer):
                return
        if self.service == ENGINE_SERVICE:
            await self._generate(request, writer)
        else:
            await self._answer_plain(request, writer)

    def _check(self, request: ReceivedRequest) -> None:
        headers = request.header_by_name
        self._findings.arrived.add(request.attempt_id)
        # Probes of configuration versions use public routes, without account.
        account = '' if 'GET /v' in request.request_line else ACCOUNT
        if headers.get('tenant', '') != account:
            self._findings.report_violation(
                'UNASKED', f'account of {request.attempt_id}'
            )
        if 'authorization' in headers:
            self._findings.report_violation(
                'UNASKED', f'key of {request.attempt_id}'
            )
        if self.drained_at is None:
            return
        now = self._clock.now()
        fault_free = self._findings.is_fault_free(
            self.drained_at - _RECOVERY_TIME, now
        )
        if fault_free and now > self.drained_at + _DRAIN_LIMIT:
            late = now - self.drained_at
            self._findings.report_violation(
                'DRAIN', f'{self.worker_id} {late} ms late'
            )

    async def _fail(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Fail a request in a random way; return False to serve it as well."""
        fault = self._random.choice((*_FAULT_BY_NAME, 'extra'))
        if fault == 'extra':
            # A late response to a request that no client waits for any more.
            other = ReceivedRequest(
                b'GET / HTTP/1.1\r\nAttempt-Id: nobody\r\n', b''
            )
            writer.write(standin.signed_response(other, b'not yours'))
            return False
        if fault not in _REFUSALS:
            self._record_run(request)
        await _FAULT_BY_NAME[fault](request, writer)
        return True

    def _record_run(self, request: ReceivedRequest) -> None:
        if request.request_line.startswith('POST /hold/'):
            self._findings.record_run(request.attempt_id)

    async def _answer_plain(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        self._record_run(request)
        crashes = f' {CRASHING_PATH} ' in request.request_line
        if crashes:
            self._crashing.record_arrival(CRASHING_PATH, request.attempt_id)
        await asyncio.sleep(seconds(_PLAIN_CALL_TIME))
        if crashes:
            self._crash(CRASHING_PATH)
            return
        writer.write(
            standin.signed_response(
                request, f'done {request.attempt_id}'.encode()
            )
        )

    async def _generate(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        reservations = self._helper_reservations(request)
        for engine, reservation_id in reservations:
            if not engine.begin_use(reservation_id):
                writer.write(standin.not_executed_response())
                return
        with contextlib.ExitStack() as stack:
            for engine, reservation_id in reservations:
                stack.callback(engine.end_use, reservation_id)
            await self._stream(request, writer)

    async def _stream(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        crashes = CRASHING_PART in shared_parts(request)
        if crashes:
            self._crashing.record_arrival(CRASHING_PART, request.attempt_id)
        writer.write(self._name_limit(standin.stream_head(request)))
        # The path contains the number of events.
        last = int(request.request_line.split()[1].split('/')[2])
        first = int(request.header_by_name.get('last-event-id', '0')) + 1
        for number in range(first, last + 1):
            writer.write(
                standin.chunk(standin.event(number, request.attempt_id))
            )
            await writer.drain()
            await asyncio.sleep(seconds(_EVENT_INTERVAL))
            if crashes:
                self._crash(CRASHING_PART)
        writer.write(standin.LAST_CHUNK)

    def _crash(self, reason: str) -> None:
        if not self.is_down and self.on_crash is not None:
            self.is_down = True
            self._crashing.record_crash(reason)
            self.on_crash(self)

    def _name_limit(self, head: bytes) -> bytes:
        if self.limit is None:
            return head
        header = f'Server-Limit: {self.limit.rate}\r\nContent-Type'.encode()
        return head.replace(b'Content-Type', header)

    def _helper_reservations(
        self, request: ReceivedRequest
    ) -> list[tuple['SoakWorker', str]]:
        reservations = []
        for helper in request.header_by_name.get('helpers', '').split(','):
            address, _, reservation_id = helper.partition('/')
            engine = self.peer_by_address.get(address)
            if reservation_id and engine is not None:
                reservations.append((engine, reservation_id))
        return reservations

    def _handle_order(self, order: dict[str, object]) -> bytes:
        reservation_id = str(order['id'])
        if order['operation'] == 'release':
            self._reservation_by_id.pop(reservation_id, None)
            return standin.unsigned_response(b'{"free":0}')
        tokens = int(str(order['tokens']))
        # Listing the reservations also drops those with an expired lease.
        others = [
            held for held in self.reservations() if held != reservation_id
        ]
        held = sum(self._reservation_by_id[other].tokens for other in others)
        if held + tokens > MEMORY_TOKENS:
            return b'HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n'
        until = self._clock.now() + int(str(order['hold-ms']))
        self._reservation_by_id[reservation_id] = _Reservation(tokens, until)
        return standin.unsigned_response(b'{"free":1}')


async def _refuse(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Refuse a request."""
    writer.write(standin.not_executed_response())


async def _refuse_twice(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Refuse a request, and send a second copy of the refusal late."""
    refusal = standin.not_executed_response().replace(
        b'Not-Executed',
        f'Attempt-Id: {request.attempt_id}\r\nNot-Executed'.encode(),
    )
    writer.write(refusal)
    asyncio.get_running_loop().call_later(
        seconds(_COPY_DELAY), writer.write, refusal
    )


async def _lose(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Reset the connection."""
    standin.reset(writer)


async def _hang(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Send nothing for long."""
    await asyncio.sleep(_HANG_SECONDS)


async def _fail_request(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Respond with an error."""
    writer.write(
        standin.signed_response(
            request, b'', status='500 Internal Server Error'
        )
    )


async def _send_pieces(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send chunks of one byte until the gateway closes the connection."""
    writer.write(standin.stream_head(request))
    pieces = standin.chunk(b'x') * _PIECES
    for _ in range(_PIECE_ROUNDS):
        if writer.is_closing():
            return
        writer.write(pieces)
        await writer.drain()
    standin.reset(writer)


_FAULT_BY_NAME = MappingProxyType(
    {
        'busy': _refuse,
        'twice': _refuse_twice,
        'lost': _lose,
        'hang': _hang,
        'error': _fail_request,
        'pieces': _send_pieces,
    }
)
# Faults after which the request has not run.
_REFUSALS = frozenset(('busy', 'twice'))
