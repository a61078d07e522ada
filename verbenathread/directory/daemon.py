"""Directory process: wires and runs the parts of the service registry."""

import asyncio
from collections.abc import Callable
from random import Random

from grpclib.server import Server

from verbenathread.background_tasks import cancel_all, restart_on_error
from verbenathread.clock import Clock, SystemClock, seconds
from verbenathread.consensus.disk import FileStorage
from verbenathread.consensus.replica import Replica
from verbenathread.consensus.rpc import ConsensusService, RpcTransport
from verbenathread.consensus.settings import ReplicaSettings
from verbenathread.directory.calls import DirectoryCalls
from verbenathread.directory.machine import DirectoryMachine
from verbenathread.directory.membership import MembershipManager
from verbenathread.directory.metrics import DirectoryMetrics
from verbenathread.directory.seeds import SeedFile
from verbenathread.directory.service import DirectoryService
from verbenathread.http1.server import Handler, HttpServer, Limits
from verbenathread.observability.logs import get_logger
from verbenathread.observability.status_handler import StatusHandler
from verbenathread.rpc_channel import PeerChannel, call_within
from verbenathread.schema import directory_pb2 as messages
from verbenathread.schema import settings_pb2
from verbenathread.schema.directory_grpc import DirectoryStub
from verbenathread.settings.node import parse_address
from verbenathread.types import Address, Millis, Peer

_log = get_logger('directory')

# How often a process without a leader requests membership.
_JOIN_INTERVAL: Millis = 300
_JOIN_TIMEOUT: Millis = 600
_REFRESH_INTERVAL: Millis = 2000
# Each configuration in the log is a whole one and a snapshot holds only the
# latest, so frequent snapshots keep the log small enough for a disk of 128 MB.
_SNAPSHOT_RECORDS = 100
# Fits configurations of thousands of routes. Gateways have a lower limit.
_MAX_BODY_BYTES = 0x1000000
# Time to send the last responses before connections are closed.
_FLUSH_TIME: Millis = 100

_CallCounter = Callable[[str, int], None]
# Called with the calls, the replica, the HTTP port and the call counter.
HandlerFactory = Callable[[DirectoryCalls, Replica, int, _CallCounter], Handler]


class DirectoryDaemon:
    """Runs a replica and serves operators, workers and gateways."""

    def __init__(
        self,
        settings: settings_pb2.NodeSettings,
        path: str,
        make_handler: HandlerFactory,
    ) -> None:
        """Wire the parts; ``path`` is the settings file, for later reloads."""
        section = settings.directory
        self._section = section
        self._cluster = settings.node.cluster
        self._key = settings.node.node_key
        self._clock: Clock = SystemClock()
        self._listen = parse_address(section.listen)
        self._peer_listen = parse_address(section.peer_listen)
        address = parse_address(section.peer_advertise or section.peer_listen)
        self._own_peer = Peer(address.host, address)
        self._seeds = SeedFile(path, 'directory')
        self._machine = DirectoryMachine()
        self._transport = RpcTransport(self._cluster, self._key)
        self.replica = self._make_replica()
        self.calls = DirectoryCalls(
            self.replica, self._machine, self._clock, section.worker_heartbeat
        )
        membership = MembershipManager(
            self.replica, self._clock, 2 * section.losses + 1
        )
        self._service = DirectoryService(
            self.replica, self._machine, membership, self._clock
        )
        self._grpc_server = Server(
            [
                self._service,
                ConsensusService(self.replica, self._cluster, self._key),
            ]
        )
        self.metrics = DirectoryMetrics()
        handler = make_handler(
            self.calls, self.replica, self._listen.port, self._count_call
        )
        self._http_server = HttpServer(handler, self._clock)
        self._http_server.limits = Limits(body_bytes=_MAX_BODY_BYTES)
        self._metrics_server = HttpServer(
            StatusHandler(self.metrics.registry, self._unready_reason),
            self._clock,
        )
        self._background_tasks = (
            self._service.run,
            membership.run,
            self.calls.watch_heartbeats,
            self._service.quarantine.run,
            self._join,
            self._refresh,
        )
        # Directory processes that other members reported.
        self._known_addresses: set[Address] = set()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Load the data folder, listen and take part in the group."""
        await self.replica.start()
        await self._grpc_server.start(*self._peer_listen)
        await self._http_server.start(self._listen)
        if self._section.metrics_listen:
            await self._metrics_server.start(
                parse_address(self._section.metrics_listen)
            )
        for task_function in self._background_tasks:
            self._tasks.append(
                asyncio.create_task(restart_on_error(task_function))
            )
        _log.info(
            'Directory started.',
            listen=str(self._listen),
            node=self._own_peer.node_id,
            bootstrap=self._section.bootstrap,
            seeds=[str(address) for address in self._seeds.addresses],
        )

    async def stop(self, *, transfer_leadership: bool = True) -> None:
        """Transfer leadership, finish calls in progress and shut down."""
        self._http_server.stopping = True
        await self.replica.stop(transfer_leadership=transfer_leadership)
        await cancel_all(self._tasks)
        await asyncio.sleep(seconds(_FLUSH_TIME))
        self._http_server.close()
        self._metrics_server.close()
        self._transport.close()
        self._grpc_server.close()
        _log.info('Directory stopped.')

    async def wait_failed(self) -> str:
        """Wait until the replica fails and return the reason."""
        while not self.replica.status().failure:
            await asyncio.sleep(seconds(_JOIN_INTERVAL))
        return self.replica.status().failure

    def reload(self) -> None:
        """Reload the seeds from the settings file."""
        self._seeds.refresh()

    def _make_replica(self) -> Replica:
        section = self._section
        first_members = tuple(
            Peer(address.host, address) for address in self._seeds.addresses
        )
        return Replica(
            settings=ReplicaSettings(
                local_peer=self._own_peer,
                cluster=self._cluster,
                initial_members=first_members,
                join=not section.bootstrap
                or self._own_peer not in first_members,
                election_timeout=section.election_timeout,
                heartbeat=section.heartbeat,
                snapshot_records=_SNAPSHOT_RECORDS,
            ),
            storage=FileStorage(section.data_folder),
            machine=self._machine,
            transport=self._transport,
            clock=self._clock,
            random=Random(),
        )

    async def _refresh(self) -> None:
        """Reload the seeds and update the gauges periodically."""
        while True:
            await asyncio.sleep(seconds(_REFRESH_INTERVAL))
            self._seeds.refresh()
            status = self.replica.status()
            metrics = self.metrics
            metrics.leads.set(status.is_leader)
            metrics.term.set(status.term)
            metrics.committed.set(status.commit_index)
            metrics.syncs.set(status.sync_count)
            metrics.disk_full.set(status.is_disk_full)
            voters = sum(1 for member in status.members if member.voter)
            metrics.voters.set(voters)
            metrics.config_version.set(self._machine.config_version)
            live_workers = sum(1 for _ in self._machine.registry.live_workers())
            metrics.workers.set(live_workers)
            metrics.gateways.set(self._service.gateway_count())

    def _count_call(self, call: str, status: int) -> None:
        self.metrics.calls.labels(call, str(status)).inc()

    def _unready_reason(self) -> str:
        status = self.replica.status()
        if status.is_disk_full:
            return 'the disk is full; free some space'
        return '' if status.leader else 'no leader is known'

    async def _join(self) -> None:
        """Request membership while this process has no leader."""
        while not self.replica.status().failure:
            await asyncio.sleep(seconds(_JOIN_INTERVAL))
            if not self.replica.status().leader:
                await self._join_through_peers()

    async def _join_through_peers(self) -> None:
        """Query known processes for the leader and request membership there."""
        for peer in self._service.directory_peers():
            self._known_addresses.add(peer.address)
        candidates = {*self._seeds.addresses, *self._known_addresses} - {
            self._own_peer.address
        }
        for address in sorted(candidates):
            reply = await self._send_join_request(address)  # noqa: WPS476
            if reply is None:
                continue
            self._known_addresses.update(
                Address(node.host, node.port) for node in reply.directory
            )
            if reply.HasField('leader'):
                leader = Address(reply.leader.host, reply.leader.port)
                if leader != address:
                    await self._send_join_request(leader)  # noqa: WPS476
                return

    async def _send_join_request(
        self, address: Address
    ) -> messages.JoinReply | None:
        request = messages.JoinRequest(
            node=messages.NodeAddress(
                node_id=self._own_peer.node_id,
                host=self._own_peer.address.host,
                port=self._own_peer.address.port,
            ),
            store_id=self.replica.status().store_id,
        )
        channel = PeerChannel(address.host, address.port)
        try:
            return await call_within(
                DirectoryStub(channel).Join(request), _JOIN_TIMEOUT
            )
        except Exception as error:  # noqa: BLE001  any failure is retried
            _log.debug(
                'Join request failed.', address=str(address), reason=repr(error)
            )
            return None
        finally:
            channel.close()
