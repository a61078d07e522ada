"""Measure the replicated log: syncs, elections, heartbeats, throughput.

The first measurements run in virtual time and are reproducible. The last one
runs three replicas with synced files and loopback sockets in one process; its
figures depend on the machine.
"""

import asyncio
import contextlib
import random
import socket
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import structlog
from grpclib.server import Server

from tests.consensus_network import Group, ListMachine
from tests.virtual_loop import run_virtual
from verbenathread.clock import SystemClock
from verbenathread.consensus.disk import FileStorage
from verbenathread.consensus.replica import Replica
from verbenathread.consensus.rpc import ConsensusService, RpcTransport
from verbenathread.consensus.settings import ReplicaSettings
from verbenathread.types import Address, Peer

_CHANGES = 640
_CHANGE = bytes(200)
_MANY_PROPOSERS = 32
_LOOPBACK = '127.0.0.1'
_SEEDS = 20
_IDLE_SECONDS = 30
_TIME_LIMIT_MS = 30_000
_CRITICAL_LEVEL = 50


def print_figure(name: str, figure: object) -> None:
    """Print one figure."""
    sys.stdout.write(f'{name}: {figure}\n')


async def propose_in(proposers: int, replica: Replica) -> None:
    """Propose all changes, by ``proposers`` concurrent proposers."""
    share = _CHANGES // proposers
    await asyncio.gather(
        *(propose_some(share, replica) for _ in range(proposers))
    )


async def propose_some(count: int, replica: Replica) -> None:
    """Propose ``count`` changes in sequence."""
    remaining = count
    while remaining:
        await replica.propose(_CHANGE, _TIME_LIMIT_MS)
        remaining -= 1


async def count_syncs(proposers: int) -> float:
    """Return the number of syncs of the leader per change."""
    async with Group(snapshot_records=10 * _CHANGES) as group:
        leader: Replica = group.replicas[await group.leader()]
        await leader.propose(b'first', _TIME_LIMIT_MS)
        before = leader.status().sync_count
        await propose_in(proposers, leader)
        return (leader.status().sync_count - before) / _CHANGES


async def leaderless_time(seed: int) -> float:
    """Return the time from a leader's crash to the next commit.

    The unit is one election timeout.
    """
    async with Group(seed=seed) as group:
        await group.wait_applied(await group.propose_all(['first']))
        await asyncio.sleep(group.rng.uniform(1, 3))
        await group.crash(await group.leader())
        killed_at = asyncio.get_running_loop().time()
        await group.propose('next')
        return float(asyncio.get_running_loop().time() - killed_at)


async def idle_payload() -> float:
    """Return the payload bytes per second of messages in an idle group."""
    async with Group() as group:
        await group.wait_applied(await group.propose_all(['first']))
        await asyncio.sleep(1)
        before = group.network.bytes
        await asyncio.sleep(_IDLE_SECONDS)
        return float(group.network.bytes - before) / _IDLE_SECONDS


class Relay:
    """Forwards connections to a port and counts their bytes."""

    def __init__(self) -> None:
        """Start the count at zero, with no target port."""
        self.bytes = 0
        self.target = 0
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> Address:
        """Listen and return the address."""
        server = await asyncio.start_server(self._accept, _LOOPBACK, 0)
        return Address(*server.sockets[0].getsockname())

    async def _accept(self, reader: Any, writer: Any) -> None:
        target = await asyncio.open_connection(_LOOPBACK, self.target)
        for source, sink in ((reader, target[1]), (target[0], writer)):
            self.tasks.append(asyncio.create_task(self._forward(source, sink)))

    async def _forward(self, source: Any, sink: Any) -> None:
        content = await source.read(65536)
        while content:
            self.bytes += len(content)
            sink.write(content)
            content = await source.read(65536)
        sink.close()


async def start_node(
    local_peer: Peer, peers: tuple[Peer, ...], relay: Relay, folder: Path
) -> Replica:
    """Start one replica, reachable through its relay."""
    replica = Replica(
        settings=ReplicaSettings(local_peer, 'bench', peers),
        storage=FileStorage(folder / local_peer.node_id),
        machine=ListMachine(),
        transport=RpcTransport('bench', 'key'),
        clock=SystemClock(),
        random=random.Random(local_peer.node_id),
    )
    # With an explicit protocol: otherwise the event loop doesn't recognise TCP
    # and leaves Nagle's algorithm enabled.
    listener = socket.socket(proto=socket.IPPROTO_TCP)
    listener.bind((_LOOPBACK, 0))
    relay.target = listener.getsockname()[1]
    server = Server([ConsensusService(replica, 'bench', 'key')])
    await server.start(sock=listener)
    await replica.start()
    return replica


async def measure_on_sockets(folder: Path) -> None:
    """Measure three replicas with real files and sockets."""
    relays = (Relay(), Relay(), Relay())
    addresses = await asyncio.gather(*(relay.start() for relay in relays))
    peers = []
    for number, address in enumerate(addresses):
        peers.append(Peer(f'n{number}', address))
    nodes = []
    for local_peer, relay in zip(peers, relays, strict=True):
        nodes.append(start_node(local_peer, tuple(peers), relay, folder))
    replicas = await asyncio.gather(*nodes)
    leader = await find_leader(replicas)
    await measure_throughput(1, leader)
    await measure_throughput(_MANY_PROPOSERS, leader)
    await measure_idle(relays)
    await asyncio.gather(*(replica.stop() for replica in replicas))


async def measure_throughput(proposers: int, leader: Replica) -> None:
    """Print the rate of committed changes."""
    before = leader.status().sync_count
    started = time.perf_counter()
    await propose_in(proposers, leader)
    took = time.perf_counter() - started
    syncs = (leader.status().sync_count - before) / _CHANGES
    print_figure(
        f'{proposers} proposers, files and sockets',
        f'{_CHANGES / took:.0f} changes/s, {syncs:.2f} syncs per change',
    )


async def measure_idle(relays: tuple[Relay, ...]) -> None:
    """Print the network and CPU cost of an idle group."""
    await asyncio.sleep(1)
    sent = -sum(relay.bytes for relay in relays)
    used = time.process_time()
    await asyncio.sleep(_IDLE_SECONDS)
    sent += sum(relay.bytes for relay in relays)
    used = time.process_time() - used
    print_figure(
        'idle group of 3 on sockets',
        f'{sent / _IDLE_SECONDS:.0f} bytes/s in all, '
        f'{used / _IDLE_SECONDS * 1000:.1f} ms/s of processor time for all '
        'three and the relays that count bytes',
    )


async def find_leader(replicas: list[Replica]) -> Replica:
    """Wait until one replica leads."""
    while True:
        for replica in replicas:
            if replica.status().is_leader:
                return replica
        await asyncio.sleep(0.05)


def main() -> int:
    """Print every figure."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(_CRITICAL_LEVEL)
    )
    for proposers in (1, _MANY_PROPOSERS):
        print_figure(
            f'leader syncs per change, {proposers} proposers',
            f'{run_virtual(count_syncs(proposers)):.2f}',
        )
    gaps = []
    for seed in range(_SEEDS):
        gaps.append(run_virtual(leaderless_time(seed)))
    print_figure(
        f'election timeouts without a commit after a kill, {_SEEDS} seeds',
        f'median {statistics.median(gaps):.2f}, most {max(gaps):.2f}',
    )
    print_figure(
        'idle payload', f'{run_virtual(idle_payload()):.0f} bytes/s in all'
    )
    with tempfile.TemporaryDirectory() as folder:
        with contextlib.suppress(asyncio.CancelledError):
            asyncio.run(measure_on_sockets(Path(folder)))
    return 0


if __name__ == '__main__':
    sys.exit(main())
