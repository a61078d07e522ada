"""Replica group with fault injection in the network and the disks.

Everything runs on the virtual event loop and uses one seeded generator.
"""

import asyncio
import json
import random
from collections.abc import Callable

from verbenathread.clock import LoopClock
from verbenathread.consensus.disk import RecordStorage
from verbenathread.consensus.replica import Replica
from verbenathread.consensus.settings import ReplicaSettings
from verbenathread.exceptions import UnavailableError
from verbenathread.rpc_channel import call_within
from verbenathread.types import Address, Peer

TIMEOUT_MS = 20_000


class MemoryFiles:
    """In-memory files that track which bytes have been synced."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.content: dict[str, bytes] = {}
        self.synced: dict[str, bytes] = {}
        # File names at the last sync of the folder.
        self.durable: set[str] = set()
        self.failing = False
        self.full = False
        self.before_sync: Callable[[], None] = lambda: None
        self.sync_seconds = 0.002

    def lock(self) -> None:
        """Do nothing; the files are not shared."""

    def names(self):
        return sorted(self.content)

    def read(self, name):
        return self.content[name]

    def append(self, name, content):
        if self.full:
            # The write stops in the middle of the content.
            torn = content[: self.rng.randint(0, len(content) - 1)]
            self.content[name] = self.content.get(name, b'') + torn
            raise OSError(28, 'No space left on device')
        self.content[name] = self.content.get(name, b'') + content

    def overwrite(self, name, content):
        if self.full:
            raise OSError(28, 'No space left on device')
        self.content[name] = (
            content + self.content.get(name, b'')[len(content) :]
        )

    def truncate(self, name, length):
        self.content[name] = self.content[name][:length]

    def rename(self, name, new_name):
        self.content[new_name] = self.content.pop(name)
        if name in self.synced:
            self.synced[new_name] = self.synced.pop(name)

    def remove(self, name):
        self.content.pop(name)

    async def sync(self, name):
        content = self.content[name]
        self.before_sync()
        await asyncio.sleep(self.rng.uniform(0, self.sync_seconds))
        if self.failing:
            raise OSError(5, 'Input/output error')
        self.synced[name] = content

    async def sync_folder(self):
        names = sorted(self.content)
        self.before_sync()
        await asyncio.sleep(self.rng.uniform(0, self.sync_seconds))
        self.durable = set(names)

    def path(self, name):
        return f'memory/{name}'

    def close(self) -> None:
        """Do nothing; the content is kept for the next start."""

    def crashed(self) -> 'MemoryFiles':
        """Return the files as found after a power loss at this moment."""
        after = MemoryFiles(self.rng)
        names = sorted(self.durable)
        if self.rng.randrange(2):
            names = sorted(self.content)
        for name in names:
            kept = self.synced.get(name, b'')
            current = self.content.get(name, kept)
            if current.startswith(kept):
                torn = self.rng.randint(len(kept), len(current))
                kept = current[:torn]
            after.content[name] = kept
            after.synced[name] = kept
        after.durable = set(names)
        return after


class ListMachine:
    """Records every command with its index; the result is the count."""

    def __init__(self) -> None:
        self.applied: list[tuple[int, str]] = []

    def apply(self, index, command):
        self.applied.append((index, command.decode()))
        return str(len(self.applied)).encode()

    def snapshot(self):
        return json.dumps(self.applied).encode()

    def restore(self, image):
        self.applied = [(index, text) for index, text in json.loads(image)]


class Network:
    """Carries calls, with loss, delay, duplication and partitions."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.replica_by_id: dict[str, Replica] = {}
        # Pairs of sender and receiver between which all messages are lost.
        self.blocked: set[tuple[str, str]] = set()
        self.drop_rate = 0.0
        self.duplicate_rate = 0.0
        self.max_delay_ms = 2.0
        self.calls = 0
        self.bytes = 0
        self.duplicates: list[asyncio.Task[None]] = []

    def isolate(self, node_id):
        for other in self.replica_by_id:
            self.blocked |= {(node_id, other), (other, node_id)}

    def heal(self):
        self.blocked.clear()

    async def deliver(self, sender, receiver):
        await asyncio.sleep(self.rng.uniform(0.2, self.max_delay_ms) / 1000)
        lost = self.rng.random() < self.drop_rate
        if lost or (sender, receiver) in self.blocked:
            # The message never arrives; the caller's timeout ends the wait.
            await asyncio.get_running_loop().create_future()

    async def call(self, kind, sender, receiver, request):
        copy = type(request)()
        copy.CopyFrom(request)
        self.calls += 1
        self.bytes += request.ByteSize()
        await self.deliver(sender, receiver)
        replica = self.replica_by_id.get(receiver)
        if replica is None:
            raise UnavailableError('No replica runs there; try another one.')
        reply = await getattr(replica, kind)(copy)
        await self.deliver(receiver, sender)
        self.bytes += reply.ByteSize()
        return reply

    async def send_duplicate(self, kind, sender, receiver, request):
        await asyncio.sleep(self.rng.uniform(0, 0.5))
        try:
            await call_within(self.call(kind, sender, receiver, request), 1000)
        except (TimeoutError, UnavailableError):
            return


class NetworkTransport:
    """Transport of one replica over :class:`Network`."""

    def __init__(self, network: Network, sender: str) -> None:
        self.network = network
        self.sender = sender

    def __getattr__(self, kind):
        async def call(peer, request, limit):
            network = self.network
            if network.rng.random() < network.duplicate_rate:
                again = network.send_duplicate(
                    kind, self.sender, peer.node_id, request
                )
                network.duplicates.append(asyncio.create_task(again))
            try:
                return await call_within(
                    network.call(kind, self.sender, peer.node_id, request),
                    limit,
                )
            except TimeoutError:
                raise UnavailableError('The call timed out.') from None

        return call


def peer(node_id):
    return Peer(node_id, Address('127.0.0.1', 7000 + int(node_id[1:])))


async def run_in_order(call, arguments):
    """Await ``call`` for each argument in order."""
    left = list(arguments)
    while left:
        await call(left.pop(0))


class Group:
    """Replicas n1, n2, ... with their files and state machines."""

    def __init__(self, voters=3, seed=1, **settings) -> None:
        self.rng = random.Random(seed)
        self.network = Network(self.rng)
        self.settings = settings
        self.initial_peers = tuple(peer(f'n{n + 1}') for n in range(voters))
        self.files_by_id: dict[str, MemoryFiles] = {}
        self.machine_by_id: dict[str, ListMachine] = {}

    async def __aenter__(self):
        await run_in_order(
            self.start, [one.node_id for one in self.initial_peers]
        )
        return self

    async def __aexit__(self, *_):
        await run_in_order(self.stop, list(self.replicas))

    @property
    def replicas(self):
        return self.network.replica_by_id

    async def start(self, node_id, *, join=False):
        files = self.files_by_id.setdefault(node_id, MemoryFiles(self.rng))
        machine = ListMachine()
        replica = Replica(
            settings=ReplicaSettings(
                local_peer=peer(node_id),
                cluster='test',
                initial_members=self.initial_peers,
                join=join,
                **self.settings,
            ),
            storage=RecordStorage(files),
            machine=machine,
            transport=NetworkTransport(self.network, node_id),
            clock=LoopClock(),
            random=self.rng,
        )
        await replica.start()
        self.machine_by_id[node_id] = machine
        self.replicas[node_id] = replica
        return replica

    async def stop(self, node_id, *, transfer_leadership=False):
        replica = self.replicas.pop(node_id)
        await replica.stop(transfer_leadership=transfer_leadership)

    async def crash(self, node_id):
        """Simulate a power loss: unsynced content may be lost or torn."""
        replica = self.replicas.pop(node_id)
        self.files_by_id[node_id] = self.files_by_id[node_id].crashed()
        await replica.stop(transfer_leadership=False)

    async def lose_disk(self, node_id):
        await self.crash(node_id)
        self.files_by_id.pop(node_id)

    async def leader(self, *, among=None):
        """Wait for a leader and return its node id."""
        deadline = asyncio.get_running_loop().time() + 60
        while asyncio.get_running_loop().time() < deadline:
            for node_id, replica in self.replicas.items():
                eligible = among is None or node_id in among
                if eligible and replica.status().is_leader:
                    return node_id
            await asyncio.sleep(0.01)
        raise AssertionError('no leader in 60 s')

    async def propose(self, text, limit=TIMEOUT_MS):
        replica = self.replicas[await self.leader()]
        try:
            return await replica.propose(text.encode(), limit)
        except UnavailableError:
            # Certainly not appended, for example after a change of leader.
            await asyncio.sleep(0.05)
        return await self.propose(text, limit)

    async def propose_all(self, texts):
        """Propose the commands in order and return the last index."""
        indexes = []

        async def one(text):
            indexes.append((await self.propose(text)).index)

        await run_in_order(one, texts)
        return indexes[-1]

    async def wait_applied(self, index, *node_ids):
        """Wait until the given or all replicas have applied ``index``."""

        async def one(node_id):
            await self.replicas[node_id].wait_applied(index - 1, TIMEOUT_MS)

        await run_in_order(one, node_ids or list(self.replicas))

    def texts(self, node_id):
        return [text for _, text in self.machine_by_id[node_id].applied]
