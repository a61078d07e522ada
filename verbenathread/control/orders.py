"""Brings upstreams to their wanted state; only the leader sends orders.

An upstream that checks fencing numbers refuses the orders of an earlier
leader by itself. For one that ignores them a new leader first waits until no
order of the old one can still be sent or be in flight. Orders are the wanted
state, one at a time for each upstream, read back and repeated, so that even an
order which a frozen process let slip after all is put right.
"""

import asyncio
from collections.abc import Sequence
from functools import partial
from typing import NamedTuple

from verbenathread.clock import Clock
from verbenathread.control.load_limit import WeightLoadLimiter
from verbenathread.control.machine import ControlMachine
from verbenathread.control.order_http import (
    LeadershipLostError,
    Order,
    OrderRefusedError,
    OrderTransport,
    ReportedState,
)
from verbenathread.control.ports import ControlLog
from verbenathread.exceptions import UnavailableError
from verbenathread.observability.logs import get_logger
from verbenathread.schema import commands_pb2, control_pb2
from verbenathread.types import Millis

# Longest time that one order may take, from its connect to its answer.
ORDER_TIMEOUT: Millis = 2000
# Clocks of two machines may differ in rate by this share.
MAX_CLOCK_DRIFT = 0.05
MIN_RECHECK_DELAY: Millis = 1000
MAX_RETRY_DELAY: Millis = 30_000
MAX_RECHECK_DELAY: Millis = 600_000
MAX_CONCURRENT_UPSTREAMS = 16
_CHECKED = 'checked'

_log = get_logger('orders')


class _Progress(NamedTuple):
    """When one upstream is looked at next, and what was seen last."""

    fencing: int
    next_check: Millis
    delay: Millis
    state: str = 'waiting'
    message: str = ''


class OrderSender:
    """Looks after the wanted state of every upstream while it leads."""

    def __init__(
        self,
        *,
        log: ControlLog,
        machine: ControlMachine,
        transport: OrderTransport,
        clock: Clock,
        lease: Millis,
    ) -> None:
        """Send over ``upstreams``; a leader's lease lasts ``lease`` ms."""
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
        """Start what is due; called several times a second."""
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
        """Return how far each order has come, as this process saw it."""
        statuses = []
        for wanted in self._machine.wanted.images():
            follow = self._progress_by_upstream.get(wanted.upstream_id)
            for wanted_item in wanted.items:
                statuses.append(
                    control_pb2.OrderStatus(
                        upstream_id=wanted.upstream_id,
                        action=wanted_item.action,
                        subject=wanted_item.subject,
                        fencing=wanted_item.fencing,
                        state=follow.state if follow else 'waiting',
                        message=follow.message if follow else '',
                    )
                )
        return statuses

    async def stop(self) -> None:
        """Send nothing more, and wait for what is in flight."""
        self._stopped = True
        self._term = 0
        await self.idle()

    async def idle(self) -> None:
        """Wait until no order is in flight; bounded by the order timeout."""
        if self._task_by_upstream:
            await asyncio.wait(self._task_by_upstream.values())

    def may_send(self, term: int, *, checked: bool) -> bool:
        """Tell whether an order of ``term`` may go out at this moment.

        Asked from worker threads right before the first byte.
        """
        if not checked and self._clock.now() < self._takeover_ends:
            return False
        try:
            status = self._log.status()
        except RuntimeError:
            # The group changed while it was read from this thread.
            return False
        return status.is_leader and status.term == term == self._term

    def reconcile(
        self, wanted: commands_pb2.WantedImage, term: int, *, checked: bool
    ) -> str:
        """Bring one upstream to its wanted state; return what is missing.

        Blocks; runs in a worker thread.
        """
        shown = self._transport.read(wanted.address, ORDER_TIMEOUT)
        self._load_limiter.record_models(
            wanted.upstream_id, tuple(shown.models)
        )
        fencing = newest_fencing(wanted)
        missing = []
        may_send = partial(self.may_send, term, checked=checked)
        for wanted_item in wanted.items:
            if satisfies(shown, wanted_item, fencing):
                continue
            if not self._may_order(wanted.upstream_id, wanted_item):
                missing.append(wanted_item.slot)
                continue
            # Every order names the newest number: it stands for the whole
            # wanted state, and an upstream that checks refuses older ones.
            order = Order(
                order_id=wanted_item.order_id,
                fencing=fencing,
                action=wanted_item.action,
                subject=wanted_item.subject,
            )
            shown = self._transport.send(
                wanted.address, order, ORDER_TIMEOUT, may_send
            )
            if not satisfies(shown, wanted_item, fencing):
                missing.append(wanted_item.slot)
        return ', '.join(missing)

    def _start_due(self, wanted: commands_pb2.WantedImage, now: Millis) -> None:
        name = wanted.upstream_id
        fencing = newest_fencing(wanted)
        follow = self._progress_by_upstream.get(name)
        if follow is None or follow.fencing != fencing:
            follow = _Progress(fencing, now, MIN_RECHECK_DELAY)
            self._progress_by_upstream[name] = follow
        busy = name in self._task_by_upstream
        if busy or follow.next_check > now:
            return
        if len(self._task_by_upstream) >= MAX_CONCURRENT_UPSTREAMS:
            return
        checked = self._checks_fencing(wanted.service)
        if not checked and now < self._takeover_ends:
            return
        image = commands_pb2.WantedImage()
        image.CopyFrom(wanted)
        task = asyncio.create_task(
            self._reconcile_upstream(image, follow, checked=checked)
        )
        self._task_by_upstream[name] = task
        task.add_done_callback(lambda _: self._task_by_upstream.pop(name))

    async def _reconcile_upstream(
        self,
        wanted: commands_pb2.WantedImage,
        follow: _Progress,
        *,
        checked: bool,
    ) -> None:
        term = self._term
        try:
            missing = await asyncio.to_thread(
                self.reconcile, wanted, term, checked=checked
            )
        except LeadershipLostError:
            return
        except OrderRefusedError as refusal:
            self._load_limiter.forget(wanted.upstream_id)
            self._record_progress(wanted, follow, 'refused', str(refusal))
        except UnavailableError as error:
            self._load_limiter.forget(wanted.upstream_id)
            self._record_progress(wanted, follow, 'waiting', str(error))
        else:
            state = 'waiting' if missing else 'shown'
            self._record_progress(wanted, follow, state, missing)

    def _record_progress(
        self,
        wanted: commands_pb2.WantedImage,
        follow: _Progress,
        state: str,
        message: str,
    ) -> None:
        name = wanted.upstream_id
        if self._progress_by_upstream.get(name) is not follow:
            return
        if state != follow.state:
            _log.info('An order moved on.', upstream=name, state=state)
        longest = MAX_RECHECK_DELAY if state == 'shown' else MAX_RETRY_DELAY
        self._progress_by_upstream[name] = _Progress(
            follow.fencing,
            self._clock.now() + follow.delay,
            min(2 * follow.delay, longest),
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
        # The weight store is one for the fleet: the root's policy counts.
        return self._machine.tree.effective().policy('').weight_loads

    def _checks_fencing(self, service: str) -> bool:
        settings = self._machine.tree.effective().service(service)
        return settings is not None and settings.fencing == _CHECKED


def newest_fencing(wanted: commands_pb2.WantedImage) -> int:
    """Return the number that stands for the whole wanted state."""
    return max((entry.fencing for entry in wanted.items), default=0)


def satisfies(
    shown: ReportedState, wanted_item: commands_pb2.WantedItem, fencing: int
) -> bool:
    """Tell whether the upstream shows what one order wants."""
    if wanted_item.action == 'load':
        return wanted_item.subject in shown.models
    if wanted_item.action == 'unload':
        return wanted_item.subject not in shown.models
    if wanted_item.action == 'role':
        return shown.role == wanted_item.subject
    if shown.drain:
        return shown.drain == wanted_item.subject
    # An upstream that shows no draining shows at least the number.
    return shown.fencing >= fencing
