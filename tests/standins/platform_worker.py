"""A fake platform worker on loopback that responds by a script."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

from verbenathread.types import Address


class ReceivedRequest:
    """A request as the worker received it."""

    def __init__(self, head: bytes, body: bytes) -> None:
        """Parse the request head."""
        first, *lines = head.decode('latin-1').split('\r\n')
        self.request_line = first
        self.header_by_name = {}
        for line in lines:
            name, _, text = line.partition(':')
            if name:
                self.header_by_name[name.lower()] = text.strip()
        self.body = body

    @property
    def attempt_id(self) -> str:
        """Return the attempt identifier that a response must echo."""
        return self.header_by_name['attempt-id']


Script = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]


class PlatformWorker:
    """Listens and responds to each request with ``script``."""

    def __init__(self, worker_id: str, script: Script) -> None:
        """Start with no recorded requests."""
        self.worker_id = worker_id
        self.script = script
        self.requests: list[ReceivedRequest] = []
        self.connections = 0
        self.closed_early = 0
        self.probes = 0
        # Accepts connections but does not respond to probes.
        self.is_unresponsive = False
        self.probe_response = unsigned_response(REPORT)

    async def start(self) -> Address:
        """Listen on a free port and return the address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self._tasks: set[asyncio.Task[None]] = set()
        host, port = self._server.sockets[0].getsockname()
        return Address(host, port)

    async def stop(self) -> None:
        """Stop listening and cancel the requests in progress."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while not writer.is_closing():
                head = await reader.readuntil(b'\r\n\r\n')
                request = ReceivedRequest(head, b'')
                length = int(request.header_by_name.get('content-length', '0'))
                request.body = await reader.readexactly(length)
                await self._answer(request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_early += 1
        except asyncio.CancelledError:
            return
        finally:
            writer.close()

    async def _answer(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if not request.request_line.startswith('GET /report '):
            self.requests.append(request)
            await self.script(request, writer)
            return
        self.probes += 1
        if self.is_unresponsive:
            await asyncio.sleep(30)
        writer.write(self.probe_response)


def signed_response(
    request: ReceivedRequest,
    body: bytes,
    *,
    status: str = '200 OK',
    extra: str = '',
) -> bytes:
    """Return a response with a response stamp and a Content-Length."""
    head = (
        f'HTTP/1.1 {status}\r\nAttempt-Id: {request.attempt_id}\r\n'
        f'Response-Stamp: stamp-{request.attempt_id}\r\n{extra}'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


REPORT = (
    b'{"queue-depth":0,"in-flight":1,"kv-used":10,"kv-total":232000,"pace":1.0}'
)


def unsigned_response(body: bytes) -> bytes:
    """Return a response without attempt identifier and response stamp."""
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (
        len(body),
        body,
    )


def not_executed_response(status: str = '503 Service Unavailable') -> bytes:
    """Return the response of a worker that did not run the request."""
    return (
        f'HTTP/1.1 {status}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n'
    ).encode()


def stream_head(request: ReceivedRequest) -> bytes:
    """Return the head of a chunked event stream."""
    return (
        f'HTTP/1.1 200 OK\r\nAttempt-Id: {request.attempt_id}\r\n'
        f'Response-Stamp: stamp-{request.attempt_id}\r\n'
        'Content-Type: text/event-stream\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'
    ).encode()


def chunk(content: bytes) -> bytes:
    """Encode one chunk."""
    return b'%x\r\n%b\r\n' % (len(content), content)


def event(number: int, label: str = 'piece') -> bytes:
    """Encode one server-sent event."""
    return f'id: {number}\ndata: {label}-{number}\n\n'.encode()


LAST_CHUNK = b'0\r\n\r\n'


def reset(writer: asyncio.StreamWriter) -> None:
    """Abort the connection with a TCP reset instead of a regular close."""
    sock = writer.transport.get_extra_info('socket')
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()
