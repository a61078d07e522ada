"""A gateway on loopback with a fixed view and scripted workers."""

import asyncio
from typing import NamedTuple

from tests.standins.platform_worker import PlatformWorker, Script
from verbenathread.clock import SystemClock
from verbenathread.gateway.context import build_context
from verbenathread.gateway.handler import GatewayHandler
from verbenathread.gateway.handover_server import (
    HandoverServer,
    HandoverService,
)
from verbenathread.http1.server import HttpServer
from verbenathread.node_auth import NodeAuth
from verbenathread.platform.headers import PlatformDialect
from verbenathread.schema import settings_pb2
from verbenathread.serving.types import (
    ClientAccount,
    ClientLimits,
    EngineModel,
    RequestKind,
    Route,
    ServiceSpec,
    ServingConfig,
    Target,
    Worker,
    WorkerState,
)
from verbenathread.types import Address, Peer

API_KEY = 'k-night'
_ALONE = Peer('g1', Address('127.0.0.1', 0))
ENGINE = EngineModel(
    slots=8,
    memory_tokens=232_000,
    stride=43,
    step_ms=1.02,
    sequence_ms=0.00452,
    context_ms=0.00431,
    prefill_tokens_per_ms=206,
    attention_ms=0.138,
)


def route(name: str, kind: RequestKind, service: str, **fields) -> Route:
    """Return a route under ``/name/``."""
    defaults = Route(
        name=name,
        host='desk.example',
        prefix=f'/{name}/',
        kind=kind,
        time_limit=3000,
        target_latency=300,
        priority=1,
        targets=(Target(service, 1),),
        max_attempts=2,
        public=False,
        resumable=kind is RequestKind.STREAM,
        target_pause=250,
    )
    return defaults._replace(**fields)


def config(version: int = 1, routes: tuple[Route, ...] = ()) -> ServingConfig:
    """Return a configuration with a model and a plain service."""
    defaults = (
        route('note', RequestKind.STREAM, 'desk'),
        route('hold', RequestKind.AT_MOST_ONCE, 'ledger', max_attempts=1),
        route('check', RequestKind.IDEMPOTENT, 'ledger'),
    )
    return ServingConfig(
        version=version,
        routes=routes or defaults,
        service_by_name={
            'desk': ServiceSpec('desk', ENGINE),
            'ledger': ServiceSpec('ledger', None),
        },
        limits=ClientLimits(16384, 4194304, 3000, 15000),
        account_by_key={API_KEY: ClientAccount('night', None)},
    )


def worker(
    worker_id: str, service: str, address: Address, slots: int = 8
) -> Worker:
    """Return a ready worker."""
    return Worker(
        worker_id=worker_id,
        started_at=1,
        sequence=1,
        state=WorkerState.READY,
        service=service,
        address=address,
        data_centre='a',
        slots=slots,
    )


class Response(NamedTuple):
    """A response as received; incomplete if the connection broke."""

    status: int
    header_by_name: dict[str, str]
    body: bytes
    complete: bool


class GatewayHarness:
    """A gateway and its workers."""

    def __init__(
        self,
        peer: Peer = _ALONE,
        *,
        answer_head_bytes: int = 20_000,
        answer_buffer_bytes: int = 50_000,
        held_bytes: int = 0x2000000,
    ) -> None:
        """Create the gateway ``peer``; :meth:`start` starts it."""
        clock = SystemClock()
        section = settings_pb2.GatewaySection(
            retry_share=0.2,
            retry_slack=20,
            retry_window=10_000,
            reserve_stale=4000,
            answer_head_bytes=answer_head_bytes,
            answer_buffer_bytes=answer_buffer_bytes,
            held_bytes=held_bytes,
        )
        node = settings_pb2.NodeSection(cluster='tests', node_key='secret')
        auth = NodeAuth(node)
        self.context = build_context(
            section, 'a', peer, auth.metadata, PlatformDialect(), clock
        )
        self.view = self.context.view
        # Long enough ago that the gateway is not warming up.
        self.view.record_update(clock.now() - 60_000)
        handler = GatewayHandler(self.context)
        self.server = HttpServer(handler, clock, held_bytes)
        self.handover_service = HandoverService(self.context, handler)
        self.handover_server = HandoverServer(
            self.handover_service, auth, clock
        )
        self.workers: list[PlatformWorker] = []

    async def start(
        self,
        script_by_id: dict[str, tuple[str, Script]],
        configuration: ServingConfig | None = None,
        delay: float = 0,
    ) -> None:
        """Start a worker for each service and script, and the gateway."""
        workers = []
        for worker_id, (service, script) in script_by_id.items():
            standin = PlatformWorker(worker_id, script)
            self.workers.append(standin)
            address = await standin.start()
            workers.append(worker(worker_id, service, address))
        self.view.apply_workers(workers)
        applied_config = configuration or config()
        if delay:
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self.view.apply_config, applied_config)
        else:
            self.view.apply_config(applied_config)
        await self.server.start(Address('127.0.0.1', 0))

    async def stop(self) -> None:
        """Stop the gateway and its workers."""
        self.server.close()
        self.context.pool.close()
        for standin in self.workers:
            await standin.stop()

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection as a caller."""
        host, port = self.server.address
        return await asyncio.open_connection(host, port)

    async def send(
        self,
        path: str,
        *,
        attempt_id: str = 'a1',
        headers: str = '',
        body: bytes = b'',
        method: str = 'POST',
        key: str = API_KEY,
    ) -> Response:
        """Send one request and return the response."""
        reader, writer = await self.connect()
        writer.write(request(path, attempt_id, headers, body, method, key))
        response = await read_response(reader)
        writer.close()
        return response


def request(
    path: str,
    attempt_id: str,
    headers: str,
    body: bytes,
    method: str,
    key: str,
) -> bytes:
    """Encode a caller's request."""
    tokens = 'Token-Usage: 100,50\r\n' if path.startswith('/note') else ''
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: desk.example\r\n'
        f'Attempt-Id: {attempt_id}\r\nDeadline-Ms: 2500\r\n'
        f'Authorization: Bearer {key}\r\n{tokens}{headers}'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Read one response, complete or not."""
    head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 5)
    status_line, *header_lines = head.decode().split('\r\n')
    header_by_name = {}
    for line in header_lines:
        name, _, text = line.partition(':')
        if name:
            header_by_name[name.lower()] = text.strip()
    status = int(status_line.split()[1])
    length = int(header_by_name.get('content-length', '-1'))
    if length >= 0:
        body = await asyncio.wait_for(reader.readexactly(length), 5)
        return Response(status, header_by_name, body, True)
    parts = []
    try:
        while True:
            size = int(
                (await asyncio.wait_for(reader.readline(), 5)).strip() or b'x',
                16,
            )
            parts.append((await reader.readexactly(size + 2))[:-2])
            if not size:
                return Response(status, header_by_name, b''.join(parts), True)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return Response(status, header_by_name, b''.join(parts), False)
