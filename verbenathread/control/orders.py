"""Reconciles upstreams with their wanted state; only the leader sends orders.

An upstream that checks fencing numbers rejects the orders of a previous
leader by itself. For one that ignores them, a new leader first waits until
the old leader can no longer send an order or have one in flight. Orders
describe the wanted state. They are sent one at a time to each upstream, read
back and repeated, so that a stale order that a suspended process still sent
is corrected.
"""

import asyncio
from collections.abc import Sequence
from functools import partial
from typing import NamedTuple

from verbenathread.clock import Clock
from verbenathread.control.interfaces import ControlLog
from verbenathread.control.load_limit import WeightLoadLimiter
from verbenathread.control.machine import ControlMachine
from verbenathread.control.order_http import (
    LeadershipLostError,
    Order,
    OrderRefusedError,
    OrderTransport,
    ReportedState,
)
from verbenathread.exceptions import UnavailableError
from verbenathread.observability.logs import get_logger
from verbenathread.schema import commands_pb2, control_pb2
from verbenathread.types import Millis

# Limit for one order, from the connect to the response.
ORDER_TIMEOUT: Millis = 2000
# Largest relative difference between the clock rates of two machines.
MAX_CLOCK_DRIFT = 0.05
MIN_RECHECK_DELAY: Millis = 1000
MAX_RETRY_DELAY: Millis = 30_000
MAX_RECHECK_DELAY: Millis = 600_000
MAX_CONCURRENT_UPSTREAMS = 16
_CHECKED = 'checked'

_log = get_logger('orders')


class _Progress(NamedTuple):
    """Time of the next check of one upstream, and the last result."""

    fencing: int
    next_check: Millis
    delay: Millis
    state: str = 'waiting'
    message: str = ''


class OrderSender:
    """Reconciles every upstream with its wanted state while it leads."""

    def __init__(
        self,
        *,
        log: ControlLog,
        machine: ControlMachine,
        transport: OrderTransport,
        clock: Clock,
        lease: Millis,
    ) -> None:
        """Send over ``transport``; a leader's lease lasts ``lease`` ms."""
        self._log = log
        self._machine = machine
        self._transport = transport
        self._clock = clock
        self._takeover_delay = (
            int(lease * (1 + MAX_CLOCK_DRIFT)) + ORDER_TIMEOUT
        )
        self._load_limiter = WeightLoadLimiter(self._load_limit, clock)
        self._term = 0
        self._stopped = False
        self._takeover_ends = 0
        self._progress_by_upstream: dict[str, _Progress] = {}
        self._task_by_upstream: dict[str, asyncio.Task[None]] = {}

    def step(self) -> None:
        """Start the checks that are due; called several times a second."""
        status = self._log.status()
        if self._stopped or not status.is_leader:
            self._term = 0
            self._progress_by_upstream.clear()
            return
        now = self._clock.now()
        if status.term != self._term:
            self._term = status.term
            self._takeover_ends = now + self._takeover_delay
            self._progress_by_upstream.clear()
        for wanted in self._machine.wanted.images():
            self._start_due(wanted, now)

    def statuses(self) -> Sequence[control_pb2.OrderStatus]:
        """Return the state of each order as this process last saw it."""
        statuses = []
        for wanted in self._machine.wanted.images():
            progress = self._progress_by_upstream.get(wanted.upstream_id)
            for wanted_item in wanted.items:
                statuses.append(
                    control_pb2.OrderStatus(
                        upstream_id=wanted.upstream_id,
                        action=wanted_item.action,
                        subject=wanted_item.subject,
                        fencing=wanted_item.fencing,
                        state=progress.state if progress else 'waiting',
                        message=progress.message if progress else '',
                    )
                )
        return statuses

    async def stop(self) -> None:
        """Stop sending and wait for the orders in flight."""
        self._stopped = True
        self._term = 0
        await self.wait_idle()

    async def wait_idle(self) -> None:
        """Wait until no order is in flight; bounded by the order timeout."""
        if self._task_by_upstream:
            await asyncio.wait(self._task_by_upstream.values())

    def may_send(self, term: int, *, checks_fencing: bool) -> bool:
        """Return whether an order of ``term`` may be sent now.

        Called from worker threads right before the first byte is sent.
        """
        if not checks_fencing and self._clock.now() < self._takeover_ends:
            return False
        try:
            status = self._log.status()
        except RuntimeError:
            # The membership changed while this thread was reading it.
            return False
        return status.is_leader and status.term == term == self._term

    def reconcile(
        self,
        wanted: commands_pb2.WantedImage,
        term: int,
        *,
        checks_fencing: bool,
    ) -> str:
        """Send one upstream its missing orders.

        Returns the slots of the orders that are not fulfilled yet; a slot is
        the part of the wanted state that an order sets, such as the role or
        one model. Blocks; runs in a worker thread.
        """
        reported = self._transport.read(wanted.address, ORDER_TIMEOUT)
        self._load_limiter.record_models(
            wanted.upstream_id, tuple(reported.models)
        )
        fencing = newest_fencing(wanted)
        missing = []
        may_send = partial(self.may_send, term, checks_fencing=checks_fencing)
        for wanted_item in wanted.items:
            if satisfies(reported, wanted_item, fencing):
                continue
            if not self._may_order(wanted.upstream_id, wanted_item):
                missing.append(wanted_item.slot)
                continue
            # Every order carries the newest fencing number: it is valid for
            # the whole wanted state, and an upstream that checks fencing
            # rejects older numbers.
            order = Order(
                order_id=wanted_item.order_id,
                fencing=fencing,
                action=wanted_item.action,
                subject=wanted_item.subject,
            )
            reported = self._transport.send(
                wanted.address, order, ORDER_TIMEOUT, may_send
            )
            if not satisfies(reported, wanted_item, fencing):
                missing.append(wanted_item.slot)
        return ', '.join(missing)

    def _start_due(self, wanted: commands_pb2.WantedImage, now: Millis) -> None:
        name = wanted.upstream_id
        fencing = newest_fencing(wanted)
        progress = self._progress_by_upstream.get(name)
        if progress is None or progress.fencing != fencing:
            progress = _Progress(fencing, now, MIN_RECHECK_DELAY)
            self._progress_by_upstream[name] = progress
        busy = name in self._task_by_upstream
        if busy or progress.next_check > now:
            return
        if len(self._task_by_upstream) >= MAX_CONCURRENT_UPSTREAMS:
            return
        checks_fencing = self._checks_fencing(wanted.service)
        if not checks_fencing and now < self._takeover_ends:
            return
        image = commands_pb2.WantedImage()
        image.CopyFrom(wanted)
        task = asyncio.create_task(
            self._reconcile_upstream(
                image, progress, checks_fencing=checks_fencing
            )
        )
        self._task_by_upstream[name] = task
        task.add_done_callback(lambda _: self._task_by_upstream.pop(name))

    async def _reconcile_upstream(
        self,
        wanted: commands_pb2.WantedImage,
        progress: _Progress,
        *,
        checks_fencing: bool,
    ) -> None:
        term = self._term
        try:
            missing = await asyncio.to_thread(
                self.reconcile, wanted, term, checks_fencing=checks_fencing
            )
        except LeadershipLostError:
            return
        except OrderRefusedError as refusal:
            self._load_limiter.forget(wanted.upstream_id)
            self._record_progress(wanted, progress, 'refused', str(refusal))
        except UnavailableError as error:
            self._load_limiter.forget(wanted.upstream_id)
            self._record_progress(wanted, progress, 'waiting', str(error))
        else:
            state = 'waiting' if missing else 'shown'
            self._record_progress(wanted, progress, state, missing)

    def _record_progress(
        self,
        wanted: commands_pb2.WantedImage,
        progress: _Progress,
        state: str,
        message: str,
    ) -> None:
        name = wanted.upstream_id
        if self._progress_by_upstream.get(name) is not progress:
            return
        if state != progress.state:
            _log.info('Order state changed.', upstream=name, state=state)
        max_delay = MAX_RECHECK_DELAY if state == 'shown' else MAX_RETRY_DELAY
        self._progress_by_upstream[name] = _Progress(
            progress.fencing,
            self._clock.now() + progress.delay,
            min(2 * progress.delay, max_delay),
            state,
            message,
        )

    def _may_order(
        self, upstream_id: str, wanted_item: commands_pb2.WantedItem
    ) -> bool:
        if wanted_item.action != 'load':
            return True
        return self._load_limiter.may_load(upstream_id, wanted_item.subject)

    def _load_limit(self) -> int:
        # All upstreams share one weight store, so the root's policy applies.
        return self._machine.tree.effective().policy('').weight_loads

    def _checks_fencing(self, service: str) -> bool:
        settings = self._machine.tree.effective().service(service)
        return settings is not None and settings.fencing == _CHECKED


def newest_fencing(wanted: commands_pb2.WantedImage) -> int:
    """Return the fencing number that is valid for the whole wanted state."""
    return max((item.fencing for item in wanted.items), default=0)


def satisfies(
    reported: ReportedState, wanted_item: commands_pb2.WantedItem, fencing: int
) -> bool:
    """Return whether the reported state fulfils one order."""
    if wanted_item.action == 'load':
        return wanted_item.subject in reported.models
    if wanted_item.action == 'unload':
        return wanted_item.subject not in reported.models
    if wanted_item.action == 'role':
        return reported.role == wanted_item.subject
    if reported.drain:
        return reported.drain == wanted_item.subject
    # Without a drain state, an accepted fencing number shows that the order was
    # received.
    return reported.fencing >= fencing
