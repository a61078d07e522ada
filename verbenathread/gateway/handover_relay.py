"""Passes the response to a request that was handed over on to its caller."""

import asyncio

from verbenathread.gateway.attempt import Relay
from verbenathread.gateway.reply import Reply
from verbenathread.http1.messages import ResponseHead, index_headers
from verbenathread.schema import gateway_pb2 as messages

_OK = 200
_FIRST_FAILURE = 300
# The head of a response that an earlier worker began is with the caller.
_HEAD_SENT = ResponseHead(_OK, (), {})


class HandoverRelay:
    """Writes the parts of a response to the caller's connection."""

    def __init__(self, reply: Reply, relay: Relay, *, is_stream: bool) -> None:
        """Write to ``reply``; ``relay`` knows what the caller has."""
        self._reply = reply
        self._relay = relay
        self._is_stream = is_stream
        self._head = _HEAD_SENT
        self._writable = asyncio.Event()
        self._writable.set()

    def on_answer(self, answer: messages.WholeAnswer) -> None:
        """Write a whole response, unless another one has begun."""
        if self._relay.started:
            self._reply.abort()
            return
        head = _decode_head(answer.head)
        self._reply.send(head.status, head.headers, answer.body)

    def on_head(self, head: messages.AnswerHead) -> None:
        """Keep the head until there is a body."""
        self._head = _decode_head(head)

    def on_content(self, content: bytes) -> None:
        """Write a part of the body; of a stream, whole events."""
        if self._is_stream and self._head.status < _FIRST_FAILURE:
            content = self._relay.events.feed(content)
        self._relay.write(self._head, content)

    def on_finish(self) -> None:
        """Write the end of the response."""
        self._relay.finish(self._head)

    async def wait_writable(self) -> None:
        """Wait until the caller takes more."""
        await self._writable.wait()

    def set_backpressure(self, paused: bool) -> None:  # noqa: FBT001
        """Stop or resume reading, as the caller's connection requires."""
        if paused:
            self._writable.clear()
        else:
            self._writable.set()


def _decode_head(head: messages.AnswerHead) -> ResponseHead:
    headers = tuple((header.name, header.text) for header in head.headers)
    return ResponseHead(head.status, headers, index_headers(headers))
