"""Several gateways on loopback that notify each other, and their workers."""

import asyncio
import itertools
from collections.abc import Iterable

from tests.free_ports import free_udp_port
from tests.gateway_harness import GatewayHarness, config, worker
from tests.standins.troubled_worker import (
    PLAIN_SERVICE,
    Behaviour,
    TroubledWorker,
)
from tests.worker_links import Cut, WorkerLinks
from tools.local_cluster import LOOPBACK_NET
from verbenathread.serving.crash_evidence import PartGroup
from verbenathread.serving.types import ServingConfig, Worker
from verbenathread.types import Address, Peer

# No connection comes from this address, and no other run of the tests uses it.
_HOST = f'{LOOPBACK_NET}.241'
# A worker that ended is back after this time, under another id.
RESTART_DELAY_S = 0.8
# How often the list of the directory is updated.
LIST_INTERVAL_S = 0.1
_SOUND = Behaviour()


class GatewayFleet:
    """Gateways with one list of workers, as the directory would send it."""

    def __init__(
        self,
        gateways: int,
        workers: int,
        behaviour: Behaviour = _SOUND,
        service: str = 'desk',
        plain_workers: int = 0,
    ) -> None:
        """Prepare gateways and workers; :meth:`start` starts them.

        ``plain_workers`` serve the plain service in addition.
        """
        self.peers = [
            Peer(f'g{number}', Address(_HOST, free_udp_port(_HOST)))
            for number in range(gateways)
        ]
        self.gateways = [GatewayHarness(peer) for peer in self.peers]
        self._services = [
            *(service for _ in range(workers)),
            *(PLAIN_SERVICE for _ in range(plain_workers)),
        ]
        self._behaviour = behaviour
        self._numbers = itertools.count(1)
        self.standins: list[TroubledWorker] = []
        self._listed: list[Worker] = []
        # Times at which a worker ended, and why.
        self.crashes: list[tuple[float, str]] = []
        # Gateways that have started.
        self.started: list[GatewayHarness] = []
        self._tasks: set[asyncio.Task[None]] = set()
        # Links of gateways that can be cut off, by number of the gateway.
        self._links_by_number: dict[int, WorkerLinks] = {}

    async def start(
        self, configuration: ServingConfig | None = None, late: int = 0
    ) -> None:
        """Start all workers and all gateways but the last ``late``."""
        self._configuration = configuration or config()
        for service in self._services:
            await self._start_worker(service)
        await self._start_gateways(len(self.gateways) - late)
        self._tasks.add(asyncio.create_task(self._list_quarantine()))

    async def start_late(self) -> None:
        """Start the gateways that were left out before."""
        await self._start_gateways(len(self.gateways))

    def crash_worker(self) -> None:
        """Crash the newest worker, whatever it does."""
        self.standins[-1].crash()

    async def prepare_cuts(self, numbers: Iterable[int]) -> None:
        """Let these gateways reach workers through links that can be cut."""
        for number in numbers:
            self._links_by_number[number] = WorkerLinks()
        await self._list_workers()

    async def cut(self, how: Cut, numbers: Iterable[int] = ()) -> None:
        """Cut these gateways, or all that were prepared, off from workers."""
        for number in numbers or self._links_by_number:
            await self._links_by_number[number].cut(how)

    async def join(self, numbers: Iterable[int] = ()) -> None:
        """End the cut of these gateways, or of all."""
        for number in numbers or self._links_by_number:
            await self._links_by_number[number].join()

    async def stop(self) -> None:
        """Stop all gateways and workers."""
        for task in self._tasks:
            task.cancel()
        for links in self._links_by_number.values():
            await links.stop()
        for gateway in self.started:
            gateway.context.notices.stop()
            gateway.context.handover.close()
            await gateway.handover_server.close()
            await gateway.stop()
        for standin in self.standins:
            await standin.stop()

    async def _start_worker(self, service: str) -> None:
        number = next(self._numbers)
        standin = TroubledWorker(f'w{number}', service, self._behaviour)
        self.standins.append(standin)
        address = await standin.start()
        self._listed.append(worker(standin.worker_id, service, address))
        task = asyncio.create_task(self._replace_after_crash(standin))
        self._tasks.add(task)

    async def _replace_after_crash(self, standin: TroubledWorker) -> None:
        await standin.crashed.wait()
        crashed_at = asyncio.get_running_loop().time()
        self.crashes.append((crashed_at, standin.crash_reason))
        await asyncio.sleep(RESTART_DELAY_S)
        self._listed = [
            known
            for known in self._listed
            if known.worker_id != standin.worker_id
        ]
        await self._start_worker(standin.service)
        await self._list_workers()

    async def _start_gateways(self, count: int) -> None:
        for number in range(len(self.started), count):
            gateway = self.gateways[number]
            await gateway.start({}, self._configuration)
            gateway.context.notices.start()
            await gateway.handover_server.start(self.peers[number].address)
            self._tasks.add(
                asyncio.create_task(gateway.context.handover.reachability.run())
            )
            self.started.append(gateway)
        for gateway in self.started:
            now = gateway.context.clock.now()
            gateway.view.apply_nodes((), tuple(self.peers[:count]), now)
        await self._list_workers()

    async def _list_workers(self) -> None:
        for number, gateway in enumerate(self.started):
            links = self._links_by_number.get(number)
            listed = self._listed
            if links is not None:
                listed = [await links.through(known) for known in listed]
            gateway.view.apply_workers(listed)

    async def _list_quarantine(self) -> None:
        """List what gateways report, as the directory does."""
        listed: set[PartGroup] = set()
        while True:
            await asyncio.sleep(LIST_INTERVAL_S)
            for gateway in self.started:
                listed.update(gateway.context.quarantine.unreported())
            for gateway in self.started:
                gateway.context.quarantine.apply_list(listed)
