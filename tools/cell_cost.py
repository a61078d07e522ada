"""Measure the cost of a cell of entries: idle, per change, per reservation.

All entries run in this process and communicate over loopback in real time.
Bytes are those of HTTP/2 as read by the nodes, without TCP and IP headers;
processor time is that of the process divided by the number of entries.
"""

import argparse
import asyncio
import itertools
import random
import sys
import time
from collections.abc import Sequence
from typing import NamedTuple

from grpclib import client as grpclib_client
from grpclib import server as grpclib_server
from grpclib.protocol import H2Protocol

from tests.cell_network import engine_record
from tests.node_network import FakeEngines, node_settings, tree_update
from verbenathread.clock import SystemClock, seconds
from verbenathread.entry.cell_node import CellNode, NodeContext
from verbenathread.entry.peer_server import bound_socket
from verbenathread.entry.settings_store import SettingsStore
from verbenathread.observability.logs import configure
from verbenathread.types import Address, Reservation, Work


class Size(NamedTuple):
    """Number of entries and engines of a cell."""

    entries: int
    engines: int


_SIZES = (
    Size(3, 20),
    Size(9, 20),
    Size(9, 60),
    Size(9, 100),
    Size(6, 60),
    Size(12, 60),
    Size(12, 100),
)
_SETTLE_SECONDS = 12
# Every engine renews once in this time.
_RENEW_SECONDS = 2
_CHANGES = 40
_CHANGE_SECONDS = 0.25
_RESERVATIONS = 400
_CONCURRENCY = 32
# Requests a second of one entry: 5,500 in total over 320 nodes.
_REQUEST_RATE = 17
_HALF_HOLD_SECONDS = 0.25
_DEADLINE_MS = 600_000
_PERCENT = 100
_MS_PER_SECOND = 1000


class Traffic:
    """Counts the bytes and reads of all connections of this process."""

    read_bytes = 0
    reads = 0


class _Snapshot(NamedTuple):
    at: float
    cpu: float
    read_bytes: int
    reads: int


class Cost(NamedTuple):
    """Average cost of one node per second."""

    bytes_per_second: float
    reads_per_second: float
    core_percent: float

    def __str__(self) -> str:
        """Return the cost as text."""
        return (
            f'{self.bytes_per_second:.0f} bytes/s in '
            f'{self.reads_per_second:.0f} reads/s, '
            f'{self.core_percent:.1f}% of a core'
        )


class LoopbackCell:
    """Entries of one cell, and engines that renew at random entries."""

    def __init__(self, entries: int, engines: int) -> None:
        """Bind the sockets; :meth:`start` runs the entries."""
        self._names = [f'engine-{number:03}' for number in range(engines)]
        self._listeners = [
            bound_socket(Address('127.0.0.1', 0)) for _ in range(entries)
        ]
        self._rng = random.Random(1)
        self._renewals: asyncio.Task[None] | None = None
        self.nodes: list[CellNode] = []

    async def start(self) -> None:
        """Start every entry and give engines time to get an owner."""
        cell = ','.join(
            'entry-{}@{}:{}'.format(number, *listener.getsockname())
            for number, listener in enumerate(self._listeners)
        )
        for number, listener in enumerate(self._listeners):
            shared = SettingsStore()
            shared.apply(tree_update(1))
            context = NodeContext(
                node_settings(f'entry-{number}', cell),
                1,
                SystemClock(),
                random.Random(number),
            )
            node = CellNode(context, shared, FakeEngines())
            self.nodes.append(node)
            await node.start(listener)  # noqa: WPS476 - one at a time
        self._renewals = asyncio.create_task(self._renew())
        await asyncio.sleep(_SETTLE_SECONDS)

    async def close(self) -> None:
        """Close every entry."""
        if self._renewals is not None:
            self._renewals.cancel()
        await asyncio.gather(*[node.close() for node in self.nodes])

    def owned(self) -> int:
        """Return how many engines have an owner that grants memory."""
        return sum(len(node.host.owned_ids()) for node in self.nodes)

    def change(self) -> None:
        """Announce another model on a random engine."""
        name = self._rng.choice(self._names)
        models = (f'model-{self._rng.random()}',)
        node = self._rng.choice(self.nodes)
        node.cell.announce(engine_record(name)._replace(models=models))

    async def _renew(self) -> None:
        pause = _RENEW_SECONDS / len(self._names)
        for name in itertools.cycle(self._names):
            node = self._rng.choice(self.nodes)
            record = node.cell.table.get(name) or engine_record(name)
            node.cell.announce(record)
            await asyncio.sleep(pause)  # noqa: WPS476 - spread over time


async def _serve_steadily(node: CellNode, prefix: str) -> None:
    """Make reservations at a steady rate, each held for half a second."""
    running: set[asyncio.Task[None]] = set()
    for number in itertools.count():
        task = asyncio.create_task(_hold_shortly(node, f'{prefix}-{number}'))
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(1 / _REQUEST_RATE)  # noqa: WPS476 - a steady rate


async def _hold_shortly(node: CellNode, name: str) -> None:
    granted = await node.reservations.reserve(_work(name), name)
    if not isinstance(granted, Reservation):
        raise RuntimeError(f'not granted: {granted}')
    node.reservations.report_started(granted)
    await asyncio.sleep(_HALF_HOLD_SECONDS)
    node.reservations.report_progress(granted, 1)
    await asyncio.sleep(_HALF_HOLD_SECONDS)
    node.reservations.release(granted, output_tokens=100, failed=False)


def _take_snapshot() -> _Snapshot:
    return _Snapshot(
        time.monotonic(),
        time.process_time(),
        Traffic.read_bytes,
        Traffic.reads,
    )


def _cost(since: _Snapshot, entries: int) -> Cost:
    now = _take_snapshot()
    scale = 1 / (now.at - since.at) / entries
    return Cost(
        (now.read_bytes - since.read_bytes) * scale,
        (now.reads - since.reads) * scale,
        (now.cpu - since.cpu) * scale * _PERCENT,
    )


async def _measure_size(entries: int, engines: int, duration: float) -> None:
    cell = LoopbackCell(entries, engines)
    await cell.start()
    before = _take_snapshot()
    await asyncio.sleep(duration)
    idle = _cost(before, entries)
    before = _take_snapshot()
    for _ in range(_CHANGES):
        cell.change()
        await asyncio.sleep(_CHANGE_SECONDS)  # noqa: WPS476 - a steady rate
    busy = _cost(before, entries)
    loads = [
        asyncio.create_task(_serve_steadily(node, str(number)))
        for number, node in enumerate(cell.nodes)
    ]
    await asyncio.sleep(2)
    before = _take_snapshot()
    await asyncio.sleep(duration)
    steady = _cost(before, entries)
    for load in loads:
        load.cancel()
    per_change = (
        busy.bytes_per_second - idle.bytes_per_second
    ) * _CHANGE_SECONDS
    for line in (
        f'{entries} entries, {engines} engines, {cell.owned()} owned:',
        f'  idle: {idle}',
        f'  {_REQUEST_RATE} requests a second: {steady}',
        f'  {per_change:.0f} bytes a change',
    ):
        sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
    await cell.close()


def _work(request_id: str) -> Work:
    now = SystemClock().now()
    return Work(
        request_id=request_id,
        account='a',
        service='draft-desk',
        prompt_tokens=900,
        most_output_tokens=100,
        expected_output_tokens=100,
        deadline=now + _DEADLINE_MS,
        arrival=now,
    )


async def _reserve_once(node: CellNode, number: int) -> None:
    granted = await node.reservations.reserve(_work(f'r{number}'), f'a{number}')
    if not isinstance(granted, Reservation):
        raise RuntimeError(f'not granted: {granted}')
    node.reservations.report_started(granted)
    node.reservations.release(granted, output_tokens=100, failed=False)


async def _measure_reservations() -> None:
    """Measure reservations at one engine, by its owner and by a peer."""
    cell = LoopbackCell(3, 1)
    await cell.start()
    owner = next(node for node in cell.nodes if node.host.owned_ids())
    other = next(node for node in cell.nodes if node is not owner)
    for name, node, concurrency in (
        ('at its own engine, one at a time', owner, 1),
        ('at a peer, one at a time', other, 1),
        ('at a peer, many at once', other, _CONCURRENCY),
    ):
        before = _take_snapshot()
        for batch in range(_RESERVATIONS // concurrency):
            await asyncio.gather(  # noqa: WPS476 - so many at once
                *[
                    _reserve_once(node, batch * concurrency + number)
                    for number in range(concurrency)
                ]
            )
        now = _take_snapshot()
        count = _RESERVATIONS // concurrency * concurrency
        sys.stdout.write(
            f'{name}: {(now.at - before.at) / count * _MS_PER_SECOND:.2f} ms '
            f'each, {(now.cpu - before.cpu) / count * _MS_PER_SECOND:.2f} ms '
            f'of processor time at both ends, '
            f'{count / (now.at - before.at):.0f} a second\n'
        )
    await cell.close()


class _CountingProtocol(H2Protocol):
    """An HTTP/2 connection that counts the data it reads."""

    def data_received(self, payload: bytes) -> None:
        Traffic.read_bytes += len(payload)
        Traffic.reads += 1
        super().data_received(payload)


def _count_traffic() -> None:
    """Make both ends of every connection count their reads."""
    setattr(grpclib_client, 'H2Protocol', _CountingProtocol)
    setattr(grpclib_server, 'H2Protocol', _CountingProtocol)


def main(arguments: Sequence[str] | None = None) -> int:
    """Print the cost of reservations, then the cost of each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=seconds(15_000))
    parser.add_argument(
        '--entries', type=int, default=0, help='measure one cell of this size'
    )
    parser.add_argument(
        '--engines', type=int, default=0, help='engines of that cell'
    )
    options = parser.parse_args(arguments)
    configure('warning', 'text')
    _count_traffic()
    asyncio.run(_measure_reservations())
    sizes = list(_SIZES)
    if options.entries:
        sizes = [Size(options.entries, options.engines)]
    for entries, engines in sizes:
        asyncio.run(_measure_size(entries, engines, options.seconds))
    return 0


if __name__ == '__main__':
    sys.exit(main())
