"""Several gateways on loopback that notify each other, and their workers."""

import asyncio
import itertools
import socket

from tests.gateway_harness import GatewayHarness, config, worker
from tests.standins.troubled_worker import Behaviour, TroubledWorker
from verbenathread.serving.types import ServingConfig, Worker
from verbenathread.types import Address, Peer

# A worker that ended is back after this time, under another id.
RESTART_DELAY_S = 0.8
_SOUND = Behaviour()


class GatewayFleet:
    """Gateways with one list of workers, as the directory would send it."""

    def __init__(
        self,
        gateways: int,
        workers: int,
        behaviour: Behaviour = _SOUND,
        service: str = 'desk',
    ) -> None:
        """Prepare gateways and workers; :meth:`start` starts them."""
        self._peers = [
            Peer(f'g{number}', Address('127.0.0.1', free_udp_port()))
            for number in range(gateways)
        ]
        self.gateways = [GatewayHarness(peer) for peer in self._peers]
        self._worker_count = workers
        self._behaviour = behaviour
        self._service = service
        self._numbers = itertools.count(1)
        self.standins: list[TroubledWorker] = []
        self._listed: list[Worker] = []
        # Times at which a worker ended.
        self.crash_times: list[float] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, configuration: ServingConfig | None = None) -> None:
        """Start all workers and gateways."""
        for _ in range(self._worker_count):
            await self._start_worker()
        for gateway in self.gateways:
            await gateway.start({}, configuration or config())
            await gateway.context.notices.start()
            now = gateway.context.clock.now()
            gateway.view.apply_nodes((), tuple(self._peers), now)
        self._list_workers()

    async def stop(self) -> None:
        """Stop all gateways and workers."""
        for task in self._tasks:
            task.cancel()
        for gateway in self.gateways:
            gateway.context.notices.stop()
            await gateway.stop()
        for standin in self.standins:
            await standin.stop()

    async def _start_worker(self) -> None:
        number = next(self._numbers)
        standin = TroubledWorker(f'w{number}', self._service, self._behaviour)
        self.standins.append(standin)
        address = await standin.start()
        self._listed.append(worker(standin.worker_id, self._service, address))
        task = asyncio.create_task(self._replace_after_crash(standin))
        self._tasks.add(task)

    async def _replace_after_crash(self, standin: TroubledWorker) -> None:
        await standin.crashed.wait()
        self.crash_times.append(asyncio.get_running_loop().time())
        await asyncio.sleep(RESTART_DELAY_S)
        self._listed = [
            known
            for known in self._listed
            if known.worker_id != standin.worker_id
        ]
        await self._start_worker()
        self._list_workers()

    def _list_workers(self) -> None:
        for gateway in self.gateways:
            gateway.view.apply_workers(self._listed)


def free_udp_port() -> int:
    """Return a UDP port that is free on loopback."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(('127.0.0.1', 0))
        port: int = probe.getsockname()[1]
        return port
