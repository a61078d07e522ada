"""The workers of one soak, which announce themselves, leave and crash."""

import asyncio
import itertools
import json
import random

from tools.local_cluster import LOOPBACK_NET
from tools.soak.callers import call_any
from tools.soak.findings import Findings
from tools.soak.fleet import WORKER_HEARTBEAT, Fleet
from tools.soak.loopback_proxy import LoopbackProxy
from tools.soak.odd_heartbeats import odd_heartbeat
from tools.soak.worker_trouble import CRASH_FAULT, CrashingRequests, NamedLimit
from tools.soak.workers import ENGINE_SERVICE, LEDGER_SERVICE, SoakWorker
from verbenathread.clock import Clock, seconds
from verbenathread.types import Address, Millis

# Last octet of the address of the first worker.
_FIRST_WORKER = 170
_WORKER_PORT = 18080
_SLOTS = 8
_LEDGERS = 2
_OK = 200
# A worker goes on serving this long after its leave was acknowledged.
_DRAIN_TIME: Millis = 3500
# A worker that a request crashed is back after this time.
_DOWN_TIME: Millis = 700
# Requests a second that a worker in need takes, and for how long.
_LIMIT = 2.0
_LIMITED_TIME: Millis = 9000
_UNUSED_ADDRESS = Address('127.0.0.1', 9)


class WorkerPool:
    """Engine and ledger workers behind their proxies."""

    def __init__(
        self, fleet: Fleet, findings: Findings, clock: Clock, engines: int
    ) -> None:
        """Prepare ``engines`` engines and two ledgers; start none yet."""
        self._fleet = fleet
        self._findings = findings
        self._clock = clock
        self._numbers = itertools.count(1)
        self._odd_numbers = itertools.count(1)
        self._services = [
            *(ENGINE_SERVICE for _ in range(engines)),
            *(LEDGER_SERVICE for _ in range(_LEDGERS)),
        ]
        self.proxies = [
            LoopbackProxy(
                Address(f'{LOOPBACK_NET}.{_FIRST_WORKER + n}', _WORKER_PORT),
                _UNUSED_ADDRESS,
            )
            for n in range(len(self._services))
        ]
        self.workers: list[SoakWorker] = []
        self._crashing = CrashingRequests(findings, clock)
        self._restarts: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start a proxy and a worker at each address."""
        for service, proxy in zip(self._services, self.proxies, strict=True):
            await proxy.start()
            worker = await self._start_worker(service, proxy)
            self.workers.append(worker)

    async def stop(self) -> None:
        """Stop every worker and proxy."""
        for task in self._restarts:
            task.cancel()
        for worker, proxy in zip(self.workers, self.proxies, strict=True):
            await worker.crash()
            await proxy.stop()

    async def send_heartbeats(self) -> None:
        """Send periodic heartbeats of all workers, until cancelled."""
        while True:
            await asyncio.gather(
                *(self._send_heartbeat(worker) for worker in self.workers)
            )
            if self._fleet.older is None:
                # Older builds take some of them for workers.
                await self._send_odd_heartbeat()
            await asyncio.sleep(seconds(WORKER_HEARTBEAT))

    async def crash(self, rng: random.Random) -> None:
        """Crash a random worker and start another at its address."""
        await self._replace_at(rng.randrange(len(self.workers)))

    async def replace(self, rng: random.Random) -> None:
        """Drain and deregister a random worker; start another in its place."""
        number = rng.randrange(len(self.workers))
        worker = self.workers[number]
        span_id = self._findings.begin_fault(worker.worker_id, planned=True)
        worker.is_draining = True
        while not worker.is_down and not await self._send_heartbeat(worker):
            await asyncio.sleep(seconds(WORKER_HEARTBEAT))
        self._findings.end_fault(span_id)
        if worker.is_down:
            # A request crashed it first.
            return
        worker.drained_at = self._clock.now()
        await asyncio.sleep(seconds(_DRAIN_TIME))
        await self._call_directory(worker, 'Deregister', {'born': worker.born})
        if self.workers[number] is worker:
            await self._replace_at(number)

    async def limit_engine(self, rng: random.Random) -> None:
        """Let an engine name a limit for some seconds."""
        worker = rng.choice(
            [each for each in self.workers if each.service == ENGINE_SERVICE]
        )
        worker.limit = NamedLimit(
            worker.worker_id, _LIMIT, self._findings, self._clock
        )
        await asyncio.sleep(seconds(_LIMITED_TIME))
        worker.limit = None

    async def _replace_at(self, number: int) -> None:
        """Crash the worker at one address and start another there."""
        worker = self.workers[number]
        if worker.is_down:
            return
        await worker.crash()
        self.workers[number] = await self._start_worker(
            worker.service, self.proxies[number]
        )

    def _restart(self, worker: SoakWorker) -> None:
        """Take a worker down that a request crashed, for a while."""
        task = asyncio.create_task(self._restart_later(worker))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart_later(self, worker: SoakWorker) -> None:
        span_id = self._findings.begin_fault(CRASH_FAULT)
        number = self.workers.index(worker)
        proxy = self.proxies[number]
        proxy.refuse()
        await worker.crash()
        await asyncio.sleep(seconds(_DOWN_TIME))
        await proxy.start()
        self.workers[number] = await self._start_worker(worker.service, proxy)
        self._findings.end_fault(span_id)

    async def _start_worker(
        self, service: str, proxy: LoopbackProxy
    ) -> SoakWorker:
        worker_id = f'i-{next(self._numbers)}'
        worker = SoakWorker(
            service,
            worker_id,
            proxy,
            self._findings,
            self._crashing,
            self._clock,
        )
        worker.on_crash = self._restart
        await worker.start()
        for other in (*self.workers, worker):
            other.peer_by_address[str(worker.address)] = worker
            worker.peer_by_address[str(other.address)] = other
        return worker

    async def _send_heartbeat(self, worker: SoakWorker) -> bool:
        if worker.is_down:
            return False
        worker.sequence += 1
        body = {
            'service': worker.service,
            'address': str(worker.address),
            'zone': 'a',
            'version': 'v1',
            'slots': _SLOTS,
            'cold-remaining-ms': 0,
            'state': 'draining' if worker.is_draining else 'ready',
            'sequence': worker.sequence,
            'born': worker.born,
        }
        return await self._call_directory(worker, 'Heartbeat', body)

    async def _send_odd_heartbeat(self) -> None:
        """Send the heartbeat of another writer, which must be refused."""
        number = next(self._odd_numbers)
        rng = random.Random(number)
        worker = rng.choice(self.workers)
        response = await call_any(
            [node.address for node in self._fleet.directories],
            'POST',
            f'/Instances.Heartbeat/odd-{number}',
            odd_heartbeat(str(worker.address), self._clock.wall(), rng),
        )
        if response is not None and response.status == _OK:
            self._findings.report_violation('ODD', f'heartbeat {number}')

    async def _call_directory(
        self, worker: SoakWorker, call: str, body: dict[str, object]
    ) -> bool:
        addresses = [node.address for node in self._fleet.directories]
        rng = random.Random(f'{worker.worker_id} {worker.sequence}')
        rng.shuffle(addresses)
        response = await call_any(
            addresses,
            'POST',
            f'/Instances.{call}/{worker.worker_id}',
            json.dumps(body).encode(),
        )
        return response is not None and response.status == _OK
