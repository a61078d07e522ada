"""One soak from its start to its verdict."""

import asyncio
import contextlib
import signal
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, NamedTuple

from tools.processes import running
from tools.soak.callers import ASKS, Caller
from tools.soak.faults import Faults
from tools.soak.findings import Findings
from tools.soak.fleet import Fleet
from tools.soak.operator import Operator
from tools.soak.worker_pool import WorkerPool
from verbenathread.clock import Clock, SystemClock, seconds
from verbenathread.types import Address, Millis

_START_LIMIT: Millis = 15_000
_SERIES: Millis = 4000
# Longer than a fault counts after its end.
_CALM: Millis = 4000
# Memory is free this long after the last request that used it.
_FREE: Millis = 4000
_LOOK_EVERY: Millis = 200
_LEAVE: Millis = 500
# A soak takes about a minute; one that takes longer hangs.
_LONGEST: Millis = 150_000


class Size(NamedTuple):
    """How much runs, and how many series of faults there are."""

    directories: int = 3
    gateways: int = 3
    engines: int = 4
    callers: int = 8
    series: int = 3


class Soak:
    """The parts of one soak."""

    def __init__(self, fleet: Fleet, size: Size, seed: int) -> None:
        """Draw everything from ``seed``."""
        self._clock: Clock = SystemClock()
        self.findings = fleet.findings
        self._fleet = fleet
        self._size = size
        self._seed = seed
        self._pool = WorkerPool(fleet, self.findings, self._clock, size.engines)
        self._operator = Operator(fleet, self.findings, self._clock, seed)
        self._faults = Faults(
            fleet, self._pool, self.findings, self._clock, seed
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def play(self) -> None:
        """Play the faults and check what can be told at the end."""
        await self._fleet.start()
        await self._pool.start()
        self._spawn(self._pool.beat())
        await asyncio.wait_for(self._operator.change(), seconds(_START_LIMIT))
        await self._until_served()
        self._spawn(self._operator.run())
        self._spawn(self._operator.probe())
        for number in range(self._size.callers):
            self._spawn(self._caller(f's{self._seed}-c{number}').run())
        for _ in range(self._size.series):
            await self._faults.series(_SERIES)
            self._fleet.check_running()
            await asyncio.sleep(seconds(_CALM))
            await self._faults.plan()
        await self._finish()

    async def play_within(self, limit: Millis) -> None:
        """Play, and tell where it hangs if it takes longer."""
        try:
            async with asyncio.timeout(seconds(limit)):
                await self.play()
        except TimeoutError as error:
            self.findings.breach('SOAK', f'it hangs: {error!r}')
            for task in asyncio.all_tasks():
                task.print_stack(limit=3)

    async def stop(self) -> None:
        """End every task, process, worker and proxy."""
        await self._cancel()
        await self._fleet.stop()
        await self._pool.stop()

    async def _finish(self) -> None:
        await asyncio.sleep(seconds(_CALM))
        await self._cancel(keep=1)
        # Gateways notice within this that the callers left.
        await asyncio.sleep(seconds(_LEAVE))
        await self._check_served()
        await self._operator.read_back()
        await asyncio.sleep(seconds(_FREE))
        for worker in self._pool.workers:
            if worker.tickets():
                held = worker.tickets()
                self.findings.breach('LEAK', f'{worker.worker_id} {held}')
        self._fleet.check_running()
        self._fleet.check_logs()
        self.findings.close()

    async def _check_served(self) -> None:
        """Without faults every gateway serves every kind of request."""
        for node in self._fleet.gateways:
            caller = self._caller(f's{self._seed}-{node.name}', node.address)
            for ask in ASKS:
                if not await caller.ask(ask):
                    self.findings.breach('RECOVER', f'{node.name} {ask.name}')
            caller.close()

    async def _until_served(self) -> None:
        """Wait until every gateway serves for the first time."""
        until = self._clock.now() + _START_LIMIT
        for node in self._fleet.gateways:
            caller = self._caller(
                f's{self._seed}-first-{node.name}', node.address
            )
            while not await caller.ask(ASKS[-1]):
                if self._clock.now() > until:
                    raise TimeoutError(f'{node.name} serves nothing')
                await asyncio.sleep(seconds(_LOOK_EVERY))
            caller.close()

    def _caller(self, name: str, *gateways: Address) -> Caller:
        known = [node.address for node in self._fleet.gateways]
        return Caller(name, list(gateways) or known, self.findings, self._clock)

    def _spawn(self, duty: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(duty)
        task.add_done_callback(self._note_end)
        self._tasks.append(task)

    def _note_end(self, task: asyncio.Task[None]) -> None:
        """Note a caller or operator that ended by an error."""
        if not task.cancelled() and task.exception() is not None:
            self.findings.breach('SOAK', repr(task.exception()))
            task.print_stack()

    async def _cancel(self, keep: int = 0) -> None:
        ending = self._tasks[keep:]
        while ending:
            # Until Python 3.12 a cancel is lost that meets the end of what
            # asyncio.wait_for waits for.
            for task in ending:
                task.cancel()
            _, running_on = await asyncio.wait(ending, timeout=1)
            ending = list(running_on)
        self._tasks = self._tasks[:keep]


async def play(seed: int, folder: Path, size: Size) -> Findings:
    """Play the soak of one seed with its processes below ``folder``.

    SIGTERM ends it early, with all that it started.
    """
    playing = asyncio.current_task()
    if playing is not None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, playing.cancel)
    with running(folder) as processes:
        findings = Findings(SystemClock())
        fleet = Fleet(processes, size.directories, size.gateways, findings)
        soak = Soak(fleet, size, seed)
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(soak.stop)
            await soak.play_within(_LONGEST)
    return findings
