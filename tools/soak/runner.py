"""Run one soak, from the start of its processes to its findings."""

import asyncio
import contextlib
import signal
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, NamedTuple

from tools.processes import running_processes
from tools.soak.callers import REQUEST_KINDS, Caller
from tools.soak.faults import Faults
from tools.soak.findings import Findings
from tools.soak.fleet import Fleet
from tools.soak.operator import Operator
from tools.soak.worker_pool import WorkerPool
from verbenathread.clock import Clock, SystemClock, seconds
from verbenathread.types import Address, Millis

_START_LIMIT: Millis = 15_000
_SERIES_LENGTH: Millis = 4000
# Longer than the time for which a fault counts after its end.
_QUIET_TIME: Millis = 4000
# All memory is released this long after the last request that used it.
_RELEASE_TIME: Millis = 4000
_POLL_INTERVAL: Millis = 200
_DISCONNECT_TIME: Millis = 500
# A soak takes about a minute; one that exceeds this limit hangs.
_RUN_LIMIT: Millis = 150_000


class Size(NamedTuple):
    """Number of processes, workers, callers and series of faults."""

    directories: int = 3
    gateways: int = 3
    engines: int = 4
    callers: int = 8
    series: int = 3


class Soak:
    """One soak: its fleet, workers, callers, operator and faults."""

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

    async def run(self) -> None:
        """Inject the faults, then run the final checks."""
        await self._fleet.start()
        await self._pool.start()
        self._spawn(self._pool.send_heartbeats())
        await asyncio.wait_for(self._operator.change(), seconds(_START_LIMIT))
        await self._wait_until_served()
        self._spawn(self._operator.run())
        self._spawn(self._operator.probe())
        for number in range(self._size.callers):
            self._spawn(self._caller(f's{self._seed}-c{number}').run())
        for _ in range(self._size.series):
            await self._faults.run_series(_SERIES_LENGTH)
            self._fleet.check_running()
            await asyncio.sleep(seconds(_QUIET_TIME))
            await self._faults.run_planned_work()
        await self._finish()

    async def run_within(self, limit: Millis) -> None:
        """Run; on a timeout report a violation and print all stacks."""
        try:
            async with asyncio.timeout(seconds(limit)):
                await self.run()
        except TimeoutError as error:
            self.findings.report_violation('SOAK', f'it hangs: {error!r}')
            for task in asyncio.all_tasks():
                task.print_stack(limit=3)

    async def stop(self) -> None:
        """Stop every task, process, worker and proxy."""
        await self._cancel()
        await self._fleet.stop()
        await self._pool.stop()

    async def _finish(self) -> None:
        await asyncio.sleep(seconds(_QUIET_TIME))
        # The first task continues: it sends the heartbeats of the workers.
        await self._cancel(keep=1)
        # Gateways detect within this time that the callers disconnected.
        await asyncio.sleep(seconds(_DISCONNECT_TIME))
        await self._check_served()
        await self._operator.read_back()
        await asyncio.sleep(seconds(_RELEASE_TIME))
        for worker in self._pool.workers:
            if worker.reservations():
                reservations = worker.reservations()
                self.findings.report_violation(
                    'LEAK', f'{worker.worker_id} {reservations}'
                )
        self._fleet.check_running()
        self._fleet.check_logs()
        self.findings.finish()

    async def _check_served(self) -> None:
        """Check that every gateway serves every kind of request again."""
        for node in self._fleet.gateways:
            caller = self._caller(f's{self._seed}-{node.name}', node.address)
            for kind in REQUEST_KINDS:
                if not await caller.send(kind):
                    self.findings.report_violation(
                        'RECOVER', f'{node.name} {kind.name}'
                    )
            caller.close()

    async def _wait_until_served(self) -> None:
        """Wait until every gateway has served its first request."""
        until = self._clock.now() + _START_LIMIT
        for node in self._fleet.gateways:
            caller = self._caller(
                f's{self._seed}-first-{node.name}', node.address
            )
            while not await caller.send(REQUEST_KINDS[-1]):
                if self._clock.now() > until:
                    raise TimeoutError(f'{node.name} does not serve requests')
                await asyncio.sleep(seconds(_POLL_INTERVAL))
            caller.close()

    def _caller(self, name: str, *gateways: Address) -> Caller:
        all_gateways = [node.address for node in self._fleet.gateways]
        return Caller(
            name, list(gateways) or all_gateways, self.findings, self._clock
        )

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._report_task_error)
        self._tasks.append(task)

    def _report_task_error(self, task: asyncio.Task[None]) -> None:
        """Report a task that ended with an exception."""
        if not task.cancelled() and task.exception() is not None:
            self.findings.report_violation('SOAK', repr(task.exception()))
            task.print_stack()

    async def _cancel(self, keep: int = 0) -> None:
        tasks = self._tasks[keep:]
        while tasks:
            # Before Python 3.12 a cancellation is lost if it coincides with the
            # end of what asyncio.wait_for awaits.
            for task in tasks:
                task.cancel()
            _, pending = await asyncio.wait(tasks, timeout=1)
            tasks = list(pending)
        self._tasks = self._tasks[:keep]


async def run_soak(
    seed: int, folder: Path, size: Size, older: Path | None = None
) -> Findings:
    """Run the soak of one seed with its processes below ``folder``.

    ``older`` is the folder of another build, which runs beside this one.
    SIGTERM ends it early and stops all that it started.
    """
    task = asyncio.current_task()
    if task is not None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
    with running_processes(folder) as processes:
        findings = Findings(SystemClock())
        fleet = Fleet(
            processes, size.directories, size.gateways, findings, older
        )
        soak = Soak(fleet, size, seed)
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(soak.stop)
            await soak.run_within(_RUN_LIMIT)
    return findings
