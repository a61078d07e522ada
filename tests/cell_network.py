"""A cell of nodes in one virtual loop, whose messages a test may cut."""

import asyncio
from collections.abc import Callable

from verbenathread.clock import LoopClock, seconds
from verbenathread.membership.cell import Cell, NodeIdentity
from verbenathread.schema import peer_pb2
from verbenathread.types import (
    Address,
    UpstreamKind,
    UpstreamRecord,
    UpstreamState,
)

ONE_WAY_MS = 1
LEASE_MS = 6000
NEVER_S = 3600


def engine(name: str, incarnation: int = 1, version: int = 1):
    return UpstreamRecord(
        upstream_id=name,
        incarnation=incarnation,
        state=UpstreamState.READY,
        version=version,
        service='draft-desk',
        kind=UpstreamKind.ENGINE,
        address=Address('127.0.0.1', 9000),
        data_centre='mobile-al',
        memory_tokens=400_000,
    )


class CellNetwork:
    """Nodes by identifier; ``passes`` decides whether a message arrives."""

    def __init__(self, size: int):
        self.ids = tuple(f'entry-{number}' for number in range(size))
        self.cell_by_id: dict[str, Cell] = {}
        self.passes: Callable[[str, str], bool] = _always
        self.bytes_sent = 0
        self.messages = 0

    def start(self, node_id: str, incarnation: int = 1) -> Cell:
        cell = Cell(
            NodeIdentity(node_id, incarnation, self.ids),
            _Transport(self, node_id),
            LoopClock(),
            lambda service: LEASE_MS,
        )
        self.cell_by_id[node_id] = cell
        cell.start()
        return cell

    def start_all(self) -> list[Cell]:
        return [self.start(node_id) for node_id in self.ids]

    async def kill(self, node_id: str) -> None:
        """End a node at once; it says nothing more."""
        await self.cell_by_id.pop(node_id).close()

    async def close(self) -> None:
        await asyncio.gather(
            *[cell.close() for cell in self.cell_by_id.values()]
        )

    def isolate(self, *node_ids: str) -> None:
        """Cut the named nodes off from all others."""
        group = set(node_ids)

        def passes(source: str, target: str) -> bool:
            return (source in group) == (target in group)

        self.passes = passes

    def heal(self) -> None:
        self.passes = _always

    def owners(self, name: str) -> list[str]:
        return [
            node_id
            for node_id, cell in self.cell_by_id.items()
            if cell.engine_leases.holds(name)
        ]

    def states(self, name: str) -> set[UpstreamState | None]:
        records = [cell.table.get(name) for cell in self.cell_by_id.values()]
        return {record.state if record else None for record in records}

    async def carry(
        self, source: str, target: str, message: peer_pb2.PeerMessage
    ) -> peer_pb2.PeerReply:
        await self._travel(source, target, message.ByteSize())
        cell = self.cell_by_id.get(target)
        if cell is None:
            await asyncio.sleep(NEVER_S)
            raise AssertionError('a dead node can not reply')
        reply = cell.handle_message(message)
        await self._travel(target, source, reply.ByteSize())
        return reply

    async def _travel(self, source: str, target: str, size: int) -> None:
        if not self.passes(source, target):
            await asyncio.sleep(NEVER_S)
        self.bytes_sent += size
        self.messages += 1
        await asyncio.sleep(seconds(ONE_WAY_MS))


def _always(source: str, target: str) -> bool:
    return True


class _Transport:
    def __init__(self, network: CellNetwork, node_id: str):
        self._network = network
        self._node_id = node_id

    async def exchange(self, peer_id, message):
        return await self._network.carry(self._node_id, peer_id, message)


async def until(condition, limit_ms: int) -> bool:
    """Wait in loop time; tell whether the condition came to hold."""
    clock = LoopClock()
    end = clock.now() + limit_ms
    while clock.now() < end:
        if condition():
            return True
        await asyncio.sleep(0.01)
    return bool(condition())
