"""Keeps the cluster view up to date from the leader of the directory."""

import asyncio
import zlib
from collections.abc import Callable, Iterable
from random import Random

from grpclib.client import Channel

from verbenathread.clock import Clock, seconds
from verbenathread.directory.machine import decode_group, decode_workers
from verbenathread.directory.seeds import SeedFile
from verbenathread.exceptions import SettingsError
from verbenathread.gateway.quarantine import Quarantine
from verbenathread.gateway.view import ClusterView, make_peer
from verbenathread.observability.logs import get_logger
from verbenathread.rpc_channel import RPC_ERRORS, PeerChannel
from verbenathread.schema import directory_pb2 as messages
from verbenathread.schema.directory_grpc import DirectoryStub
from verbenathread.serving.types import ServingConfig
from verbenathread.types import Address, Millis, Peer

_log = get_logger('gateway')

# After two missed updates another process may lead. The leader says how often
# it sends them.
_MISSED_UPDATES = 2
_UPDATE_MARGIN: Millis = 100
_DEFAULT_INTERVAL: Millis = 500
# A VM that is down or partitioned never accepts a connection.
_CONNECT_TIMEOUT: Millis = 400
FIRST_UPDATE_TIMEOUT: Millis = 600
# The first update of a process that another one names as the leader may take
# longer: a new leader is found by all gateways at the same time.
_LEADER_UPDATE_TIMEOUT: Millis = 2000
# Delay between two rounds over all known processes. Each timeout adds this
# many delays, up to a maximum number of timeouts.
_ROUND_DELAY: Millis = 100
_BACKOFF_FACTOR = 4
_MAX_TIMEOUTS = 5


class DirectoryWatch:
    """Follows the leader, and searches for the next one when it fails."""

    def __init__(
        self,
        view: ClusterView,
        quarantine: Quarantine,
        seeds: SeedFile,
        me: Peer,
        read_config: Callable[[bytes], ServingConfig],
        clock: Clock,
    ) -> None:
        """Update ``view`` and ``quarantine``; other gateways reach this one at ``me``."""
        self._view = view
        self._quarantine = quarantine
        self._seeds = seeds
        self._me = me
        self._read_config = read_config
        self._clock = clock
        self._running = False
        # Processes that did not answer the last time they were tried.
        self._unresponsive: set[Address] = set()
        # Timeouts since the last update by a leader.
        self._timeouts = 0
        self._random = Random()

    async def run(self) -> None:
        """Follow successive leaders."""
        self._running = True
        hint: Address | None = None
        while self._running:
            hint = await self._try_all(hint)
            if hint is None:
                await asyncio.sleep(seconds(self._backoff()))

    def mark_unresponsive(self, address: Address) -> None:
        """Try this process after all others."""
        self._unresponsive.add(address)

    def _backoff(self) -> Millis:
        """Return how long to wait before the next round.

        Timeouts suggest that many gateways search for the leader at the same
        time. They would double the directory's load by retrying at once.
        """
        delay = _ROUND_DELAY * (1 + _BACKOFF_FACTOR * self._timeouts)
        return self._random.randint(delay // 2, delay + delay // 2)

    async def _try_all(self, hint: Address | None) -> Address | None:
        """Try all known processes; return the leader that one points to."""
        for address in self._candidates(hint):
            leader = await self._follow(  # noqa: WPS476 - one by one
                address, is_named=address == hint
            )
            if leader is not None and leader != address:
                return leader
        return None

    def _candidates(self, hint: Address | None) -> list[Address]:
        known: dict[Address, None] = {}
        for peer in self._view.directory:
            known[peer.address] = None
        for address in self._seeds.addresses:
            known[address] = None
        # Gateways that search at the same time start with different processes.
        ordered = self._random.sample(list(known), len(known))
        # Unresponsive processes are tried after all others, except for one that
        # another process names as the leader.
        ordered.sort(key=self._unresponsive.__contains__)
        if hint is not None:
            ordered = [hint, *(other for other in ordered if other != hint)]
        return ordered

    async def _follow(
        self, address: Address, *, is_named: bool
    ) -> Address | None:
        """Follow one process while it leads; return the leader it names.

        ``is_named`` tells that another process named it as the leader.
        """
        channel = PeerChannel(address.host, address.port)
        timeout = FIRST_UPDATE_TIMEOUT * (1 + self._timeouts)
        if is_named:
            timeout = max(timeout, _LEADER_UPDATE_TIMEOUT)
        try:
            return await self._read(channel, address, timeout)
        except RPC_ERRORS as error:
            self.mark_unresponsive(address)
            if isinstance(error, TimeoutError):
                self._timeouts = min(_MAX_TIMEOUTS, self._timeouts + 1)
            if self._view.is_fresh:
                _log.warning(
                    'Lost the connection to the directory.',
                    address=str(address),
                    reason=repr(error),
                )
            return None
        finally:
            self._view.is_fresh = False
            self._view.leader = None
            channel.close()

    async def _read(
        self, channel: Channel, address: Address, timeout: Millis
    ) -> Address | None:
        me = self._me
        request = messages.WatchRequest(
            gateway=messages.NodeAddress(
                node_id=me.node_id, host=me.address.host, port=me.address.port
            ),
            config_version=self._view.config_version,
            accepts_changes=True,
        )
        async with asyncio.timeout(seconds(_CONNECT_TIMEOUT)):
            stream = await DirectoryStub(channel).Watch.open().__aenter__()
            await stream.send_message(request, end=True)
        while True:
            async with asyncio.timeout(seconds(timeout)):
                update = await stream.recv_message()
            if update is None:
                return None
            if not update.leads:
                return _leader_of(update)
            if not self._view.is_fresh:
                _log.info(
                    'Receiving updates from the directory.',
                    address=str(address),
                )
            self._view.record_update(self._clock.now())
            self._view.leader = address
            self._apply(update)
            self._unresponsive.discard(address)
            self._timeouts = 0
            interval = update.interval or _DEFAULT_INTERVAL
            timeout = _MISSED_UPDATES * interval + _UPDATE_MARGIN

    def _apply(self, update: messages.WatchUpdate) -> None:
        if update.config:
            self._apply_config(update.config)
        if update.HasField('workers'):
            self._view.apply_workers(decode_workers(update.workers.workers))
        if update.HasField('worker_changes'):
            changes = update.worker_changes
            self._view.change_workers(
                decode_workers(changes.changed),
                changes.removed_ids,
            )
        if update.HasField('fleet'):
            self._view.apply_nodes(
                _peers(update.fleet.directory),
                _peers(update.fleet.gateways),
                self._clock.now(),
            )

        if update.HasField('quarantine'):
            self._quarantine.apply_list(
                decode_group(group) for group in update.quarantine.groups
            )

    def _apply_config(self, body: bytes) -> None:
        try:
            config = self._read_config(zlib.decompress(body))
        except (SettingsError, zlib.error) as error:
            _log.error('Received an invalid configuration.', reason=str(error))
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
