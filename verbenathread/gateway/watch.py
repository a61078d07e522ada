"""Keeps the view fed by the leader of the directory."""

import asyncio
import zlib
from collections.abc import Callable, Iterable
from random import Random

from grpclib.client import Channel

from verbenathread.clock import Clock, seconds
from verbenathread.directory.machine import decode_worker
from verbenathread.directory.seeds import SeedFile
from verbenathread.exceptions import SettingsError
from verbenathread.gateway.view import ClusterView, make_peer
from verbenathread.observability.logs import get_logger
from verbenathread.rpc_channel import BROKEN_CALL, PeerChannel
from verbenathread.schema import directory_pb2 as messages
from verbenathread.schema.directory_grpc import DirectoryStub
from verbenathread.serving.types import ServingConfig
from verbenathread.types import Address, Millis, Peer

_log = get_logger('gateway')

# A leader ticks each 500 ms; without one for two ticks another may lead.
_SILENCE: Millis = 1100
# A VM that is dark or cut off never answers an opening.
_CONNECT_LIMIT: Millis = 400
_FIRST_ANSWER: Millis = 600
# Between two rounds over all known processes, and how many times as long
# after each time-out, up to so many.
_ROUND_PAUSE: Millis = 100
_SLOWER = 4
_MOST_TIMEOUTS = 5


class DirectoryWatch:
    """Follows the leader; looks for the next one when it falls silent."""

    def __init__(
        self,
        view: ClusterView,
        seeds: SeedFile,
        me: Peer,
        read_config: Callable[[bytes], ServingConfig],
        clock: Clock,
    ) -> None:
        """Feed ``view``; ``me`` is where other gateways reach this one."""
        self._view = view
        self._seeds = seeds
        self._me = me
        self._read_config = read_config
        self._clock = clock
        self._running = False
        # Processes that did not answer when they were asked last.
        self._silent: set[Address] = set()
        # Time-outs since a leader fed this gateway.
        self._timeouts = 0
        self._random = Random()

    async def run(self) -> None:
        """Follow one leader after the other."""
        self._running = True
        hint: Address | None = None
        while self._running:
            hint = await self._round(hint)
            if hint is None:
                await asyncio.sleep(seconds(self._pause()))

    def mark_unresponsive(self, address: Address) -> None:
        """Ask this process after all others."""
        self._silent.add(address)

    def _pause(self) -> Millis:
        """Return how long to wait before all are asked again.

        Time-outs are taken for a directory that is busy with as many other
        gateways: each of them doubles the load if it keeps on asking.
        """
        most = _ROUND_PAUSE * (1 + _SLOWER * self._timeouts)
        return self._random.randint(most // 2, most + most // 2)

    async def _round(self, hint: Address | None) -> Address | None:
        """Try all known processes; return another leader that one names."""
        for address in self._candidates(hint):
            named = await self._follow(address)  # noqa: WPS476 - one by one
            if named is not None and named != address:
                return named
        return None

    def _candidates(self, hint: Address | None) -> list[Address]:
        known: dict[Address, None] = {}
        for peer in self._view.directory:
            known[peer.address] = None
        for address in self._seeds.addresses:
            known[address] = None
        # Gateways that look at the same time begin with different processes.
        ordered = self._random.sample(list(known), len(known))
        # Whoever fell silent is asked again after all others, unless one of
        # them names it as the leader.
        ordered.sort(key=self._silent.__contains__)
        if hint is not None:
            ordered = [hint, *(one for one in ordered if one != hint)]
        return ordered

    async def _follow(self, address: Address) -> Address | None:
        """Follow one process while it leads; return whom it names."""
        channel = PeerChannel(address.host, address.port)
        try:
            return await self._read(channel, address)
        except BROKEN_CALL as error:
            self.mark_unresponsive(address)
            if isinstance(error, TimeoutError):
                self._timeouts = min(_MOST_TIMEOUTS, self._timeouts + 1)
            if self._view.is_fresh:
                _log.warning(
                    'The directory is lost.',
                    address=str(address),
                    reason=repr(error),
                )
            return None
        finally:
            self._view.is_fresh = False
            channel.close()

    async def _read(self, channel: Channel, address: Address) -> Address | None:
        me = self._me
        request = messages.WatchRequest(
            gateway=messages.NodeAddress(
                node_id=me.node_id, host=me.address.host, port=me.address.port
            ),
            config_version=self._view.config_version,
        )
        async with asyncio.timeout(seconds(_CONNECT_LIMIT)):
            stream = await DirectoryStub(channel).Watch.open().__aenter__()
            await stream.send_message(request, end=True)
        limit = _FIRST_ANSWER * (1 + self._timeouts)
        while True:
            async with asyncio.timeout(seconds(limit)):
                update = await stream.recv_message()
            if update is None:
                return None
            if not update.leads:
                return _leader_of(update)
            if not self._view.is_fresh:
                _log.info('The directory feeds us.', address=str(address))
            self._view.record_update(self._clock.now())
            self._take(update)
            self._silent.discard(address)
            self._timeouts = 0
            limit = _SILENCE

    def _take(self, update: messages.WatchUpdate) -> None:
        if update.config:
            self._take_config(update.config)
        if update.HasField('workers'):
            self._view.apply_workers(
                decode_worker(entry) for entry in update.workers.workers
            )
        if update.HasField('fleet'):
            self._view.apply_nodes(
                _peers(update.fleet.directory),
                _peers(update.fleet.gateways),
                self._clock.now(),
            )

    def _take_config(self, body: bytes) -> None:
        try:
            config = self._read_config(zlib.decompress(body))
        except (SettingsError, zlib.error) as error:
            _log.error('The configuration is unusable.', reason=str(error))
            return
        self._view.apply_config(config)


def _leader_of(update: messages.WatchUpdate) -> Address | None:
    if not update.HasField('leader'):
        return None
    return Address(update.leader.host, update.leader.port)


def _peers(nodes: Iterable[messages.NodeAddress]) -> tuple[Peer, ...]:
    return tuple(
        make_peer(node.node_id, node.host, node.port) for node in nodes
    )
