"""Cell of nodes on a virtual event loop; tests may drop its messages."""

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


def engine_record(name: str, incarnation: int = 1, version: int = 1):
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
    """Nodes by identifier; ``delivers`` decides if a message arrives."""

    def __init__(self, size: int):
        self.ids = tuple(f'entry-{number}' for number in range(size))
        self.cell_by_id: dict[str, Cell] = {}
        self.delivers: Callable[[str, str], bool] = _always_deliver
        self.bytes_sent = 0
        self.message_count = 0

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
        """Stop a node abruptly, without any further message."""
        await self.cell_by_id.pop(node_id).close()

    async def close(self) -> None:
        await asyncio.gather(
            *[cell.close() for cell in self.cell_by_id.values()]
        )

    def isolate(self, *node_ids: str) -> None:
        """Drop the messages between the named nodes and all others."""
        group = set(node_ids)

        def delivers(source: str, target: str) -> bool:
            return (source in group) == (target in group)

        self.delivers = delivers

    def heal(self) -> None:
        self.delivers = _always_deliver

    def owners(self, name: str) -> list[str]:
        return [
            node_id
            for node_id, cell in self.cell_by_id.items()
            if cell.engine_leases.holds(name)
        ]

    def states(self, name: str) -> set[UpstreamState | None]:
        records = [cell.table.get(name) for cell in self.cell_by_id.values()]
        return {record.state if record else None for record in records}

    async def deliver(
        self, source: str, target: str, message: peer_pb2.PeerMessage
    ) -> peer_pb2.PeerReply:
        await self._transmit(source, target, message.ByteSize())
        cell = self.cell_by_id.get(target)
        if cell is None:
            await asyncio.sleep(NEVER_S)
            raise AssertionError('a stopped node cannot reply')
        reply = cell.handle_message(message)
        await self._transmit(target, source, reply.ByteSize())
        return reply

    async def _transmit(self, source: str, target: str, size: int) -> None:
        if not self.delivers(source, target):
            await asyncio.sleep(NEVER_S)
        self.bytes_sent += size
        self.message_count += 1
        await asyncio.sleep(seconds(ONE_WAY_MS))


def _always_deliver(source: str, target: str) -> bool:
    return True


class _Transport:
    def __init__(self, network: CellNetwork, node_id: str):
        self._network = network
        self._node_id = node_id

    async def exchange(self, peer_id, message):
        return await self._network.deliver(self._node_id, peer_id, message)


async def wait_until(condition, limit_ms: int) -> bool:
    """Wait in loop time; return whether the condition became true."""
    clock = LoopClock()
    deadline = clock.now() + limit_ms
    while clock.now() < deadline:
        if condition():
            return True
        await asyncio.sleep(0.01)
    return bool(condition())
