"""A directory process."""

import asyncio
from collections.abc import Callable
from random import Random

from grpclib.server import Server

from verbenathread.clock import Clock, SystemClock, seconds
from verbenathread.consensus.disk import FileStorage
from verbenathread.consensus.replica import Replica
from verbenathread.consensus.rpc import ConsensusService, RpcTransport
from verbenathread.consensus.settings import ReplicaSettings
from verbenathread.directory.calls import DirectoryCalls
from verbenathread.directory.healing import Healer
from verbenathread.directory.machine import DirectoryMachine
from verbenathread.directory.measures import DirectoryMeasures
from verbenathread.directory.seeds import SeedFile
from verbenathread.directory.service import DirectoryService
from verbenathread.duties import keep_running
from verbenathread.http1.server import Handler, HttpServer, Limits
from verbenathread.observability.logs import get_logger
from verbenathread.observability.status_handler import StatusHandler
from verbenathread.rpc_channel import PeerChannel
from verbenathread.schema import directory_pb2 as messages
from verbenathread.schema import settings_pb2
from verbenathread.schema.directory_grpc import DirectoryStub
from verbenathread.settings.node import parse_address
from verbenathread.types import Address, Millis, Peer

_log = get_logger('directory')

# How often a process that follows nobody asks to be a member.
_JOIN_STEP: Millis = 700
_JOIN_LIMIT: Millis = 600
_SEEDS_STEP: Millis = 2000
# A log of configurations: a snapshot holds one of them, so few records are
# worth more than few snapshots on a disk of 128 MB.
_SNAPSHOT_RECORDS = 100
# Configurations of thousands of routes; callers of gateways may send less.
_LARGEST_BODY = 0x1000000
# Time for the last answers to leave before connections close.
_LAST_ANSWERS: Millis = 100

_Counter = Callable[[str, int], None]
HandlerMaker = Callable[[DirectoryCalls, Replica, int, _Counter], Handler]


class DirectoryDaemon:
    """Runs a replica and serves operators, workers and gateways."""

    def __init__(
        self,
        settings: settings_pb2.NodeSettings,
        path: str,
        make_handler: HandlerMaker,
    ) -> None:
        """Wire the parts; ``path`` is the settings file, read again later."""
        own = settings.directory
        self._own = own
        self._cluster = settings.node.cluster
        self._key = settings.node.node_key
        self._clock: Clock = SystemClock()
        self._listen = parse_address(own.listen)
        self._peer_listen = parse_address(own.peer_listen)
        address = parse_address(own.peer_advertise or own.peer_listen)
        self._me = Peer(address.host, address)
        self._seeds = SeedFile(path, 'directory')
        self._machine = DirectoryMachine()
        self._transport = RpcTransport(self._cluster, self._key)
        self.replica = self._make_replica()
        self.calls = DirectoryCalls(
            self.replica, self._machine, self._clock, own.worker_heartbeat
        )
        healer = Healer(self.replica, self._clock, 2 * own.losses + 1)
        self._service = DirectoryService(
            self.replica, self._machine, healer, self._clock
        )
        self._server = Server(
            [
                self._service,
                ConsensusService(self.replica, self._cluster, self._key),
            ]
        )
        self.measures = DirectoryMeasures()
        handler = make_handler(
            self.calls, self.replica, self._listen.port, self._count_call
        )
        self._http = HttpServer(handler, self._clock)
        self._http.limits = Limits(body_bytes=_LARGEST_BODY)
        self._metrics = HttpServer(
            StatusHandler(self.measures.registry, self._why_not_ready),
            self._clock,
        )
        self._duties = (
            self._service.run,
            healer.run,
            self.calls.watch_silence,
            self._join,
            self._tidy,
        )
        # Directory processes that others named.
        self._known: set[Address] = set()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen, load the data folder and take part in the group."""
        await self.replica.start()
        await self._server.start(*self._peer_listen)
        await self._http.start(self._listen)
        if self._own.metrics_listen:
            await self._metrics.start(parse_address(self._own.metrics_listen))
        for duty in self._duties:
            self._tasks.append(asyncio.create_task(keep_running(duty)))
        _log.info(
            'The directory runs.',
            listen=str(self._listen),
            node=self._me.node_id,
            bootstrap=self._own.bootstrap,
            seeds=[str(address) for address in self._seeds.addresses],
        )

    async def stop(self, *, hand_over: bool = True) -> None:
        """Hand leadership over, answer what is in progress, and end."""
        self._http.stopping = True
        await self.replica.stop(hand_over=hand_over)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.sleep(seconds(_LAST_ANSWERS))
        self._http.close()
        self._metrics.close()
        self._transport.close()
        self._server.close()
        _log.info('The directory stopped.')

    async def failed(self) -> str:
        """Return why the replica stopped by itself, once it did."""
        while not self.replica.status().failure:
            await asyncio.sleep(seconds(_JOIN_STEP))
        return self.replica.status().failure

    def reload(self) -> None:
        """Read the seeds again."""
        self._seeds.refresh()

    def _make_replica(self) -> Replica:
        own = self._own
        first_members = tuple(
            Peer(address.host, address) for address in self._seeds.addresses
        )
        return Replica(
            settings=ReplicaSettings(
                me=self._me,
                cluster=self._cluster,
                first_members=first_members,
                join=not own.bootstrap or self._me not in first_members,
                election_timeout=own.election_timeout,
                heartbeat=own.heartbeat,
                snapshot_records=_SNAPSHOT_RECORDS,
            ),
            storage=FileStorage(own.data_folder),
            machine=self._machine,
            transport=self._transport,
            clock=self._clock,
            random=Random(),
        )

    async def _tidy(self) -> None:
        """Read the seeds again, and bring the gauges up to date."""
        while True:
            await asyncio.sleep(seconds(_SEEDS_STEP))
            self._seeds.refresh()
            status = self.replica.status()
            measures = self.measures
            measures.leads.set(status.is_leader)
            measures.term.set(status.term)
            measures.committed.set(status.commit_index)
            measures.syncs.set(status.sync_count)
            voters = sum(1 for one in status.members if one.voter)
            measures.voters.set(voters)
            measures.config_version.set(self._machine.config_version)
            living = sum(1 for _ in self._machine.registry.live_workers())
            measures.workers.set(living)
            measures.gateways.set(self._service.gateway_count())

    def _count_call(self, call: str, status: int) -> None:
        self.measures.calls.labels(call, str(status)).inc()

    def _why_not_ready(self) -> str:
        status = self.replica.status()
        return '' if status.leader else 'no leader is known'

    async def _join(self) -> None:
        """Ask to be a member while this process follows nobody."""
        while not self.replica.status().failure:
            await asyncio.sleep(seconds(_JOIN_STEP))
            if not self.replica.status().leader:
                await self._ask_around()

    async def _ask_around(self) -> None:
        """Ask known processes until one names a leader, then ask that."""
        for peer in self._service.directory_peers():
            self._known.add(peer.address)
        asked = {*self._seeds.addresses, *self._known} - {self._me.address}
        for address in sorted(asked):
            reply = await self._ask_to_join(address)  # noqa: WPS476
            if reply is None:
                continue
            self._known.update(
                Address(node.host, node.port) for node in reply.directory
            )
            if reply.HasField('leader'):
                leader = Address(reply.leader.host, reply.leader.port)
                if leader != address:
                    await self._ask_to_join(leader)  # noqa: WPS476
                return

    async def _ask_to_join(self, address: Address) -> messages.JoinReply | None:
        request = messages.JoinRequest(
            node=messages.NodeAddress(
                node_id=self._me.node_id,
                host=self._me.address.host,
                port=self._me.address.port,
            ),
            store_id=self.replica.status().store_id,
        )
        channel = PeerChannel(address.host, address.port)
        try:
            return await asyncio.wait_for(
                DirectoryStub(channel).Join(request), seconds(_JOIN_LIMIT)
            )
        except Exception as error:  # noqa: BLE001  any failure means: not now
            _log.debug('No answer.', address=str(address), reason=repr(error))
            return None
        finally:
            channel.close()
