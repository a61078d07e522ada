"""Real control processes for tests, each stopped by its process id."""

import asyncio
import contextlib
import shutil
import signal
import time
from pathlib import Path

from grpclib.exceptions import GRPCError, StreamTerminatedError

from tests.control_commands import ROOT_KEY, ROOT_SHA
from tools.local_cluster import LOOPBACK_NET
from tools.processes import ManagedProcess, Processes
from verbenathread.admin.client import ControlClient
from verbenathread.rpc_channel import PeerChannel, call_within
from verbenathread.schema import control_pb2
from verbenathread.schema.control_grpc import ControlStub
from verbenathread.types import Address, Millis

NODE_KEY = 'node-key'
CLUSTER = 'proof'
# Below the range from which the system takes ports for outgoing connections.
_PORT = 18_470
_METRICS_PORT = 18_471


class ControlGroup:
    """Control processes c0, c1, ... with one data folder each."""

    def __init__(
        self, processes: Processes, *, count: int = 3, records: int = 50
    ) -> None:
        self.processes = processes
        self.address_by_name = {
            f'c{number}': Address(f'{LOOPBACK_NET}.{number + 1}', _PORT)
            for number in range(count)
        }
        voters = ','.join(
            f'{name}@{address}'
            for name, address in self.address_by_name.items()
        )
        for name, address in self.address_by_name.items():
            self._path(name).write_text(
                f'[node]\nid = {name}\ndata_centre = jackson-ms\n'
                f'cluster = {CLUSTER}\nnode_key = {NODE_KEY}\n'
                f'[control]\nlisten = {address}\nvoters = {voters}\n'
                f'metrics_listen = {address.host}:{_METRICS_PORT}\n'
                f'data_folder = {processes.folder / name}-data\n'
                f'root_key_sha256 = {ROOT_SHA}\n'
                'election_timeout = 500\nheartbeat = 100\n'
                f'snapshot_records = {records}\n'
            )
            self.start(name)

    def start(self, name: str) -> ManagedProcess:
        """Start one process; its name can be reused after it ended."""
        return self.processes.start(
            name,
            'verbenathread',
            'control',
            '--settings',
            str(self._path(name)),
        )

    def lose_disk(self, name: str) -> None:
        """Kill a process and restart it with an empty folder, set to join."""
        started = self.processes.by_name[name]
        started.send_signal(signal.SIGKILL)
        started.wait(20)
        shutil.rmtree(self.processes.folder / f'{name}-data')
        path = self._path(name)
        path.write_text(f'{path.read_text()}join = yes\n')
        self.start(name)

    def client(self, *names: str, limit: Millis = 20_000) -> ControlClient:
        """Return a client of the named processes, or of all."""
        chosen = names or tuple(self.address_by_name)
        addresses = [self.address_by_name[name] for name in chosen]
        return ControlClient(addresses, 'root', ROOT_KEY, limit)

    def _path(self, name: str) -> Path:
        return self.processes.folder / f'{name}.ini'


class NodeSession:
    """A node that applies updates from control and reports its revision."""

    def __init__(self, group: ControlGroup, node_id: str, *names: str) -> None:
        self.node_id = node_id
        self.revision = 0
        self.regressed = False
        # Monotonic time at which each revision was applied.
        self.time_by_revision: dict[int, float] = {}
        self._addresses = [group.address_by_name[name] for name in names]

    async def run(self) -> None:
        """Hold a session with any of the processes, until cancelled."""
        attempts = 0
        while True:
            address = self._addresses[attempts % len(self._addresses)]
            attempts += 1
            with contextlib.closing(
                PeerChannel(address.host, address.port)
            ) as channel:
                with contextlib.suppress(
                    GRPCError, StreamTerminatedError, OSError
                ):
                    await self._exchange_messages(ControlStub(channel))
            await asyncio.sleep(0.05)

    def apply_update(self, update: control_pb2.TreeUpdate) -> None:
        """Apply an update, and record whether it is older."""
        if update.branches and update.revision < self.revision:
            self.regressed = True
        if update.revision <= self.revision:
            return
        self.revision = update.revision
        self.time_by_revision[update.revision] = time.monotonic()

    def report(self) -> control_pb2.NodeReport:
        """Return the heartbeat of this node."""
        return control_pb2.NodeReport(
            node_id=self.node_id,
            incarnation=1,
            role='entry',
            data_centre='jackson-ms',
            revision=self.revision,
            cluster=CLUSTER,
            node_key=NODE_KEY,
        )

    async def _exchange_messages(self, stub: ControlStub) -> None:
        async with stub.Session.open() as stream:
            while True:
                await stream.send_message(self.report())
                update = await call_within(stream.recv_message(), 4000)
                if update is None:
                    return
                self.apply_update(update)
