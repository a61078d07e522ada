"""Measure a control group: cost per session, change and claim, and memory.

The group is three processes on loopback with synced disks. The sessions and
the client run in this process, whose own time is not counted. Prints the
figures without checking them.
"""

import argparse
import asyncio
import re
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple
from unittest import mock

from grpclib.client import Channel

from tests.consensus_network import Group
from tests.control_commands import Log, account_text, change
from tests.control_processes import (
    CLUSTER,
    NODE_KEY,
    ControlGroup,
    NodeSession,
)
from tests.virtual_loop import run_virtual
from tools.processes import Processes, running_processes
from verbenathread.clock import MS_PER_SECOND, SystemClock
from verbenathread.control.machine import ControlMachine
from verbenathread.control.proposals import Proposer
from verbenathread.schema import commands_pb2, control_pb2
from verbenathread.schema.control_grpc import ControlStub
from verbenathread.settings.node import parse_address

_SESSIONS = (1, 3, 9, 27)
_IDLE_SECONDS = 5
_CHANGES = 60
_CLAIMS = 300
_MEMORY_CLAIMS = 10_000
_BRANCHES = (10, 100, 570)
_STORED_BYTES = 500
_THOUSAND = 1000
_APPLIED_CHANGES = 10
_BYTES = re.compile(r'\bbytes_(?:sent|received):(\d+)')


class Cost(NamedTuple):
    """Total cost of one step over all three control processes."""

    cpu_ms: float
    # Bytes that connections carried, in both directions.
    carried: int
    elapsed_ms: float


async def measure(
    group: ControlGroup, step: Callable[[], Awaitable[None]]
) -> Cost:
    """Run ``step`` and return its cost to the control processes."""
    started = time.monotonic()
    cpu_before = total_cpu(group.processes)
    bytes_before = total_bytes(group)
    await step()
    return Cost(
        total_cpu(group.processes) - cpu_before,
        total_bytes(group) - bytes_before,
        (time.monotonic() - started) * MS_PER_SECOND,
    )


def total_cpu(processes: Processes) -> float:
    """Return the processor time of all control processes in ms."""
    return sum(process.cpu_ms() for process in processes.by_name.values())


def total_bytes(group: ControlGroup) -> int:
    """Return the bytes that open connections to the group have carried.

    These are the kernel's counters, in both directions, as ``ss`` prints them.
    """
    ports = [address.port for address in group.address_by_name.values()]
    chosen = ' or '.join(f'sport = :{port}' for port in ports)
    shown = subprocess.run(
        ['ss', '-tinH', f'( {chosen} )'],
        check=True,
        capture_output=True,
        text=True,
    )
    return sum(int(count) for count in _BYTES.findall(shown.stdout))


class Bench:
    """A control group with a growing number of sessions."""

    def __init__(self, group: ControlGroup) -> None:
        """Measure ``group``."""
        self.group = group
        self.client = group.client()
        self.nodes: list[NodeSession] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.delays: list[float] = []
        self.revision = 0

    def open_sessions(self, count: int) -> None:
        """Open sessions up to ``count``, spread over the processes."""
        names = list(self.group.address_by_name)
        while len(self.nodes) < count:
            turn = len(self.nodes) % len(names)
            order = names[turn:] + names[:turn]
            node = NodeSession(self.group, f'e{len(self.nodes)}', *order)
            self.nodes.append(node)
            self.tasks.append(asyncio.create_task(self._run_session(node)))

    async def run(self, count: int) -> None:
        """Measure and report the costs with ``count`` sessions."""
        self.open_sessions(count)
        await asyncio.sleep(1)
        self.delays.clear()
        idle = await measure(self.group, self.idle)
        changes = await measure(self.group, self.change_often)
        claims = await measure(self.group, self.claim_often)
        report(count, self.delays, idle, changes, claims)

    async def idle(self) -> None:
        """Wait for the duration of the idle measurement."""
        await asyncio.sleep(_IDLE_SECONDS)

    async def change_often(self) -> None:
        """Change one branch repeatedly; wait each time until all run it."""
        remaining = _CHANGES
        while remaining:
            remaining -= 1
            started = time.monotonic()
            self.revision = await self.client.change(
                '/desk', account_text(remaining + 1), self.revision
            )
            while any(node.revision < self.revision for node in self.nodes):
                await asyncio.sleep(0.001)
            self.delays.append((time.monotonic() - started) * MS_PER_SECOND)

    async def claim_often(self) -> None:
        """Claim and settle calls at the leader, in sequence."""
        status = await self.client.status()
        leader = next(
            member.address
            for member in status.members
            if member.node_id == status.leader
        )
        address = parse_address(leader)
        channel = Channel(address.host, address.port)
        stub = ControlStub(channel)
        remaining = _CLAIMS
        while remaining:
            remaining -= 1
            key = f'key-{len(self.nodes)}-{remaining}'
            await stub.Claim(claim_request(key, 'attempt'))
            await stub.Settle(settle_request(key, 'attempt'))
        channel.close()

    async def _run_session(self, node: NodeSession) -> None:
        await node.run()


def claim_request(key: str, attempt: str) -> control_pb2.ClaimRequest:
    """Return a claim as an entry sends it."""
    return control_pb2.ClaimRequest(
        cluster=CLUSTER,
        node_key=NODE_KEY,
        account='fbis',
        service='booking-desk',
        idempotency_key=key,
        body_sha256='0' * 64,
        attempt_id=attempt,
        node_id='e0',
        node_incarnation=1,
        retention_s=86_400,
        time_limit_ms=60_000,
    )


def settle_request(key: str, attempt: str) -> control_pb2.SettleRequest:
    """Return the settlement of a claim, with a stored answer."""
    return control_pb2.SettleRequest(
        cluster=CLUSTER,
        node_key=NODE_KEY,
        account='fbis',
        service='booking-desk',
        idempotency_key=key,
        attempt_id=attempt,
        state=control_pb2.CLAIM_COMPLETED,
        stored=control_pb2.StoredAnswer(status=201, body=b'x' * _STORED_BYTES),
    )


async def run_group(folder: Path) -> None:
    """Measure one group with an increasing number of sessions."""
    with running_processes(folder) as processes:
        bench = Bench(ControlGroup(processes, records=1000))
        await bench.client.change('/other', '', 0)
        counts = list(_SESSIONS)
        while counts:
            await bench.run(counts.pop(0))
        resident = [
            process.resident_bytes() for process in processes.by_name.values()
        ]
        write(f'resident, largest process: {max(resident) / 2**20:.1f} MiB')
        for task in bench.tasks:
            task.cancel()
        await asyncio.wait(bench.tasks)
        bench.client.close()


def report(
    count: int, delays: list[float], idle: Cost, changes: Cost, claims: Cost
) -> None:
    """Print the costs at one number of sessions."""
    cpu_rate = idle.cpu_ms / idle.elapsed_ms
    byte_rate = idle.carried / idle.elapsed_ms * MS_PER_SECOND
    delays = sorted(delays)
    p99 = delays[int(len(delays) * 0.99)]
    write(
        f'{count} sessions: idle {cpu_rate:.2%} of a core and '
        f'{byte_rate:.0f} B/s over three processes; '
        f'change {net_cpu(changes.cpu_ms, cpu_rate, changes) / _CHANGES:.1f} '
        f'ms cpu, {net_bytes(changes, byte_rate) / _CHANGES:.0f} B, in force '
        f'after {statistics.median(delays):.0f} ms, p99 {p99:.0f} ms; '
        f'claim and settle '
        f'{net_cpu(claims.cpu_ms, cpu_rate, claims) / _CLAIMS:.1f} ms cpu, '
        f'{net_bytes(claims, byte_rate) / _CLAIMS:.0f} B, '
        f'{claims.elapsed_ms / _CLAIMS:.1f} ms'
    )


def net_cpu(cpu_ms: float, cpu_rate: float, cost: Cost) -> float:
    """Return the processor time in ms beyond that of an idle group."""
    return max(0, cpu_ms - cpu_rate * cost.elapsed_ms)


def net_bytes(cost: Cost, byte_rate: float) -> float:
    """Return the bytes beyond those of an idle group."""
    idle = byte_rate * cost.elapsed_ms / MS_PER_SECOND
    return max(0, cost.carried - idle)


def run_memory() -> None:
    """Print the memory of claims and the cost of a change by tree size."""
    log = Log()
    before = own_resident()
    for number in range(_MEMORY_CLAIMS):
        key = f'key-{number}'
        claim = claim_request(key, f'attempt-{number}')
        log.machine.apply(
            2 * number + 1,
            commands_pb2.Command(claim=claim).SerializeToString(),
        )
        settle = settle_request(key, f'attempt-{number}')
        log.machine.apply(
            2 * number + 2,
            commands_pb2.Command(settle=settle).SerializeToString(),
        )
    grown = own_resident() - before
    per_thousand = _MEMORY_CLAIMS / _THOUSAND
    image = len(log.machine.snapshot())
    write(
        f'1,000 settled claims with {_STORED_BYTES} B answers: '
        f'{grown / per_thousand / 1024:.0f} KiB resident, '
        f'{image / per_thousand / 1024:.0f} KiB in a snapshot'
    )
    for branches in _BRANCHES:
        change_cost(branches)


def change_cost(branches: int) -> None:
    """Print the cost of applying a change to a tree of ``branches``."""
    log = Log()
    for number in range(branches):
        text = account_text(1, f'a{number}')
        log.apply(change(f'{number}', text, 0, path=f'/team{number}'))
    rechecked_ms = apply_cost(log, checked=False)
    checked_ms = apply_cost(log, checked=True)
    started = time.process_time()
    image = len(log.machine.snapshot())
    snapshot = (time.process_time() - started) * MS_PER_SECOND
    write(
        f'{branches} branches of one account: {checked_ms:.2f} ms cpu to '
        f'apply a change, {rechecked_ms:.1f} ms if another change came after '
        f'its check, {snapshot:.1f} ms for a snapshot of '
        f'{image / 1024:.0f} KiB'
    )


def apply_cost(log: Log, *, checked: bool) -> float:
    """Return the processor time in ms to apply one change of a branch.

    With ``checked`` the tree is still at the revision at which the proposer
    checked the change, so that the machine does not check it again.
    """
    started = time.process_time()
    for number in range(_APPLIED_CHANGES):
        path = f'/team{number}'
        tree = log.machine.tree
        text = account_text(len(log.commands), f'a{number}')
        revision = tree.get(path).revision
        command = change(f'{path}-{checked}', text, revision, path=path)
        if checked:
            command.change.checked_revision = tree.revision()
        log.apply(command)
    return (time.process_time() - started) * MS_PER_SECOND / _APPLIED_CHANGES


async def count_syncs() -> None:
    """Print the syncs per change of each node, for changes in sequence."""
    with mock.patch('tests.consensus_network.ListMachine', ControlMachine):
        async with Group() as group:
            leader = await group.leader()
            machine = group.machine_by_id[leader]
            proposals = Proposer(group.replicas[leader], machine, SystemClock())
            before = syncs_by_node(group)
            revision = 0
            remaining = _CHANGES
            while remaining:
                remaining -= 1
                command = change(
                    f'{remaining}', account_text(remaining + 1), revision
                )
                reply = await proposals.change(command.change)
                revision = reply.revision
            after = syncs_by_node(group)
    each = [(after[node_id] - before[node_id]) / _CHANGES for node_id in before]
    shown = ', '.join(f'{count:.2f}' for count in each)
    write(f'syncs per change on each of three nodes: {shown}')


def syncs_by_node(group: Group) -> dict[str, int]:
    """Return the number of syncs of each replica so far."""
    return {
        node_id: replica.status().sync_count
        for node_id, replica in group.replicas.items()
    }


def own_resident() -> int:
    """Return the resident memory of this process in bytes."""
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    return pages * 4096


def write(line: str) -> None:
    """Write one line to standard output."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def main() -> int:
    """Run all measurements, or only those in this process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--memory', action='store_true', help='skip the group of processes'
    )
    options = parser.parse_args()
    run_memory()
    run_virtual(count_syncs())
    if not options.memory:
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(run_group(Path(folder)))
    return 0


if __name__ == '__main__':
    sys.exit(main())
