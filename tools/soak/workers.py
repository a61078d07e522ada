"""Workers of the soak: engines with memory to set aside, and a plain ledger."""

import asyncio
import contextlib
import json
import random
from typing import NamedTuple

from tests.standins import platform_worker as standin
from tests.standins.platform_worker import PlatformWorker, ReceivedRequest
from tools.soak.findings import Findings
from tools.soak.loopback_proxy import LoopbackProxy
from verbenathread.clock import Clock, seconds
from verbenathread.types import Millis

ACCOUNT = 'night'
ENGINE_SERVICE = 'desk'
LEDGER_SERVICE = 'ledger'
MEMORY_TOKENS = 232_000
# Between two events of a stream, and the work of a plain call.
_EVENT_INTERVAL: Millis = 30
_PLAIN_CALL_TIME: Millis = 20
# A gateway may pass on what it chose just before it heard of the leave.
_DRAIN_LIMIT: Millis = 2000
# A gateway that was harmed may hear of a leave this much later.
_RECOVERY_TIME: Millis = 3000
_HANG_SECONDS = 30.0


class _Reservation(NamedTuple):
    """Memory that is set aside."""

    tokens: int
    until: Millis


class SoakWorker:
    """One worker process at an address that others may have had before."""

    def __init__(
        self,
        service: str,
        worker_id: str,
        proxy: LoopbackProxy,
        findings: Findings,
        clock: Clock,
    ) -> None:
        """Serve at ``proxy`` once started."""
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
        # Share of the requests that this worker spoils.
        self.failure_share: float = 0
        self.is_draining = False
        # When its leave was acknowledged.
        self.drained_at: Millis | None = None
        self._reservation_by_id: dict[str, _Reservation] = {}
        self._used: set[str] = set()
        # Other engines by their address, for the tickets that helpers hold.
        self.peer_by_address: dict[str, SoakWorker] = {}

    async def start(self) -> None:
        """Listen, and take what comes through the proxy."""
        self._proxy.target = await self._standin.start()

    async def crash(self) -> None:
        """End with everything that is in progress."""
        self._proxy.reset()
        await self._standin.stop()

    def reservations(self) -> list[str]:
        """Return the reservations that hold memory now."""
        now = self._clock.now()
        for ticket_id, ticket in tuple(self._reservation_by_id.items()):
            if ticket.until <= now:
                self._reservation_by_id.pop(ticket_id)
        return list(self._reservation_by_id)

    def begin_use(self, ticket_id: str) -> bool:
        """Take a ticket into use; False when it is not there."""
        if ticket_id not in self.reservations():
            return False
        if ticket_id in self._used:
            self._findings.report_violation(
                'LIMIT', f'{ticket_id} is used twice'
            )
        self._used.add(ticket_id)
        return True

    def end_use(self, ticket_id: str) -> None:
        """Note that a ticket is used no more."""
        self._used.discard(ticket_id)

    async def _answer(
        self, seen: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if seen.request_line.startswith('POST /order '):
            writer.write(self._handle_order(json.loads(seen.body)))
            return
        if seen.header_by_name.get('expect-instance') != self.worker_id:
            writer.write(
                standin.not_executed_response('421 Misdirected Request')
            )
            return
        self._check(seen)
        if self._random.random() < self.failure_share:
            if await self._fail(seen, writer):
                return
        if self.service == ENGINE_SERVICE:
            await self._generate(seen, writer)
        else:
            await self._answer_plain(seen, writer)

    def _check(self, seen: ReceivedRequest) -> None:
        headers = seen.header_by_name
        self._findings.arrived.add(seen.attempt_id)
        # Probes of versions use public routes.
        account = '' if 'GET /v' in seen.request_line else ACCOUNT
        if headers.get('tenant', '') != account:
            self._findings.report_violation(
                'UNASKED', f'account of {seen.attempt_id}'
            )
        if 'authorization' in headers:
            self._findings.report_violation(
                'UNASKED', f'key of {seen.attempt_id}'
            )
        if self.drained_at is None:
            return
        now = self._clock.now()
        calm = self._findings.is_fault_free(
            self.drained_at - _RECOVERY_TIME, now
        )
        if calm and now > self.drained_at + _DRAIN_LIMIT:
            late = now - self.drained_at
            self._findings.report_violation(
                'DRAIN', f'{self.worker_id} {late} ms late'
            )

    async def _fail(
        self, seen: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Fail a request in one of several ways; False to serve it as well."""
        fault = self._random.choice(('busy', 'lost', 'hang', 'extra', 'error'))
        if fault == 'busy':
            writer.write(standin.not_executed_response())
        elif fault == 'lost':
            self._record_run(seen)
            standin.reset(writer)
        elif fault == 'hang':
            self._record_run(seen)
            await asyncio.sleep(_HANG_SECONDS)
        elif fault == 'error':
            self._record_run(seen)
            writer.write(
                standin.signed_response(
                    seen, b'', status='500 Internal Server Error'
                )
            )
        else:
            # The late answer to a request that nobody waits for any more.
            other = ReceivedRequest(
                b'GET / HTTP/1.1\r\nAttempt-Id: nobody\r\n', b''
            )
            writer.write(standin.signed_response(other, b'not yours'))
            return False
        return True

    def _record_run(self, seen: ReceivedRequest) -> None:
        if seen.request_line.startswith('POST /hold/'):
            self._findings.record_run(seen.attempt_id)

    async def _answer_plain(
        self, seen: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        self._record_run(seen)
        await asyncio.sleep(seconds(_PLAIN_CALL_TIME))
        writer.write(
            standin.signed_response(seen, f'done {seen.attempt_id}'.encode())
        )

    async def _generate(
        self, seen: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        tickets = self._helper_reservations(seen)
        for engine, ticket_id in tickets:
            if not engine.begin_use(ticket_id):
                writer.write(standin.not_executed_response())
                return
        with contextlib.ExitStack() as stack:
            for engine, ticket_id in tickets:
                stack.callback(engine.end_use, ticket_id)
            await self._stream(seen, writer)

    async def _stream(
        self, seen: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(standin.stream_head(seen))
        # The path names the number of events.
        last = int(seen.request_line.split()[1].split('/')[2])
        first = int(seen.header_by_name.get('last-event-id', '0')) + 1
        for number in range(first, last + 1):
            writer.write(standin.chunk(standin.event(number, seen.attempt_id)))
            await writer.drain()
            await asyncio.sleep(seconds(_EVENT_INTERVAL))
        writer.write(standin.LAST_CHUNK)

    def _helper_reservations(
        self, seen: ReceivedRequest
    ) -> list[tuple['SoakWorker', str]]:
        tickets = []
        for holder in seen.header_by_name.get('helpers', '').split(','):
            address, _, ticket_id = holder.partition('/')
            engine = self.peer_by_address.get(address)
            if ticket_id and engine is not None:
                tickets.append((engine, ticket_id))
        return tickets

    def _handle_order(self, said: dict[str, object]) -> bytes:
        ticket_id = str(said['id'])
        if said['operation'] == 'release':
            self._reservation_by_id.pop(ticket_id, None)
            return standin.unsigned_response(b'{"free":0}')
        tokens = int(str(said['tokens']))
        # Dropped first are the tickets whose lease is over.
        others = [held for held in self.reservations() if held != ticket_id]
        held = sum(self._reservation_by_id[other].tokens for other in others)
        if held + tokens > MEMORY_TOKENS:
            return b'HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n'
        until = self._clock.now() + int(str(said['hold-ms']))
        self._reservation_by_id[ticket_id] = _Reservation(tokens, until)
        return standin.unsigned_response(b'{"free":1}')
