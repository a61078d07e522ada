"""Orders: fencing, the frozen leader, and the wait of a new one."""

import asyncio
import contextlib
import unittest
from typing import Any

from tests.control_commands import ROOT_SHA, Log, change
from tests.standins.processes import LocalStandIn
from verbenathread.clock import ManualClock
from verbenathread.consensus.settings import ReplicaStatus
from verbenathread.control.order_http import (
    HttpOrderTransport,
    LeadershipLostError,
    OrderRefusedError,
    ReportedState,
)
from verbenathread.control.orders import ORDER_TIMEOUT, OrderSender
from verbenathread.exceptions import UnavailableError
from verbenathread.schema import commands_pb2

LEASE = 1000


class FakeControlLog:
    """The log as one process sees it."""

    def __init__(self, term: int) -> None:
        self.term = term
        self.is_leader = True

    def status(self) -> ReplicaStatus:
        return ReplicaStatus('', '', self.is_leader, self.term, 0, 0, (), 0, '')


class FakeEngine:
    """An engine in memory; it may check fencing numbers or ignore them."""

    def __init__(self, *, checked: bool) -> None:
        self.checked = checked
        self.shown = ReportedState(0, (), 'both', '')
        self.accepted: list[tuple[int, str]] = []
        self.before_check: list[Any] = []
        self.after_check: list[Any] = []
        self.lost_sends = 0

    def read(self, address, limit):
        return self.shown

    def send(self, address, order, limit, may_send):
        while self.before_check:
            self.before_check.pop()()
        if not may_send():
            raise LeadershipLostError
        while self.after_check:
            self.after_check.pop()()
        if self.lost_sends:
            self.lost_sends -= 1
            raise UnavailableError('lost')
        if self.checked and order.fencing < self.shown.fencing:
            raise OrderRefusedError('old number')
        self.accepted.append((order.fencing, order.subject))
        self.shown = self.shown._replace(
            fencing=order.fencing, role=order.subject
        )
        return self.shown


def order(log: Log, action: str, subject: str, address: str = '') -> None:
    number = len(log.commands)
    log.apply(
        commands_pb2.Command(
            order=commands_pb2.OrderCommand(
                operation_id=f'order-{number}',
                credential=change('', '', 0).change.credential,
                upstream_id='w1',
                address=address,
                service='draft-desk',
                action=action,
                subject=subject,
            )
        )
    )


def service_log(fencing: str) -> Log:
    log = Log()
    text = (
        f'[service draft-desk]\nannounce_key_sha256 = {ROOT_SHA}\n'
        f'fencing = {fencing}\n'
    )
    log.apply(change('service', text, 0))
    return log


def make_sender(log, engine, clock, term):
    leadership = FakeControlLog(term)
    sender = OrderSender(
        log=leadership,
        machine=log.machine,
        transport=engine,
        clock=clock,
        lease=LEASE,
    )
    return sender, leadership


def advance(sender, clock, steps, step=200):
    async def scene():
        left = steps
        while left:
            left -= 1
            sender.step()
            await sender.idle()
            clock.advance(step)

    asyncio.run(scene())


def freeze_old_leader(frozen, checked):
    """Freeze the old leader at one step of an order; return what came."""
    log = service_log('checked' if checked else 'ignored')
    order(log, 'role', 'prefill')
    engine = FakeEngine(checked=checked)
    clock = ManualClock(1000)
    old, old_lead = make_sender(log, engine, clock, 1)
    later = Log()
    later.machine.restore(log.machine.snapshot())
    later.commands = list(log.commands)
    order(later, 'role', 'decode')
    new, _ = make_sender(later, engine, clock, 2)

    def freeze():
        # While the old leader stands still another one takes over.
        old_lead.is_leader = False
        advance(new, clock, 30)

    advance(old, clock, 15, step=210)
    wanted = next(iter(log.machine.wanted.images()))
    getattr(engine, frozen).append(freeze)
    engine.accepted.clear()
    engine.shown = engine.shown._replace(role='both', fencing=0)
    with contextlib.suppress(LeadershipLostError, OrderRefusedError):
        old.reconcile(wanted, 1, checked=checked)
    taken = list(engine.accepted)
    advance(new, clock, 60)
    late = [entry for entry in taken if entry[1] == 'prefill']
    return len(late), engine.shown.role


class OrderSenderTest(unittest.TestCase):
    def test_new_leader_waits_where_numbers_are_ignored(self):
        for fencing, waits in (('ignored', True), ('checked', False)):
            with self.subTest(fencing=fencing):
                log = service_log(fencing)
                order(log, 'role', 'prefill')
                engine = FakeEngine(checked=not waits)
                clock = ManualClock(1000)
                sender, _ = make_sender(log, engine, clock, 2)
                steps = (LEASE + ORDER_TIMEOUT) // 200
                advance(sender, clock, steps)
                self.assertEqual(not engine.accepted, waits)
                advance(sender, clock, 5)
                self.assertEqual(engine.accepted, [(2, 'prefill')])

    def test_frozen_leader_wakes_and_orders(self):
        """Frozen before the check: not sent. After it: put right."""
        for frozen, checked, expected in (
            ('before_check', False, 0),
            ('before_check', True, 0),
            ('after_check', False, 1),
            ('after_check', True, 0),
        ):
            with self.subTest(frozen=frozen, checked=checked):
                late, role = freeze_old_leader(frozen, checked)
                self.assertEqual(late, expected)
                self.assertEqual(role, 'decode')

    def test_lost_orders_are_repeated_until_shown(self):
        log = service_log('checked')
        order(log, 'role', 'decode')
        engine = FakeEngine(checked=True)
        engine.lost_sends = 3
        clock = ManualClock(1000)
        sender, leadership = make_sender(log, engine, clock, 1)
        advance(sender, clock, 60)
        self.assertEqual(engine.shown.role, 'decode')
        self.assertEqual(sender.statuses()[0].state, 'shown')
        # An engine that restarted and forgot is brought back too.
        engine.shown = ReportedState(0, (), 'both', '')
        advance(sender, clock, 600)
        self.assertEqual(engine.shown.role, 'decode')
        leadership.is_leader = False
        order(log, 'role', 'prefill')
        advance(sender, clock, 50)
        self.assertEqual(engine.shown.role, 'decode')


class HttpUpstreamsTest(unittest.TestCase):
    def test_orders_over_http(self):
        for fencing in ('checked', 'ignored'):
            standin = LocalStandIn('engine', '--fencing', fencing)
            self.addCleanup(standin.stop)
            log = service_log(fencing)
            address = str(standin.address)
            order(log, 'load', 'adapter-7', address)
            stale = next(iter(log.machine.wanted.images()))
            stale = commands_pb2.WantedImage.FromString(
                stale.SerializeToString()
            )
            order(log, 'role', 'decode', address)
            order(log, 'unload', 'adapter-7', address)
            order(log, 'load', 'adapter-9', address)
            clock = ManualClock(100_000)
            sender, _ = make_sender(log, HttpOrderTransport(), clock, 1)
            advance(sender, clock, 30)
            with self.subTest(fencing=fencing):
                states = {status.state for status in sender.statuses()}
                self.assertEqual(states, {'shown'})
                # An older slot is repeated under the newest number.
                standin.state.order['role'] = 'both'
                advance(sender, clock, 30)
                self.assertEqual(standin.state.order['role'], 'decode')
                with contextlib.suppress(OrderRefusedError):
                    sender.reconcile(stale, 1, checked=True)
                # Only an engine that ignores numbers takes the old order.
                taken = 'adapter-7' in standin.state.order['models']
                self.assertEqual(taken, fencing == 'ignored')

    def test_dead_upstream_is_named(self):
        with self.assertRaises(UnavailableError) as caught:
            HttpOrderTransport().read('127.0.0.1:1', 500)
        self.assertIn('127.0.0.1:1', str(caught.exception))
