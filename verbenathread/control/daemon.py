"""A control process: a log replica, its service and background tasks."""

import asyncio
import socket
from random import Random

from grpclib.server import Server

from verbenathread.clock import SystemClock, seconds
from verbenathread.consensus.disk import FileStorage
from verbenathread.consensus.replica import Replica
from verbenathread.consensus.rpc import ConsensusService, RpcTransport
from verbenathread.consensus.settings import ReplicaSettings
from verbenathread.control.machine import ControlMachine
from verbenathread.control.node_reports import REPORT_INTERVAL, NodeReporter
from verbenathread.control.nodes import NodeTable
from verbenathread.control.operator_calls import OperatorCalls
from verbenathread.control.order_http import HttpOrderTransport
from verbenathread.control.orders import OrderSender
from verbenathread.control.proposals import Proposer
from verbenathread.control.service import ControlService
from verbenathread.control.sessions import Sessions
from verbenathread.control.sweeper import ClaimSweeper
from verbenathread.exceptions import VerbenathreadError
from verbenathread.observability.logs import get_logger
from verbenathread.schema import settings_pb2
from verbenathread.settings.node import parse_address, parse_peers
from verbenathread.types import Millis, Peer

_ORDER_INTERVAL: Millis = 200
_SWEEP_INTERVAL: Millis = 500
# Longest interval between two notifications of the sessions, so that they also
# learn of a new leader.
_NOTIFY_INTERVAL: Millis = 1000
# Time to send the last replies before connections are closed.
_FLUSH_TIME: Millis = 100

_log = get_logger('control')


class ControlDaemon:
    """A control process that other programs can embed."""

    def __init__(self, settings: settings_pb2.NodeSettings) -> None:
        """Create the components; nothing runs before :meth:`start`."""
        node = settings.node
        control = settings.control
        clock = SystemClock()
        self._listen = parse_address(control.listen)
        self.machine = ControlMachine()
        self.nodes = NodeTable(clock)
        self._transport = RpcTransport(node.cluster, node.node_key)
        self.replica = Replica(
            settings=_replica_settings(settings),
            storage=FileStorage(control.data_folder),
            machine=self.machine,
            transport=self._transport,
            clock=clock,
            random=Random(),
        )
        self.sessions = Sessions(self.machine.tree, self.nodes)
        self._reporter = NodeReporter(node.cluster, node.node_key, self.nodes)
        proposer = Proposer(self.replica, self.machine, clock)
        self._sweeper = ClaimSweeper(self.machine, self.nodes, proposer, clock)
        self.orders = OrderSender(
            log=self.replica,
            machine=self.machine,
            transport=HttpOrderTransport(),
            clock=clock,
            lease=control.election_timeout,
        )
        self._service = ControlService(
            cluster=node.cluster,
            node_key=node.node_key,
            operators=OperatorCalls(
                log=self.replica,
                machine=self.machine,
                proposer=proposer,
                nodes=self.nodes,
                orders=self.orders.statuses,
                root_key_sha256=control.root_key_sha256,
            ),
            proposer=proposer,
            sessions=self.sessions,
            nodes=self.nodes,
        )
        self._server = Server(
            [
                self._service,
                ConsensusService(self.replica, node.cluster, node.node_key),
            ]
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, sock: socket.socket | None = None) -> None:
        """Load the data folder, listen and join the group.

        ``sock`` is a bound socket to use instead of the address in the
        settings. Raises StorageError if the data folder is damaged or
        unsuitable.
        """
        if sock is None:
            await self._server.start(self._listen.host, self._listen.port)
        else:
            await self._server.start(sock=sock)
        await self.replica.start()
        for task in (
            self._notify_sessions,
            self._sweep_while_leading,
            self._send_orders,
            self._report_nodes,
        ):
            self._tasks.append(asyncio.create_task(task()))
        _log.info('Control started.', listen=str(self._listen))

    async def stop(self) -> None:
        """Transfer leadership, finish the calls in progress and stop."""
        await self.orders.stop()
        await self.replica.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.sleep(seconds(_FLUSH_TIME))
        self._reporter.close()
        self._transport.close()
        self._server.close()
        await self._server.wait_closed()
        _log.info('Control stopped.')

    async def wait_failed(self) -> str:
        """Wait until the replica stops on its own, and return the reason."""
        while not self.replica.status().failure:
            await asyncio.sleep(seconds(_SWEEP_INTERVAL))
        return self.replica.status().failure

    async def _notify_sessions(self) -> None:
        """Notify the sessions after each applied command and at intervals."""
        applied = 0
        while True:
            applied = await self.replica.wait_applied(applied, _NOTIFY_INTERVAL)
            self.sessions.wake(self.replica.status().leader_address)

    async def _sweep_while_leading(self) -> None:
        was_leading = False
        while True:
            leading = self.replica.status().is_leader
            if leading and not was_leading:
                self._sweeper.reset()
            was_leading = leading
            if leading:
                await self._sweep()
            await asyncio.sleep(seconds(_SWEEP_INTERVAL))

    async def _sweep(self) -> None:
        try:
            await self._sweeper.sweep()
        except VerbenathreadError as error:
            _log.warning(
                'Could not mark an owner of claims as gone.', reason=str(error)
            )

    async def _send_orders(self) -> None:
        while True:
            self.orders.step()
            await asyncio.sleep(seconds(_ORDER_INTERVAL))

    async def _report_nodes(self) -> None:
        """Report this process's sessions to the leader, once a second."""
        while True:
            status = self.replica.status()
            if status.leader_address and not status.is_leader:
                await self._reporter.report(status.leader_address)
            await asyncio.sleep(seconds(REPORT_INTERVAL))


def _replica_settings(settings: settings_pb2.NodeSettings) -> ReplicaSettings:
    control = settings.control
    return ReplicaSettings(
        local_peer=Peer(settings.node.id, parse_address(control.listen)),
        cluster=settings.node.cluster,
        initial_members=parse_peers(control.voters),
        join=control.join,
        election_timeout=control.election_timeout,
        heartbeat=control.heartbeat,
        snapshot_records=control.snapshot_records,
    )
