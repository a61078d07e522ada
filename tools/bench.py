"""Measure the cost of one entry process: CPU, memory and added delay.

An entry with in-memory peers and engine stand-ins run as processes on
loopback. Prints the figures beside their targets but doesn't compare them.
"""

import argparse
import json
import selectors
import socket
import statistics
import sys
import time
from collections.abc import Callable
from contextlib import closing
from pathlib import Path
from typing import NamedTuple

from tests.entry_fakes import CALLER_KEY
from tests.standins.processes import StandIn
from tools.processes import ManagedProcess
from verbenathread.settings.node import parse_address
from verbenathread.types import Address

_STREAMS = 200
_TOKENS_PER_STREAM = 110
_TOKENS_PER_SECOND = 22
# Shares of all tokens between which the streams are measured.
_MEASURE_FROM_SHARE = 0.15
_MEASURE_UNTIL_SHARE = 0.9
_ENGINES = 4
_REQUESTS = 1000
_PAIRS = 300
_READ_BYTES = 65536
_SOCKET_TIMEOUT_SECONDS = 10
# Time limit for all streams to end.
_LOAD_TIMEOUT_SECONDS = 60
_MICROS_PER_MS = 1000
_MS_PER_SECOND = 1000
_CALIBRATION_STEPS = 2_000_000
_NS_PER_SECOND = 1_000_000_000
_MEBIBYTE = 1_048_576
_EVENT = b'data: {'
_END = b'data: [DONE]'


class Figure(NamedTuple):
    """A measured figure and its target, if it has one."""

    name: str
    value: float
    unit: str
    target: float | None = None


class Bench:
    """An entry process and the engine stand-ins that serve it."""

    def __init__(self) -> None:
        """Start the entry."""
        self._entry = StandIn('entry', '--streams', str(_STREAMS + 56))
        self._address = parse_address(self._entry.address)
        self._managed_entry = ManagedProcess(
            'entry', self._entry.process, Path()
        )
        self._engines: list[StandIn] = []

    def close(self) -> None:
        """Kill all processes."""
        for engine in self._engines:
            engine.kill()
        self._entry.kill()

    def use_engines(self, count: int, *options: str) -> Address:
        """Replace the engines with new ones; return the first one's address."""
        for engine in self._engines:
            engine.announce(self._address, verb='leave')
            engine.kill()
        self._engines = [StandIn('engine', *options) for _ in range(count)]
        for engine in self._engines:
            engine.announce(self._address)
        return parse_address(self._engines[0].address)

    def per_request(self) -> list[Figure]:
        """Measure short requests, sent in sequence on one connection."""
        self.use_engines(1, '--answer-tokens', '1')
        content = completion(1, stream=False)
        with socket.create_connection(
            self._address, _SOCKET_TIMEOUT_SECONDS
        ) as sock:
            _exchange(sock, content)
            before = self._managed_entry.cpu_ms()
            for _ in range(_REQUESTS):
                _exchange(sock, content)
            used = self._managed_entry.cpu_ms() - before
        return [Figure('request', used / _REQUESTS, 'ms', 5)]

    def streams(self) -> list[Figure]:
        """Measure many concurrent streams with a steady token rate."""
        self.use_engines(
            _ENGINES,
            f'--decode-rate={_TOKENS_PER_SECOND}',
            f'--answer-tokens={_TOKENS_PER_STREAM}',
        )
        load = Load(self._address, _STREAMS)
        # Leaves out the start and end of the streams, whose cost grows with
        # the number of requests rather than that of tokens.
        all_tokens = _STREAMS * _TOKENS_PER_STREAM
        load.run_until(lambda: load.tokens >= _MEASURE_FROM_SHARE * all_tokens)
        before = self._managed_entry.cpu_ms()
        tokens_before = load.tokens
        peak = 0
        since = time.monotonic()
        while load.tokens < _MEASURE_UNTIL_SHARE * all_tokens:
            load.poll()
            peak = max(peak, self._managed_entry.resident_bytes())
        used = self._managed_entry.cpu_ms() - before
        took = time.monotonic() - since
        tokens = load.tokens - tokens_before
        load.run_until(lambda: load.ended == _STREAMS)
        return [
            Figure('token', used * _MICROS_PER_MS / tokens, 'us', 60),
            Figure('tokens relayed', tokens / took, '1/s'),
            Figure('resident at 200 streams', peak / _MEBIBYTE, 'MB', 128),
        ]

    def first_token(self) -> list[Figure]:
        """Measure the first token, directly and through the entry in turn."""
        engine = self.use_engines(1, '--answer-tokens', '1')
        direct_ms = []
        relayed_ms = []
        for number in range(_PAIRS):
            direct_ms.append(_timed(engine, generate_request(number)))
            relayed_ms.append(_timed(self._address, completion(1, stream=True)))
        direct_median = statistics.median(direct_ms)
        return [
            Figure('first token, straight', direct_median, 'ms'),
            Figure(
                'first token, added by the entry',
                statistics.median(relayed_ms) - direct_median,
                'ms',
            ),
        ]


class Load:
    """Concurrent streaming callers that share one selector."""

    def __init__(self, address: Address, count: int) -> None:
        """Open ``count`` connections and send a request on each."""
        self.tokens = 0
        self.ended = 0
        self._until = time.monotonic() + _LOAD_TIMEOUT_SECONDS
        self._selector = selectors.DefaultSelector()
        content = completion(_TOKENS_PER_STREAM, stream=True)
        for _ in range(count):
            sock = socket.create_connection(address, _SOCKET_TIMEOUT_SECONDS)
            sock.sendall(content)
            self._selector.register(sock, selectors.EVENT_READ)

    def run_until(self, done: Callable[[], bool]) -> None:
        """Poll until ``done`` returns true."""
        while not done():
            self.poll()

    def poll(self) -> None:
        """Read the available data, for at most a second."""
        if time.monotonic() > self._until:
            raise RuntimeError('the streams did not end within the limit')
        for key, _ in self._selector.select(1):
            sock = key.fileobj
            assert isinstance(sock, socket.socket)
            block = sock.recv(_READ_BYTES)
            self.tokens += block.count(_EVENT)
            if not block:
                raise RuntimeError('a stream was cut off')
            if _END in block:
                self.tokens -= 1
                self.ended += 1
                self._selector.unregister(sock)
                sock.close()


def calibration() -> Figure:
    """Time a fixed loop, to compare runs on machines of different load."""
    before = time.process_time()
    remaining = _CALIBRATION_STEPS
    while remaining:
        remaining -= 1
    used = time.process_time() - before
    return Figure(
        'step of a fixed loop', used * _NS_PER_SECOND / _CALIBRATION_STEPS, 'ns'
    )


def completion(tokens: int, *, stream: bool) -> bytes:
    """Return a request for a completion."""
    call = {
        'model': 'draft-desk',
        'prompt': 'any cot tonight?',
        'max_tokens': tokens,
        'stream': stream,
    }
    return _request('/v1/completions', json.dumps(call).encode())


def generate_request(number: int) -> bytes:
    """Return the same request as an entry sends it to an engine."""
    fields = {
        'attempt_id': f'bench-{number}',
        'request_id': 'bench',
        'prompt': 'any cot tonight?',
        'max_tokens': 1,
        'owner': {'node': 'bench', 'incarnation': 1},
        'resume_from': {'position': 0, 'text': ''},
    }
    return _request('/v1/generate', json.dumps(fields).encode())


def _request(path: str, content: bytes) -> bytes:
    head = (
        f'POST {path} HTTP/1.1\r\nHost: bench\r\n'
        f'Authorization: Bearer {CALLER_KEY}\r\n'
        f'Content-Length: {len(content)}\r\n\r\n'
    )
    return b'%b%b' % (head.encode(), content)


def _exchange(sock: socket.socket, content: bytes) -> None:
    sock.sendall(content)
    received = sock.recv(_READ_BYTES)
    while b'"choices"' not in received:
        block = sock.recv(_READ_BYTES)
        if not block:
            raise RuntimeError(
                'the entry closed the connection without a response'
            )
        received += block


def _timed(address: Address, content: bytes) -> float:
    """Return ms until the first token on a new connection."""
    with socket.create_connection(address, _SOCKET_TIMEOUT_SECONDS) as sock:
        started = time.perf_counter()
        sock.sendall(content)
        received = b''
        while b'w0 ' not in received:
            block = sock.recv(_READ_BYTES)
            if not block:
                raise RuntimeError(
                    'the connection closed before the first token'
                )
            received += block
        return (time.perf_counter() - started) * _MS_PER_SECOND


def main() -> int:
    """Print every figure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--json', action='store_true', help='print JSON')
    options = parser.parse_args()
    with closing(Bench()) as bench:
        figures = [
            calibration(),
            *bench.per_request(),
            *bench.streams(),
            *bench.first_token(),
        ]
    if options.json:
        plain = [figure._asdict() for figure in figures]
        sys.stdout.write(f'{json.dumps(plain)}\n')
        return 0
    for figure in figures:
        target = ''
        if figure.target is not None:
            target = f'  (target {figure.target:g})'
        line = f'{figure.name:34} {figure.value:10.2f} {figure.unit}{target}'
        sys.stdout.write(f'{line}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
