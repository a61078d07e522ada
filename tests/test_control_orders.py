"""Tests of order fencing, a suspended leader and the takeover delay."""

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

LEASE_MS = 1000


class FakeControlLog:
    """The control log of one process, reduced to its leadership."""

    def __init__(self, term: int) -> None:
        self.term = term
        self.is_leader = True

    def status(self) -> ReplicaStatus:
        return ReplicaStatus('', '', self.is_leader, self.term, 0, 0, (), 0, '')


class FakeEngine:
    """An in-memory engine that checks fencing numbers or ignores them."""

    def __init__(self, *, checked: bool) -> None:
        self.checked = checked
        self.reported = ReportedState(0, (), 'both', '')
        self.accepted: list[tuple[int, str]] = []
        self.before_check: list[Any] = []
        self.after_check: list[Any] = []
        self.lost_sends = 0

    def read(self, address, limit):
        return self.reported

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
        if self.checked and order.fencing < self.reported.fencing:
            raise OrderRefusedError('old number')
        self.accepted.append((order.fencing, order.subject))
        self.reported = self.reported._replace(
            fencing=order.fencing, role=order.subject
        )
        return self.reported


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
    control_log = FakeControlLog(term)
    sender = OrderSender(
        log=control_log,
        machine=log.machine,
        transport=engine,
        clock=clock,
        lease=LEASE_MS,
    )
    return sender, control_log


def advance(sender, clock, steps, step=200):
    async def scenario():
        left = steps
        while left:
            left -= 1
            sender.step()
            await sender.wait_idle()
            clock.advance(step)

    asyncio.run(scenario())


def suspend_old_leader(suspend_point, checked):
    """Suspend the old leader while it sends an order.

    Return how many of its orders were accepted, and the final role.
    """
    log = service_log('checked' if checked else 'ignored')
    order(log, 'role', 'prefill')
    engine = FakeEngine(checked=checked)
    clock = ManualClock(1000)
    old, old_log = make_sender(log, engine, clock, 1)
    new_log = Log()
    new_log.machine.restore(log.machine.snapshot())
    new_log.commands = list(log.commands)
    order(new_log, 'role', 'decode')
    new, _ = make_sender(new_log, engine, clock, 2)

    def suspend():
        # Another leader takes over while the old one is suspended.
        old_log.is_leader = False
        advance(new, clock, 30)

    advance(old, clock, 15, step=210)
    wanted = next(iter(log.machine.wanted.images()))
    getattr(engine, suspend_point).append(suspend)
    engine.accepted.clear()
    engine.reported = engine.reported._replace(role='both', fencing=0)
    with contextlib.suppress(LeadershipLostError, OrderRefusedError):
        old.reconcile(wanted, 1, checks_fencing=checked)
    accepted = list(engine.accepted)
    advance(new, clock, 60)
    stale_orders = [entry for entry in accepted if entry[1] == 'prefill']
    return len(stale_orders), engine.reported.role


class OrderSenderTest(unittest.TestCase):
    def test_new_leader_waits_if_fencing_is_ignored(self):
        for fencing, waits in (('ignored', True), ('checked', False)):
            with self.subTest(fencing=fencing):
                log = service_log(fencing)
                order(log, 'role', 'prefill')
                engine = FakeEngine(checked=not waits)
                clock = ManualClock(1000)
                sender, _ = make_sender(log, engine, clock, 2)
                steps = (LEASE_MS + ORDER_TIMEOUT) // 200
                advance(sender, clock, steps)
                self.assertEqual(not engine.accepted, waits)
                advance(sender, clock, 5)
                self.assertEqual(engine.accepted, [(2, 'prefill')])

    def test_order_of_resumed_leader_has_no_lasting_effect(self):
        """Suspended before the check: not sent. After it: corrected."""
        for suspend_point, checked, expected in (
            ('before_check', False, 0),
            ('before_check', True, 0),
            ('after_check', False, 1),
            ('after_check', True, 0),
        ):
            with self.subTest(suspend_point=suspend_point, checked=checked):
                stale_orders, role = suspend_old_leader(suspend_point, checked)
                self.assertEqual(stale_orders, expected)
                self.assertEqual(role, 'decode')

    def test_lost_orders_are_repeated_until_reported(self):
        log = service_log('checked')
        order(log, 'role', 'decode')
        engine = FakeEngine(checked=True)
        engine.lost_sends = 3
        clock = ManualClock(1000)
        sender, control_log = make_sender(log, engine, clock, 1)
        advance(sender, clock, 60)
        self.assertEqual(engine.reported.role, 'decode')
        self.assertEqual(sender.statuses()[0].state, 'shown')
        # An engine that lost its state in a restart is reconciled too.
        engine.reported = ReportedState(0, (), 'both', '')
        advance(sender, clock, 600)
        self.assertEqual(engine.reported.role, 'decode')
        control_log.is_leader = False
        order(log, 'role', 'prefill')
        advance(sender, clock, 50)
        self.assertEqual(engine.reported.role, 'decode')


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
                # An older order is repeated with the newest fencing number.
                standin.state.order['role'] = 'both'
                advance(sender, clock, 30)
                self.assertEqual(standin.state.order['role'], 'decode')
                with contextlib.suppress(OrderRefusedError):
                    sender.reconcile(stale, 1, checks_fencing=True)
                # Only an engine that ignores fencing accepts the old order.
                accepted = 'adapter-7' in standin.state.order['models']
                self.assertEqual(accepted, fencing == 'ignored')

    def test_error_names_the_unreachable_upstream(self):
        with self.assertRaises(UnavailableError) as caught:
            HttpOrderTransport().read('127.0.0.1:1', 500)
        self.assertIn('127.0.0.1:1', str(caught.exception))
