"""Runs a group through a schedule of faults and checks what must hold.

Invariants: one leader per term; what was applied anywhere at an index is the
same everywhere and for ever; what was answered is never lost; what was
refused as not taken never shows up; a barrier covers all answered before it.
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
    'one_way',
    'heal',
    'heal',
    'weather',
    'replace_disk',
    'lose_disk',
)
_SNAPSHOT_RECORDS = 12
_CHUNK_BYTES = 200
_CALL_LIMIT = 1500
# Short, so that much happens in a short schedule.
_ELECTION_TIMEOUT = 200
_HEARTBEAT = 40
_BURST = 3


class Step(NamedTuple):
    """One action on one node, and how long to wait after it."""

    action: str
    node: int
    pause_ms: int


class Checks:
    """What was seen, and every breach of an invariant."""

    def __init__(self) -> None:
        self.breaches: list[str] = []
        self.leader_by_term: dict[int, str] = {}
        self.text_by_index: dict[int, str] = {}
        self.answered: dict[int, str] = {}
        self.refused: set[str] = set()

    def see(self, kind, seen, key, found):
        known = seen.setdefault(key, found)
        if known != found:
            self.breaches.append(f'{kind} {key}: {known}, then {found}')

    def see_group(self, group):
        for node_id, replica in group.replicas.items():
            leading = replica._state.leading
            if leading is not None:
                self.see(
                    'leader of term', self.leader_by_term, leading.term, node_id
                )
            failure = replica.status().failure
            if failure and 'Input/output' not in failure:
                self.breaches.append(f'{node_id} failed: {failure}')

    def see_machine(self, node_id, machine):
        indexes = [index for index, _ in machine.applied]
        if indexes != sorted(set(indexes)):
            self.breaches.append(f'{node_id} applied out of order: {indexes}')
        for index, text in machine.applied:
            self.see('entry', self.text_by_index, index, text)


class Schedule:
    """A group under a list of steps."""

    def __init__(self, seed) -> None:
        self.group = Group(
            voters=3 if seed % 3 else 5,
            seed=seed,
            snapshot_records=_SNAPSHOT_RECORDS,
            chunk_bytes=_CHUNK_BYTES,
            election_timeout=_ELECTION_TIMEOUT,
            heartbeat=_HEARTBEAT,
        )
        self.checks = Checks()
        self.calls: list[asyncio.Task[None]] = []
        self.counter = 0
        self.formed = False
        # The node whose disk is gone; it is readmitted at the end.
        self.wiped = ''

    async def run(self, steps):
        async with self.group as group:
            watcher = asyncio.create_task(self.watch())
            if steps and steps[0].action != 'crash':
                # Else the group is formed under faults.
                await self.propose_surely('formed')
                self.formed = True
            await run_in_order(self.step, steps)
            await self.recover()
            await group.wait_applied(await self.propose_surely('last'))
            watcher.cancel()
            self.checks.see_group(group)
            for node_id, machine in group.machine_by_id.items():
                self.checks.see_machine(node_id, machine)
            self.check_answers(max(group.machine_by_id.values(), key=len_of))
            for task in group.network.doubles:
                task.cancel()
        return self.checks.breaches

    def check_answers(self, machine):
        final = dict(machine.applied)
        for index, text in self.checks.answered.items():
            if final.get(index) != text:
                self.checks.breaches.append(f'answered {text} was lost')
        for text in self.checks.refused & set(final.values()):
            self.checks.breaches.append(f'refused {text} was applied')

    async def watch(self):
        while True:
            self.checks.see_group(self.group)
            for node_id, machine in self.group.machine_by_id.items():
                self.checks.see_machine(node_id, machine)
            await asyncio.sleep(0.02)

    async def recover(self):
        await self.calm_down()
        await asyncio.wait(self.calls)
        await run_in_order(
            self.revive, [one.node_id for one in self.group.first]
        )
        if self.wiped:
            await self.readmit(self.wiped)

    async def calm_down(self):
        """Bring about no further fault."""
        for files in self.group.files_by_id.values():
            files.before_sync = lambda: None
        network = self.group.network
        network.heal()
        network.drop = 0
        network.double = 0
        self.spawn(asyncio.sleep(0.1))
        await self.calls[-1]

    async def revive(self, node_id):
        replica = self.group.replicas.get(node_id)
        if replica is not None and replica.status().failure:
            await self.group.crash(node_id)
        if node_id not in self.group.replicas:
            await self.group.start(node_id)

    async def step(self, step):
        if step.node:
            turn = self.group.rng.choice((0, 2))
            chosen = self.group.first[
                (step.node + turn) % len(self.group.first)
            ]
            node_id = chosen.node_id
        else:
            node_id = self.leading_id() or 'n1'
        await getattr(self, step.action)(node_id)
        await asyncio.sleep(step.pause_ms / 1000)

    def spawn(self, call):
        self.calls.append(asyncio.create_task(call))

    async def propose(self, _):
        for _ in range(_BURST):
            self.counter += 1
            self.spawn(self.propose_one(f'c{self.counter}'))

    async def propose_surely(self, text):
        """Propose until it is answered, and return its index."""
        try:
            return (await self.group.propose(text)).index
        except UnknownOutcomeError:
            return await self.propose_surely(text)

    async def propose_one(self, text):
        replica = self.leading()
        if replica is None:
            return
        try:
            applied = await replica.propose(text.encode(), _CALL_LIMIT)
        except UnavailableError:
            self.checks.refused.add(text)
        except UnknownOutcomeError:
            return
        else:
            self.checks.answered[applied.index] = text

    async def barrier(self, _):
        self.spawn(self.barrier_once())

    async def barrier_once(self):
        replica = self.leading()
        newest = max(self.checks.answered, default=0)
        if replica is None:
            return
        try:
            index = await replica.barrier(_CALL_LIMIT)
        except UnavailableError:
            return
        if index < newest:
            self.checks.breaches.append(f'barrier {index} missed {newest}')

    def leading_id(self):
        """Return whoever leads by its own account, deposed or not."""
        found = []
        for node_id, replica in self.group.replicas.items():
            if replica._state.leading is not None:
                found.append(node_id)
        return self.group.rng.choice(found) if found else None

    def leading(self):
        return self.group.replicas.get(self.leading_id())

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
        gone = []
        for member in self.group.first:
            if member.node_id not in self.group.replicas:
                gone.append(member.node_id)
        await run_in_order(self.group.start, gone)

    async def stop(self, node_id):
        if node_id in self.group.replicas:
            await self.group.stop(node_id, transfer_leadership=True)

    async def isolate(self, node_id):
        self.group.network.isolate(node_id)

    async def one_way(self, node_id):
        other = self.group.rng.choice(self.group.first).node_id
        way = [node_id, other]
        self.group.rng.shuffle(way)
        self.group.network.cut.add(tuple(way))

    async def heal(self, _):
        self.group.network.heal()

    async def weather(self, _):
        network = self.group.network
        network.drop = network.rng.choice((0, 0.05, 0.2))
        network.double = network.rng.choice((0, 0.1))
        network.slowest_ms = network.rng.choice((2, 20, 60))

    async def slow_disk(self, node_id):
        files = self.group.files_by_id[node_id]
        files.sync_seconds = self.group.rng.choice((0.002, 0.03, 0.3))

    async def lose_disk(self, node_id):
        """Lose one disk in the midst; the node comes back under its name."""
        if self.formed and not self.wiped and node_id in self.group.replicas:
            self.wiped = node_id
            await self.group.lose_disk(node_id)
            await self.group.start(node_id)

    async def replace_disk(self, node_id):
        """Lose one disk while the others are whole, and replace the voter."""
        group = self.group
        await self.calm_down()
        if self.wiped or len(group.replicas) < len(group.first):
            return
        # Without a formed group there is nothing to lose or to replace.
        await group.wait_applied(await self.propose_surely('whole'))
        await group.lose_disk(node_id)
        await group.start(node_id, join=True)
        await self.readmit(node_id)

    async def readmit(self, node_id):
        others = [one.node_id for one in self.group.first]
        others.remove(node_id)
        actions = ['remove', 'add', 'promote']
        while actions:
            leader = self.group.replicas[await self.group.leader(among=others)]
            try:
                await leader.change_member(
                    actions[0], peer(node_id), _CALL_LIMIT
                )
            except (UnavailableError, UnknownOutcomeError):
                await asyncio.sleep(0.1)
                continue
            actions.pop(0)


def len_of(machine: ListMachine):
    return len(machine.applied)


def run_schedule(steps: list[Step], seed: int) -> list[str]:
    """Return the breaches that one schedule led to."""
    try:
        return run_virtual(Schedule(seed).run(steps))
    except (AssertionError, VerbenathreadError) as error:
        return [f'{type(error).__name__}: {error}']
