"""What operators and workers may ask of the directory."""

import asyncio
import zlib
from typing import Protocol

from verbenathread.clock import Clock, seconds
from verbenathread.consensus.machine import Applied
from verbenathread.consensus.settings import ReplicaStatus
from verbenathread.directory.machine import DirectoryMachine, entry_of
from verbenathread.exceptions import UnavailableError, VerbenathreadError
from verbenathread.observability.logs import get_logger
from verbenathread.schema import directory_pb2 as messages
from verbenathread.serving.types import Worker, WorkerState
from verbenathread.types import Millis

_log = get_logger('directory')

# Callers try another process after a second without an answer.
_CALL_LIMIT: Millis = 900
# Heartbeats missed until a worker that says nothing is no longer offered to
# gateways, which find out by themselves much sooner.
_HEARTBEATS_MISSED = 6
_SILENCE_STEP: Millis = 1000
# The quickest level of zlib: a tenth of the size in a tenth of the time.
_COMPRESSION = 1


class Log(Protocol):
    """What these calls need of a replica."""

    async def propose(self, command: bytes, limit: Millis) -> Applied:
        """Put a command on the log; return once it is applied."""

    async def barrier(self, limit: Millis) -> int:
        """Return once later reads here are fresh."""

    def status(self) -> ReplicaStatus:
        """Return what the replica knows of its group."""


class DirectoryCalls:
    """Answers operators and workers on the process that leads."""

    def __init__(
        self,
        log: Log,
        machine: DirectoryMachine,
        clock: Clock,
        worker_heartbeat: Millis,
    ) -> None:
        """Change ``machine`` through ``log`` only."""
        self._log = log
        self._machine = machine
        self._clock = clock
        self._silence = _HEARTBEATS_MISSED * worker_heartbeat
        self._heard_by_id: dict[str, Millis] = {}
        self._led = False

    async def put_config(self, version: int, body: bytes) -> None:
        """Bring a checked configuration in force, unless it is not newer."""
        held = self._machine.config_version
        if version <= held:
            _log.info('A configuration is not newer.', got=version, held=held)
            return
        packed = zlib.compress(body, _COMPRESSION)
        put = messages.PutConfig(version=version, body=packed)
        await self._propose(messages.DirectoryCommand(put_config=put))
        _log.info('A configuration is in force.', version=version)

    async def get_config(self) -> bytes:
        """Return the newest configuration; raises UnavailableError."""
        await self._log.barrier(_CALL_LIMIT)
        if not self._machine.config_body:
            raise UnavailableError(
                'There is no configuration yet; send one first.'
            )
        return self.config_body()

    async def note_worker(self, worker: Worker) -> None:
        """Take what a worker says of itself; return once it is safe."""
        registry = self._machine.registry
        if not self._log.status().is_leader:
            await self._log.barrier(_CALL_LIMIT)
        held = registry.worker_by_id.get(worker.worker_id)
        if worker.state is WorkerState.GONE and held is not None:
            worker = held._replace(
                state=WorkerState.GONE,
                started_at=worker.started_at or held.started_at,
            )
        if held is None or held.started_at <= worker.started_at:
            self._heard_by_id[worker.worker_id] = self._clock.now()
        if not registry.would_change(worker):
            return
        await self._propose(
            messages.DirectoryCommand(put_worker=entry_of(worker))
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

    def knows_worker(self, worker_id: str, service: str) -> bool:
        """Tell whether the registry holds this worker of this service."""
        held = self._machine.registry.worker_by_id.get(worker_id)
        return held is not None and held.service == service

    def config_version(self) -> int:
        """Return the version of the configuration held here; 0 for none."""
        return self._machine.config_version

    def config_body(self) -> bytes:
        """Return the configuration held here, as its operator sent it."""
        return zlib.decompress(self._machine.config_body)

    async def watch_silence(self) -> None:
        """Drop workers that say nothing, while this process leads."""
        while True:
            await asyncio.sleep(seconds(_SILENCE_STEP))
            leads = self._log.status().is_leader
            if leads and not self._led:
                # What was said to the leader before is not known here.
                self._heard_by_id.clear()
            self._led = leads
            if leads:
                await self._drop_silent()

    async def _drop_silent(self) -> None:
        now = self._clock.now()
        for worker in tuple(self._machine.registry.live_workers()):
            heard = self._heard_by_id.setdefault(worker.worker_id, now)
            if now - heard < self._silence:
                continue
            drop = messages.DropWorker(
                worker_id=worker.worker_id, born=worker.started_at
            )
            _log.warning(
                'A silent worker is dropped.',
                worker=worker.worker_id,
                silent_ms=now - heard,
            )
            try:
                # One silent worker after the other.
                await self._propose(  # noqa: WPS476
                    messages.DirectoryCommand(drop_worker=drop)
                )
            except VerbenathreadError as error:
                _log.warning('It stays for now.', reason=str(error))
            self._heard_by_id.pop(worker.worker_id, None)

    async def _propose(self, command: messages.DirectoryCommand) -> None:
        await self._log.propose(command.SerializeToString(), _CALL_LIMIT)
