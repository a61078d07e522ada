"""Serves requests that another gateway can send to no worker."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable, Iterable, Iterator

from grpclib.server import Server, Stream

from verbenathread.clock import Clock, seconds
from verbenathread.gateway.context import GatewayContext
from verbenathread.gateway.handler import GatewayHandler
from verbenathread.gateway.progress import Progress
from verbenathread.http1.messages import Request, index_headers
from verbenathread.node_auth import NodeAuth
from verbenathread.observability.logs import get_logger
from verbenathread.schema import gateway_pb2 as messages
from verbenathread.schema.gateway_grpc import GatewayBase
from verbenathread.types import Address, Millis

_log = get_logger('gateway')

# Bytes that wait for the other gateway beyond which the worker's connection is
# not read.
_MAX_BUFFERED_BYTES = 0x40000
# Contents are joined up to this size: a message costs as much as this many bytes.
_MESSAGE_BYTES = 0x4000
# Memory that a part takes beside its content.
_PART_OVERHEAD = 200
_DRAIN_CHECK_INTERVAL: Millis = 50

_ServeStream = Stream[messages.ServeRequest, messages.ServePart]


class HandoverReply:
    """The response to a request that was handed over, as parts of a call."""

    def __init__(self, is_cut_off: Callable[[], bool]) -> None:
        """Start without any part; ``is_cut_off`` qualifies a refusal."""
        self._is_cut_off = is_cut_off
        self.done = False
        self.is_disconnected = False
        self.on_disconnect: Callable[[], None] | None = None
        self.on_backpressure: Callable[[bool], None] | None = None
        # Parts to send; None ends the call.
        self._waiting: deque[messages.ServePart | None] = deque()
        self._has_parts = asyncio.Event()
        self._buffered_bytes = 0

    def send(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
        body: bytes = b'',
    ) -> None:
        """Send a complete response."""
        self._put(
            messages.ServePart(
                answer=messages.WholeAnswer(
                    head=_encode_head(status, headers),
                    body=body,
                    is_cut_off=self._is_cut_off(),
                )
            )
        )
        self._end()

    def begin(
        self, status: int, headers: Iterable[tuple[bytes, bytes]]
    ) -> None:
        """Send the head of a response of unknown length."""
        self._put(messages.ServePart(head=_encode_head(status, headers)))

    def write(self, content: bytes) -> None:
        """Send a part of the body."""
        if not content:
            return
        self._put(messages.ServePart(content=content))
        self._buffered_bytes += len(content) + _PART_OVERHEAD
        if self._buffered_bytes > _MAX_BUFFERED_BYTES:
            self._report_backpressure(paused=True)

    def finish(self) -> None:
        """Send the end of the response."""
        self._put(messages.ServePart(end=messages.AnswerEnd()))
        self._end()

    def abort(self) -> None:
        """Send nothing more, so that the response is seen as incomplete."""
        self._end()

    def disconnect(self) -> None:
        """Handle the end of the call, which is the caller's disconnect."""
        self.is_disconnected = True
        if self.on_disconnect is not None and not self.done:
            self.on_disconnect()

    async def send_parts(self, stream: _ServeStream) -> None:
        """Send the parts until the response has ended."""
        while True:
            await self._has_parts.wait()
            part = self._waiting.popleft()
            if part is None:
                return
            if part.content:
                part = self._join_contents(part)
            if not self._waiting:
                self._has_parts.clear()
            await stream.send_message(part)
            # A message that fits into the window is sent without a wait.
            await asyncio.sleep(0)
            if self._buffered_bytes <= _MAX_BUFFERED_BYTES:
                self._report_backpressure(paused=False)

    def _join_contents(self, first: messages.ServePart) -> messages.ServePart:
        """Return the content of ``first`` and of the parts that follow it."""
        contents = [first.content]
        size = len(first.content)
        while self._waiting and size < _MESSAGE_BYTES:
            following = self._waiting[0]
            if following is None or not following.content:
                break
            self._waiting.popleft()
            contents.append(following.content)
            size += len(following.content)
        self._buffered_bytes -= size + len(contents) * _PART_OVERHEAD
        return messages.ServePart(content=b''.join(contents))

    def _put(self, part: messages.ServePart) -> None:
        if not self.done and not self.is_disconnected:
            self._waiting.append(part)
            self._has_parts.set()

    def _end(self) -> None:
        if not self.done:
            self.done = True
            self._waiting.append(None)
            self._has_parts.set()

    def _report_backpressure(self, *, paused: bool) -> None:
        if self.on_backpressure is not None:
            self.on_backpressure(paused)


class HandoverService(GatewayBase):
    """Implements the calls of other gateways."""

    def __init__(
        self, context: GatewayContext, handler: GatewayHandler
    ) -> None:
        """Serve requests with ``handler``."""
        self._context = context
        self._handler = handler
        # Requests that were accepted, and those of them that are served now.
        self.accepted_count = 0
        self.active_count = 0
        self.is_stopping = False
        self._tasks: set[asyncio.Task[None]] = set()

    async def Serve(  # noqa: N802 - the name in the schema
        self, stream: _ServeStream
    ) -> None:
        """Refuse a request, or accept it and send the response."""
        request = await stream.recv_message()
        if request is None:
            return
        reason = self._why_refused(request)
        if reason:
            refusal = messages.Refusal(reason=reason)
            await stream.send_message(messages.ServePart(refusal=refusal))
            return
        acceptance = messages.Acceptance()
        await stream.send_message(messages.ServePart(acceptance=acceptance))
        with self._counted():
            await self._serve(request, stream)

    def _why_refused(self, request: messages.ServeRequest) -> str:
        """Return why a request is not served here, or an empty string."""
        if self.is_stopping:
            return 'stopping'
        if self._context.handover.reachability.is_cut_off:
            return 'cut off from all workers'
        if self._context.view.config_version < request.config_version:
            return 'the configuration is older'
        return ''

    async def _serve(
        self, message: messages.ServeRequest, stream: _ServeStream
    ) -> None:
        reply = HandoverReply(
            lambda: self._context.handover.reachability.is_cut_off
        )
        received_at = self._context.clock.now() - message.elapsed
        # In a task of its own, as a cancel must not skip what releases a
        # worker.
        serving = asyncio.create_task(
            self._handler.handle(
                _decode_request(message, received_at),
                reply,
                _decode_progress(message),
            )
        )
        self._tasks.add(serving)
        serving.add_done_callback(self._tasks.discard)
        serving.add_done_callback(lambda _: reply.abort())
        with contextlib.ExitStack() as stack:
            stack.callback(reply.disconnect)
            await reply.send_parts(stream)
        await serving

    @contextlib.contextmanager
    def _counted(self) -> Iterator[None]:
        self.accepted_count += 1
        self.active_count += 1
        try:
            yield
        finally:
            self.active_count -= 1


class HandoverServer:
    """Listens for calls of other gateways."""

    def __init__(
        self, service: HandoverService, auth: NodeAuth, clock: Clock
    ) -> None:
        """Prepare to serve nodes that ``auth`` accepts."""
        self._service = service
        self._auth = auth
        self._clock = clock
        self._server: Server | None = None

    async def start(self, listen: Address) -> None:
        """Start to listen."""
        self._server = Server([self._service])
        self._auth.guard(self._server)
        await self._server.start(listen.host, listen.port)

    def refuse_new(self) -> None:
        """Refuse further requests, as a planned stop has begun."""
        self._service.is_stopping = True

    async def drain(self, deadline: Millis) -> None:
        """Wait for all responses until ``deadline``."""
        while self._service.active_count and self._clock.now() < deadline:
            await asyncio.sleep(seconds(_DRAIN_CHECK_INTERVAL))

    async def close(self) -> None:
        """Stop listening and end all calls."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
            self._server = None


def _encode_head(
    status: int, headers: Iterable[tuple[bytes, bytes]]
) -> messages.AnswerHead:
    return messages.AnswerHead(
        status=status,
        headers=[
            messages.HttpHeader(name=name, text=text) for name, text in headers
        ],
    )


def _decode_request(
    message: messages.ServeRequest, received_at: Millis
) -> Request:
    headers = tuple((header.name, header.text) for header in message.headers)
    return Request(
        message.method,
        message.target,
        headers,
        index_headers(headers),
        message.body,
        received_at,
    )


def _decode_progress(message: messages.ServeRequest) -> Progress:
    last_event_id: int | None = None
    if message.HasField('last_event_id'):
        last_event_id = message.last_event_id
    return Progress(
        message.sends,
        message.may_have_run,
        message.has_head,
        last_event_id,
        is_handed_over=True,
    )
