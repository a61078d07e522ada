"""Directory operations for operators and workers."""

import asyncio
import zlib
from typing import Protocol

from verbenathread.clock import Clock, seconds
from verbenathread.consensus.machine import Applied
from verbenathread.consensus.settings import ReplicaStatus
from verbenathread.directory.machine import DirectoryMachine, encode_worker
from verbenathread.exceptions import UnavailableError, VerbenathreadError
from verbenathread.observability.logs import get_logger
from verbenathread.schema import directory_pb2 as messages
from verbenathread.serving.types import Worker, WorkerState
from verbenathread.types import Millis

_log = get_logger('directory')

# Clients try another process after 1 s without a response.
_CALL_TIMEOUT: Millis = 900
# A worker that misses this many heartbeats is no longer listed. Gateways detect
# an unresponsive worker much sooner on their own.
_MAX_MISSED_HEARTBEATS = 6
_SILENCE_CHECK_INTERVAL: Millis = 1000
# The fastest zlib level: output a tenth of the size, in a tenth of the time of
# stronger levels.
_COMPRESSION_LEVEL = 1


class ReplicatedLog(Protocol):
    """The part of a replica that directory calls use."""

    async def propose(self, command: bytes, limit: Millis) -> Applied:
        """Append a command to the log; return once it is applied."""

    async def barrier(self, limit: Millis) -> int:
        """Return once local reads are linearizable."""

    def status(self) -> ReplicaStatus:
        """Return the replica's view of its group."""


class DirectoryCalls:
    """Serves operators and workers on the leader."""

    def __init__(
        self,
        log: ReplicatedLog,
        machine: DirectoryMachine,
        clock: Clock,
        worker_heartbeat: Millis,
    ) -> None:
        """Read ``machine`` and change it only through ``log``."""
        self._log = log
        self._machine = machine
        self._clock = clock
        self._silence_limit = _MAX_MISSED_HEARTBEATS * worker_heartbeat
        self._heartbeat_time_by_id: dict[str, Millis] = {}
        self._was_leader = False

    async def put_config(self, version: int, body: bytes) -> None:
        """Store a validated configuration if its version is newer."""
        held = self._machine.config_version
        if version <= held:
            _log.info(
                'Configuration ignored: not newer.', got=version, held=held
            )
            return
        packed = zlib.compress(body, _COMPRESSION_LEVEL)
        put = messages.PutConfig(version=version, body=packed)
        await self._propose(messages.DirectoryCommand(put_config=put))
        _log.info('A configuration is in force.', version=version)

    async def get_config(self) -> bytes:
        """Return the latest configuration; raises UnavailableError."""
        await self._log.barrier(_CALL_TIMEOUT)
        if not self._machine.config_body:
            raise UnavailableError(
                'There is no configuration yet; send one first.'
            )
        return self.config_body()

    async def record_worker(self, worker: Worker) -> None:
        """Record a worker's heartbeat; return once a change is committed."""
        registry = self._machine.registry
        if not self._log.status().is_leader:
            # Raises UnavailableError unless this replica leads.
            await self._log.barrier(_CALL_TIMEOUT)
        held = registry.worker_by_id.get(worker.worker_id)
        if worker.state is WorkerState.GONE and held is not None:
            worker = held._replace(
                state=WorkerState.GONE,
                started_at=worker.started_at or held.started_at,
            )
        if held is None or held.started_at <= worker.started_at:
            self._heartbeat_time_by_id[worker.worker_id] = self._clock.now()
        if not registry.would_change(worker):
            return
        await self._propose(
            messages.DirectoryCommand(put_worker=encode_worker(worker))
        )
        _log.info(
            'A worker changed.',
            worker=worker.worker_id,
            state=worker.state.name,
            service=worker.service,
            address=str(worker.address),
            born=worker.started_at,
            sequence=worker.sequence,
        )

    def has_worker(self, worker_id: str, service: str) -> bool:
        """Return whether the registry lists this worker for this service."""
        held = self._machine.registry.worker_by_id.get(worker_id)
        return held is not None and held.service == service

    def config_version(self) -> int:
        """Return the version of the local configuration; 0 if there is none."""
        return self._machine.config_version

    def config_body(self) -> bytes:
        """Return the local configuration as the operator sent it."""
        return zlib.decompress(self._machine.config_body)

    async def watch_heartbeats(self) -> None:
        """Drop workers that miss their heartbeats, while this process leads."""
        while True:
            await asyncio.sleep(seconds(_SILENCE_CHECK_INTERVAL))
            leads = self._log.status().is_leader
            if leads and not self._was_leader:
                # Heartbeats sent to the previous leader were not seen here.
                self._heartbeat_time_by_id.clear()
            self._was_leader = leads
            if leads:
                await self._drop_silent()

    async def _drop_silent(self) -> None:
        now = self._clock.now()
        for worker in tuple(self._machine.registry.live_workers()):
            last_heartbeat = self._heartbeat_time_by_id.setdefault(
                worker.worker_id, now
            )
            if now - last_heartbeat < self._silence_limit:
                continue
            drop = messages.DropWorker(
                worker_id=worker.worker_id, born=worker.started_at
            )
            _log.warning(
                'Dropping a worker without heartbeats.',
                worker=worker.worker_id,
                silent_ms=now - last_heartbeat,
            )
            try:
                # Commands are proposed one at a time.
                await self._propose(  # noqa: WPS476
                    messages.DirectoryCommand(drop_worker=drop)
                )
            except VerbenathreadError as error:
                _log.warning('Could not drop the worker.', reason=str(error))
            self._heartbeat_time_by_id.pop(worker.worker_id, None)

    async def _propose(self, command: messages.DirectoryCommand) -> None:
        await self._log.propose(command.SerializeToString(), _CALL_TIMEOUT)
