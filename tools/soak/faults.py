"""Random faults of one soak, drawn from its seed."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from tools.soak.findings import Findings
from tools.soak.fleet import STOP_LIMIT, Fleet, Node
from tools.soak.loopback_proxy import Direction
from tools.soak.worker_pool import WorkerPool
from verbenathread.clock import Clock, seconds
from verbenathread.types import Millis

Fault = Callable[[], Awaitable[None]]

# Time between the starts of two faults of a series.
_INTERVAL_RANGE: tuple[Millis, Millis] = (100, 1500)
_DURATION_RANGE: tuple[Millis, Millis] = (300, 3000)
_DELAY_RANGE: tuple[Millis, Millis] = (20, 300)
# A directory process that lost its disk counts as failed until it has had
# this long to catch up.
_CATCH_UP_TIME: Millis = 6000
_STOP_SLACK_SECONDS = 2
_FAILURE_SHARE = 0.3
# Weights of the faults, in the order of ``Faults._kinds``. A fault
# hits a directory process as often as a gateway; by default there are as many
# of each.
_WEIGHTS = (4, 3, 3, 4, 4, 3, 2, 3, 1, 2, 1)


class Faults:
    """Injects series of overlapping faults."""

    def __init__(
        self,
        fleet: Fleet,
        pool: WorkerPool,
        findings: Findings,
        clock: Clock,
        seed: int,
    ) -> None:
        """Draw everything from ``seed``."""
        self._fleet = fleet
        self._pool = pool
        self._findings = findings
        self._clock = clock
        self._random = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self._disk_lost_at: Millis = -_CATCH_UP_TIME
        self._kinds: tuple[Fault, ...] = (
            self._kill,
            self._stop,
            self._pause,
            self._cut,
            self._delay,
            self._reset,
            self._silence,
            self._fail_worker,
            self._lose_disk,
            self._crash_worker,
            self._kill_all,
        )

    async def run_series(self, length: Millis) -> None:
        """Start faults for ``length`` ms, then wait until all have ended."""
        until = self._clock.now() + length
        while self._clock.now() < until:
            fault = self._random.choices(self._kinds, _WEIGHTS)[0]
            task = asyncio.create_task(self._inject(fault))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            interval = self._random.randint(*_INTERVAL_RANGE)
            await asyncio.sleep(seconds(interval))
        await asyncio.gather(*self._tasks)

    async def run_planned_work(self) -> None:
        """Perform planned work only: a stop, a leave, a change of seeds.

        Meanwhile a worker names a limit.
        """
        node = self._random.choice(self._fleet.gateways)
        await asyncio.gather(
            self._terminate(node),
            self._pool.replace(self._random),
            self._pool.limit_engine(self._random),
        )
        self._fleet.change_seeds(self._random.randrange(3))

    async def _inject(self, fault: Fault) -> None:
        span_id = self._findings.begin_fault(fault.__name__)
        await fault()
        self._findings.end_fault(span_id)

    def _pick_node(self) -> Node | None:
        """Return a node that no other fault affects, or None."""
        free = [node for node in self._fleet.nodes if not node.is_faulted]
        return self._random.choice(free) if free else None

    async def _wait_duration(self) -> None:
        await asyncio.sleep(seconds(self._random.randint(*_DURATION_RANGE)))

    async def _kill(self) -> None:
        node = self._pick_node()
        if node is None:
            return
        node.is_faulted = True
        self._fleet.kill(node)
        if node.program == 'directory' and self._random.choice((True, False)):
            self._fleet.append_torn_write(node)
        await self._wait_duration()
        self._restart(node)

    async def _stop(self) -> None:
        node = self._pick_node()
        if node is not None:
            await self._terminate(node)

    async def _terminate(self, node: Node) -> None:
        """Stop a node gracefully, as the platform does, and restart it."""
        if node.is_faulted:
            return
        node.is_faulted = True
        span_id = self._findings.begin_fault(node.name, planned=True)
        process = self._fleet.process(node)
        process.send_signal(signal.SIGTERM)
        limit = seconds(STOP_LIMIT) + _STOP_SLACK_SECONDS
        code = await asyncio.to_thread(process.wait, limit)
        if code is None:
            self._findings.report_violation('STOP', f'{node.name} did not end')
            self._fleet.kill(node)
        self._restart(node)
        self._findings.end_fault(span_id)

    async def _pause(self) -> None:
        node = self._pick_node()
        if node is None:
            return
        node.is_faulted = True
        process = self._fleet.process(node)
        process.send_signal(signal.SIGSTOP)
        await self._wait_duration()
        process.send_signal(signal.SIGCONT)
        node.is_faulted = False

    async def _cut(self) -> None:
        node = self._random.choice(self._fleet.nodes)
        both = tuple(Direction)
        directions = self._random.choice((both, both[:1], both[1:]))
        for proxy in node.proxies:
            proxy.hold(*directions)
        await self._wait_duration()
        for proxy in node.proxies:
            proxy.release()

    async def _delay(self) -> None:
        node = self._random.choice(self._fleet.nodes)
        for proxy in node.proxies:
            proxy.delay = self._random.randint(*_DELAY_RANGE)
        await self._wait_duration()
        for proxy in node.proxies:
            proxy.delay = 0

    async def _reset(self) -> None:
        node = self._random.choice(self._fleet.nodes)
        for proxy in node.proxies:
            proxy.reset()

    async def _silence(self) -> None:
        """Silence the open connections of one node or worker for good."""
        proxies = list(self._pool.proxies)
        for node in self._fleet.nodes:
            proxies.extend(node.proxies)
        self._random.choice(proxies).silence()

    async def _fail_worker(self) -> None:
        worker = self._random.choice(self._pool.workers)
        worker.failure_share = _FAILURE_SHARE
        await self._wait_duration()
        worker.failure_share = 0

    async def _crash_worker(self) -> None:
        await self._pool.crash(self._random)

    async def _lose_disk(self) -> None:
        """Erase the disk of a directory process, of at most one at a time."""
        now = self._clock.now()
        is_unavailable = any(
            node.is_faulted for node in self._fleet.directories
        )
        if is_unavailable or now < self._disk_lost_at + _CATCH_UP_TIME:
            return
        node = self._random.choice(self._fleet.directories)
        node.is_faulted = True
        self._fleet.kill(node)
        self._fleet.wipe_disk(node)
        await self._wait_duration()
        self._restart(node)
        self._disk_lost_at = self._clock.now()

    async def _kill_all(self) -> None:
        nodes = [node for node in self._fleet.nodes if not node.is_faulted]
        for node in nodes:
            node.is_faulted = True
            self._fleet.kill(node)
        for node in nodes:
            self._restart(node)

    def _restart(self, node: Node) -> None:
        self._fleet.start_node(node)
        node.is_faulted = False
