"""Cell nodes on one virtual loop, connected in memory, with fake engines."""

import asyncio
import random

from tests.cell_network import engine_record
from verbenathread.clock import LoopClock
from verbenathread.entry.cell_node import CellNode, NodeContext
from verbenathread.entry.peer_server import bound_socket
from verbenathread.entry.settings_store import SettingsStore
from verbenathread.exceptions import UnavailableError
from verbenathread.membership.cell import PeerUnreachableError
from verbenathread.scheduling.messages import EngineHold
from verbenathread.schema import control_pb2, peer_pb2, settings_pb2
from verbenathread.types import Address, Work

NEVER_S = 3600
DEADLINE_MS = 600_000
TREE = """
[service draft-desk]
announce_key_sha256 = {zeros}
time_limit = 60000
"""


def tree_update(
    revision: int, service: str = 'draft-desk'
) -> control_pb2.TreeUpdate:
    text = TREE.format(zeros='0' * 64).replace('draft-desk', service)
    branch = control_pb2.Branch(path='/', revision=revision, text=text)
    return control_pb2.TreeUpdate(
        revision=revision, whole=True, branches=[branch]
    )


def node_settings(
    node_id: str, cell: str, control: str = '127.0.0.1:1'
) -> settings_pb2.NodeSettings:
    return settings_pb2.NodeSettings(
        node=settings_pb2.NodeSection(
            id=node_id, data_centre='mobile-al', cluster='c', node_key='k'
        ),
        entry=settings_pb2.EntrySection(
            cell=cell, control=control, peer_listen='127.0.0.1:0'
        ),
    )


class FakeEngines:
    """The attempts that each engine holds, as it would list them."""

    def __init__(self) -> None:
        self.holds_by_id: dict[str, dict[str, EngineHold]] = {}
        self.unreadable: set[str] = set()

    async def holds(self, record, timeout):
        if record.upstream_id in self.unreadable:
            raise UnavailableError('the engine is unavailable')
        return tuple(self.holds_by_id.get(record.upstream_id, {}).values())

    def run(self, reservation, owner_id):
        for upstream_id in reservation.upstream_ids:
            tokens = reservation.memory_tokens // len(reservation.upstream_ids)
            self.holds_by_id.setdefault(upstream_id, {})[
                reservation.attempt_id
            ] = EngineHold(reservation.attempt_id, tokens, tokens, 1, owner_id)

    def end(self, reservation):
        for upstream_id in reservation.upstream_ids:
            self.holds_by_id[upstream_id].pop(reservation.attempt_id)


class NodeNetwork:
    """Entries by identifier; those in ``isolated_ids`` reach no other one."""

    def __init__(self, size):
        self.ids = tuple(f'entry-{number}' for number in range(size))
        self.engines = FakeEngines()
        self.node_by_id = {}
        self.isolated_ids = set()
        self.reply_delay_s = 0.001
        # Delay of a reservation request in seconds, by (sender, engine).
        self.delay_by_request = {}
        self.attempts = 0

    async def start(self, node_id, incarnation=1, revision=1):
        cell = ','.join(f'{name}@127.0.0.1:1' for name in self.ids)
        context = NodeContext(
            node_settings(node_id, cell),
            incarnation,
            LoopClock(),
            random.Random(node_id),
        )
        shared = SettingsStore()
        if revision:
            shared.apply(tree_update(revision))
        node = CellNode(
            context, shared, self.engines, _MemoryCalls(self, node_id)
        )
        self.node_by_id[node_id] = node
        await node.start(bound_socket(Address('127.0.0.1', 0)))
        return node

    async def kill(self, node_id):
        await self.node_by_id.pop(node_id).close()

    async def close(self):
        for node_id in tuple(self.node_by_id):
            await self.kill(node_id)  # noqa: WPS476 - at the end

    def announce(self, *names):
        for name in names:
            for node_id, node in self.node_by_id.items():
                if node_id not in self.isolated_ids:
                    node.cell.announce(engine_record(name))

    async def keep_announcing(self, *names):
        while True:
            self.announce(*names)
            await asyncio.sleep(2)

    def owner(self, name):
        """Return the node that grants memory of an engine, or None."""
        owners = [
            node_id
            for node_id, node in self.node_by_id.items()
            if name in node.host.owned_ids()
            and node.cell.engine_leases.holds(name)
        ]
        assert len(owners) < 2, owners
        return owners[0] if owners else None

    def free(self, name):
        owned = self.node_by_id[self.owner(name)].host
        return owned.engine(name).ledger.free_tokens

    def work(self, tokens, deadline_ms=DEADLINE_MS):
        self.attempts += 1
        now = LoopClock().now()
        return Work(
            request_id=f'r{self.attempts}',
            account='a',
            service='draft-desk',
            prompt_tokens=tokens - 1000,
            most_output_tokens=1000,
            expected_output_tokens=1000,
            deadline=now + deadline_ms,
            arrival=now,
        )

    async def reserve(self, node_id, tokens, deadline_ms=DEADLINE_MS):
        work = self.work(tokens, deadline_ms)
        node = self.node_by_id[node_id]
        return await node.reservations.reserve(work, f'a-{work.request_id}')


class _MemoryCalls:
    """In-memory calls, which never arrive if either end is isolated."""

    def __init__(self, network, node_id):
        self._network = network
        self._node_id = node_id

    async def exchange(self, peer_id, message):
        node = await self._connect(peer_id)
        copy = peer_pb2.PeerMessage.FromString(message.SerializeToString())
        reply = node.cell.handle_message(copy)
        await self._connect(peer_id)
        return reply

    async def reserve(self, peer_id, request, limit):
        path = (self._node_id, request.upstream_id)
        await asyncio.sleep(self._network.delay_by_request.get(path, 0))
        node = await self._connect(peer_id)
        reply = await node.host.reserve(request)
        await asyncio.sleep(self._network.reply_delay_s)
        if peer_id in self._network.isolated_ids:
            # The connection stays open, but no data arrives.
            await asyncio.sleep(NEVER_S)
        return reply

    async def holdings(self, peer_id, request, limit):
        node = await self._connect(peer_id)
        found = node.reservations.held.at(request.upstream_id)
        return peer_pb2.HoldingsReply(holdings=found)

    async def fetch_tree(self, peer_id, request, limit):
        node = await self._connect(peer_id)
        update = node.settings_store.update_since(request.revision)
        return peer_pb2.FetchTreeReply(
            revision=update.revision, branches=update.branches
        )

    async def close(self):
        """Do nothing: there are no connections."""

    async def _connect(self, peer_id):
        await asyncio.sleep(0.001)
        if self._network.isolated_ids & {peer_id, self._node_id}:
            await asyncio.sleep(1)
            raise PeerUnreachableError('isolated')
        if peer_id not in self._network.node_by_id:
            raise PeerUnreachableError('dead')
        return self._network.node_by_id[peer_id]
