"""Streamed answers of engines: JSON lines as docs/UPSTREAMS.md specifies."""

import http
import json
import socket
from collections.abc import Mapping
from typing import Any

from verbenathread.clock import MS_PER_SECOND
from verbenathread.entry.connections import (
    BrokenExchangeError,
    UpstreamExchange,
)
from verbenathread.entry.engine_client import (
    Batch,
    Finish,
    GenerateRequest,
    TokenChunk,
)
from verbenathread.entry.engine_errors import (
    EngineBrokenError,
    EngineNotRunError,
    EngineRejectedError,
)
from verbenathread.types import Address, Millis

_READ_BYTES = 65536
# Kept small because the interpreter allocates a buffer of this size per read.
_NONBLOCKING_READ_BYTES = 16384
_DECODER = json.JSONDecoder()
_MAX_ERROR_BYTES = 65536
_MAX_LINE_BYTES = 1_048_576


class HttpTokenStream:
    """Reads the JSON lines of one attempt."""

    def __init__(
        self, exchange: UpstreamExchange, attempt_id: str, engine: Address
    ) -> None:
        self._exchange = exchange
        self._attempt_id = attempt_id
        self._engine = engine
        self._partial_line = b''
        self._head_read = False
        self._reusable = False

    def read(self, deadline: Millis) -> Batch:
        """Wait for the next complete lines."""
        if not self._head_read:
            read_ok_head(self._exchange, self._engine, deadline)
            self._head_read = True
        while True:
            lines = self._complete_lines(self._read_block(deadline))
            if lines:
                batch = self._parse_lines(lines)
                if batch.finish is not None:
                    self._read_body_end(deadline)
                return batch

    def unframed_socket(self) -> socket.socket | None:
        """Return the socket that :meth:`read_nonblocking` reads, if any."""
        return self._exchange.unframed_socket()

    def read_nonblocking(self) -> Batch | None:
        """Return the available complete lines, or None."""
        try:
            block = self._exchange.read_nonblocking(_NONBLOCKING_READ_BYTES)
        except BrokenExchangeError as exc:
            raise EngineBrokenError(str(exc)) from exc
        if block is None:
            return None
        self._check_not_empty(block)
        lines = self._complete_lines(block)
        if not lines:
            return None
        return self._parse_lines(lines)

    def interrupt(self) -> None:
        """Make a read that is blocked in another thread fail at once."""
        self._exchange.interrupt()

    def close(self) -> None:
        """Close the exchange; reuse the connection if it ended cleanly."""
        self._exchange.close(clean=self._reusable)

    def _read_block(self, deadline: Millis) -> bytes:
        try:
            block = self._exchange.read1(_READ_BYTES, deadline)
        except BrokenExchangeError as exc:
            raise EngineBrokenError(str(exc)) from exc
        self._check_not_empty(block)
        return block

    def _check_not_empty(self, block: bytes) -> None:
        if not block:
            raise EngineBrokenError(
                f'The answer of {self._engine} ended without a final record.'
            )

    def _complete_lines(self, block: bytes) -> list[bytes]:
        if self._partial_line:
            block = self._partial_line + block
        lines = block.split(b'\n')
        self._partial_line = lines.pop()
        if len(self._partial_line) > _MAX_LINE_BYTES:
            raise EngineBrokenError(f'{self._engine} sent an overlong line.')
        return lines

    def _parse_lines(self, lines: list[bytes]) -> Batch:
        chunks: list[TokenChunk] = []
        for line in lines:
            try:
                members = _parse_object(line)
                finish = self._parse_record(members, chunks)
            except (ValueError, KeyError, TypeError) as exc:
                raise EngineBrokenError(
                    f'{self._engine} sent a malformed line.'
                ) from exc
            if finish is not None:
                return Batch(tuple(chunks), finish)
        return Batch(tuple(chunks), None)

    def _parse_record(
        self, members: Mapping[str, Any], chunks: list[TokenChunk]
    ) -> Finish | None:
        if members['attempt_id'] != self._attempt_id:
            raise EngineBrokenError(
                f'{self._engine} answered for another attempt.'
            )
        if 'finish_reason' not in members:
            chunks.append(
                TokenChunk(
                    members['position'],
                    members.get('tokens', 1),
                    members['text'],
                )
            )
            return None
        usage = members['usage']
        return Finish(
            members['finish_reason'],
            usage['prompt_tokens'],
            usage['output_tokens'],
        )

    def _read_body_end(self, deadline: Millis) -> None:
        """Read the end of the body, so that the connection can be reused."""
        if self._partial_line:
            return
        try:
            self._reusable = not self._exchange.read1(_READ_BYTES, deadline)
        except BrokenExchangeError:
            # The answer is complete; only the connection cannot be reused.
            self._reusable = False


def generate_body(request: GenerateRequest) -> bytes:
    """Return the body of ``POST /v1/generate``."""
    own_members = {
        'attempt_id': request.attempt_id,
        'request_id': request.request_id,
        'max_tokens': request.max_tokens,
        'priority': request.priority,
        'owner': {
            'node': request.owner.node_id,
            'incarnation': request.owner.incarnation,
        },
        'memory_tokens': request.memory_tokens,
        'group': request.group,
        'resume_from': {
            'position': request.resume_position,
            'text': request.resume_text,
        },
        'time_limit_ms': request.time_limit,
    }
    opening = json.dumps(own_members).encode().removesuffix(b'}')
    return b'%b, %b}' % (opening, request.shared_members)


def read_ok_head(
    exchange: UpstreamExchange, engine: Address, deadline: Millis
) -> None:
    """Wait for the response head; raise its error unless the status is 200."""
    try:
        exchange.read_head(deadline)
        if exchange.status == http.HTTPStatus.OK:
            return
        content = exchange.read_all(_MAX_ERROR_BYTES, deadline)
    except BrokenExchangeError as exc:
        exchange.close(clean=False)
        raise EngineBrokenError(str(exc)) from exc
    exchange.close(clean=True)
    raise _response_error(exchange, content, engine)


def _parse_object(line: bytes) -> dict[str, Any]:
    """Return the JSON object of one line.

    ``raw_decode`` takes half the time of ``json.loads``.
    """
    text = line.decode()
    members, end = _DECODER.raw_decode(text)
    if text[end:].strip():
        raise ValueError('The line contains more than one object.')
    result: dict[str, Any] = members
    return result


def _error_text(content: bytes, engine: Address) -> str:
    try:
        return str(json.loads(content)['error']['message'])
    except (ValueError, KeyError, TypeError):
        return f'{engine} refused the request without a reason.'


def _response_error(
    exchange: UpstreamExchange, content: bytes, engine: Address
) -> Exception:
    text = _error_text(content, engine)
    if exchange.status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        retry_after = exchange.headers.get('Retry-After', '0')
        delay = int(retry_after) if retry_after.isdigit() else 0
        return EngineNotRunError(text, delay * MS_PER_SECOND)
    if exchange.status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
        return EngineRejectedError(text, exchange.status)
    return EngineBrokenError(text)
