"""Runs a replica group through a schedule of faults and checks invariants.

Invariants: there is at most one leader per term; the command applied at an
index is the same on all replicas at all times; an acknowledged command is never
lost; a rejected command is never applied; a barrier covers all commands
acknowledged before it.
"""

import asyncio
from typing import NamedTuple

from tests.consensus_network import Group, ListMachine, peer, run_in_order
from tests.virtual_loop import run_virtual
from verbenathread.exceptions import (
    UnavailableError,
    UnknownOutcomeError,
    VerbenathreadError,
)

ACTIONS = (
    'propose',
    'propose',
    'barrier',
    'slow_disk',
    'crash',
    'crash_at_sync',
    'restart',
    'restart',
    'stop',
    'isolate',
    'block_one_way',
    'heal',
    'heal',
    'vary_network',
    'replace_disk',
    'lose_disk',
)
_SNAPSHOT_RECORDS = 12
_CHUNK_BYTES = 200
_CALL_LIMIT_MS = 1500
# Short, so that a short schedule covers many elections.
_ELECTION_TIMEOUT_MS = 200
_HEARTBEAT_MS = 40
_BURST = 3


class Step(NamedTuple):
    """One action on one node, and the pause after it."""

    action: str
    # 0 for a replica that leads; any other number selects a replica.
    node: int
    pause_ms: int


class Checks:
    """Observed state and the violations of invariants."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.leader_by_term: dict[int, str] = {}
        self.text_by_index: dict[int, str] = {}
        self.acknowledged: dict[int, str] = {}
        self.rejected: set[str] = set()

    def record(self, kind, seen, key, value):
        known = seen.setdefault(key, value)
        if known != value:
            self.violations.append(f'{kind} {key}: {known}, then {value}')

    def check_group(self, group):
        for node_id, replica in group.replicas.items():
            leadership = replica._state.leadership
            if leadership is not None:
                self.record(
                    'leader of term',
                    self.leader_by_term,
                    leadership.term,
                    node_id,
                )
            failure = replica.status().failure
            if failure and 'Input/output' not in failure:
                self.violations.append(f'{node_id} failed: {failure}')

    def check_machine(self, node_id, machine):
        indexes = [index for index, _ in machine.applied]
        if indexes != sorted(set(indexes)):
            self.violations.append(f'{node_id} applied out of order: {indexes}')
        for index, text in machine.applied:
            self.record('entry', self.text_by_index, index, text)


class Schedule:
    """Runs a group through a list of steps."""

    def __init__(self, seed) -> None:
        self.group = Group(
            voters=3 if seed % 3 else 5,
            seed=seed,
            snapshot_records=_SNAPSHOT_RECORDS,
            chunk_bytes=_CHUNK_BYTES,
            election_timeout=_ELECTION_TIMEOUT_MS,
            heartbeat=_HEARTBEAT_MS,
        )
        self.checks = Checks()
        self.calls: list[asyncio.Task[None]] = []
        self.counter = 0
        self.formed = False
        # Node that lost its disk; it is replaced as a member at the end.
        self.lost_disk_id = ''

    async def run(self, steps):
        async with self.group as group:
            watcher = asyncio.create_task(self.watch())
            if steps and steps[0].action != 'crash':
                # Otherwise the group is formed while faults occur.
                await self.propose_until_acknowledged('formed')
                self.formed = True
            await run_in_order(self.step, steps)
            await self.recover()
            await group.wait_applied(
                await self.propose_until_acknowledged('last')
            )
            watcher.cancel()
            self.checks.check_group(group)
            for node_id, machine in group.machine_by_id.items():
                self.checks.check_machine(node_id, machine)
            self.check_outcomes(
                max(group.machine_by_id.values(), key=applied_count)
            )
            for task in group.network.duplicates:
                task.cancel()
        return self.checks.violations

    def check_outcomes(self, machine):
        final = dict(machine.applied)
        for index, text in self.checks.acknowledged.items():
            if final.get(index) != text:
                self.checks.violations.append(f'acknowledged {text} was lost')
        for text in self.checks.rejected & set(final.values()):
            self.checks.violations.append(f'rejected {text} was applied')

    async def watch(self):
        while True:
            self.checks.check_group(self.group)
            for node_id, machine in self.group.machine_by_id.items():
                self.checks.check_machine(node_id, machine)
            await asyncio.sleep(0.02)

    async def recover(self):
        await self.stop_faults()
        await asyncio.wait(self.calls)
        await run_in_order(
            self.ensure_running,
            [one.node_id for one in self.group.initial_peers],
        )
        if self.lost_disk_id:
            await self.replace_member(self.lost_disk_id)

    async def stop_faults(self):
        """Stop injecting faults and heal the network."""
        for files in self.group.files_by_id.values():
            files.before_sync = lambda: None
        network = self.group.network
        network.heal()
        network.drop_rate = 0
        network.duplicate_rate = 0
        self.spawn(asyncio.sleep(0.1))
        await self.calls[-1]

    async def ensure_running(self, node_id):
        replica = self.group.replicas.get(node_id)
        if replica is not None and replica.status().failure:
            await self.group.crash(node_id)
        if node_id not in self.group.replicas:
            await self.group.start(node_id)

    async def step(self, step):
        if step.node:
            # The number is at most 3; the offset reaches all of five replicas.
            offset = self.group.rng.choice((0, 2))
            chosen = self.group.initial_peers[
                (step.node + offset) % len(self.group.initial_peers)
            ]
            node_id = chosen.node_id
        else:
            node_id = self.leader_id() or 'n1'
        await getattr(self, step.action)(node_id)
        await asyncio.sleep(step.pause_ms / 1000)

    def spawn(self, call):
        self.calls.append(asyncio.create_task(call))

    async def propose(self, _):
        for _ in range(_BURST):
            self.counter += 1
            self.spawn(self.propose_one(f'c{self.counter}'))

    async def propose_until_acknowledged(self, text):
        """Propose until the command is acknowledged; return its index."""
        try:
            return (await self.group.propose(text)).index
        except UnknownOutcomeError:
            return await self.propose_until_acknowledged(text)

    async def propose_one(self, text):
        replica = self.leader_replica()
        if replica is None:
            return
        try:
            applied = await replica.propose(text.encode(), _CALL_LIMIT_MS)
        except UnavailableError:
            self.checks.rejected.add(text)
        except UnknownOutcomeError:
            return
        else:
            self.checks.acknowledged[applied.index] = text

    async def barrier(self, _):
        self.spawn(self.barrier_once())

    async def barrier_once(self):
        replica = self.leader_replica()
        newest = max(self.checks.acknowledged, default=0)
        if replica is None:
            return
        try:
            index = await replica.barrier(_CALL_LIMIT_MS)
        except UnavailableError:
            return
        if index < newest:
            self.checks.violations.append(f'barrier {index} missed {newest}')

    def leader_id(self):
        """Return a node that considers itself the leader, stale or not."""
        leaders = []
        for node_id, replica in self.group.replicas.items():
            if replica._state.leadership is not None:
                leaders.append(node_id)
        return self.group.rng.choice(leaders) if leaders else None

    def leader_replica(self):
        return self.group.replicas.get(self.leader_id())

    async def crash(self, node_id):
        if node_id in self.group.replicas:
            await self.group.crash(node_id)

    async def crash_at_sync(self, node_id):
        files = self.group.files_by_id[node_id]

        def crash():
            files.before_sync = lambda: None
            self.spawn(self.crash(node_id))

        if node_id in self.group.replicas:
            files.before_sync = crash

    async def restart(self, _):
        stopped = []
        for member in self.group.initial_peers:
            if member.node_id not in self.group.replicas:
                stopped.append(member.node_id)
        await run_in_order(self.group.start, stopped)

    async def stop(self, node_id):
        if node_id in self.group.replicas:
            await self.group.stop(node_id, transfer_leadership=True)

    async def isolate(self, node_id):
        self.group.network.isolate(node_id)

    async def block_one_way(self, node_id):
        other = self.group.rng.choice(self.group.initial_peers).node_id
        way = [node_id, other]
        self.group.rng.shuffle(way)
        self.group.network.blocked.add(tuple(way))

    async def heal(self, _):
        self.group.network.heal()

    async def vary_network(self, _):
        network = self.group.network
        network.drop_rate = network.rng.choice((0, 0.05, 0.2))
        network.duplicate_rate = network.rng.choice((0, 0.1))
        network.max_delay_ms = network.rng.choice((2, 20, 60))

    async def slow_disk(self, node_id):
        files = self.group.files_by_id[node_id]
        files.sync_seconds = self.group.rng.choice((0.002, 0.03, 0.3))

    async def lose_disk(self, node_id):
        """Lose one disk during faults; the node restarts with a new store."""
        if (
            self.formed
            and not self.lost_disk_id
            and node_id in self.group.replicas
        ):
            self.lost_disk_id = node_id
            await self.group.lose_disk(node_id)
            await self.group.start(node_id)

    async def replace_disk(self, node_id):
        """Lose one disk while all voters run, and replace the voter."""
        group = self.group
        await self.stop_faults()
        if self.lost_disk_id or len(group.replicas) < len(group.initial_peers):
            return
        # Ensures that the group is formed before a disk is lost.
        await group.wait_applied(await self.propose_until_acknowledged('whole'))
        await group.lose_disk(node_id)
        await group.start(node_id, join=True)
        await self.replace_member(node_id)

    async def replace_member(self, node_id):
        others = [one.node_id for one in self.group.initial_peers]
        others.remove(node_id)
        actions = ['remove', 'add', 'promote']
        while actions:
            leader = self.group.replicas[await self.group.leader(among=others)]
            try:
                await leader.change_member(
                    actions[0], peer(node_id), _CALL_LIMIT_MS
                )
            except (UnavailableError, UnknownOutcomeError):
                await asyncio.sleep(0.1)
                continue
            actions.pop(0)


def applied_count(machine: ListMachine):
    return len(machine.applied)


def run_schedule(steps: list[Step], seed: int) -> list[str]:
    """Return the invariant violations of one schedule."""
    try:
        return run_virtual(Schedule(seed).run(steps))
    except (AssertionError, VerbenathreadError) as error:
        return [f'{type(error).__name__}: {error}']
