"""Requests that one gateway hands over to another."""

import asyncio
import socket
from types import SimpleNamespace
from unittest import IsolatedAsyncioTestCase

from tests.gateway_fleet import GatewayFleet
from tests.gateway_harness import config, read_response, request, route
from tests.standins.troubled_worker import Behaviour
from tests.test_gateway_cut_off import EVENTS
from tests.worker_links import Cut
from verbenathread.gateway.attempt import Relay
from verbenathread.gateway.handover_client import Outcome
from verbenathread.gateway.handover_server import HandoverServer
from verbenathread.gateway.progress import NO_PROGRESS
from verbenathread.gateway.request_handover import RequestHandover
from verbenathread.http1.messages import ResponseHead
from verbenathread.node_auth import NodeAuth
from verbenathread.schema import settings_pb2
from verbenathread.serving.types import RequestKind

# The work of a caller who left ends within this time.
GONE_S = 0.5
# A cut is found and requests are handed over within this time.
FOUND_S = 1.0
REFUSAL_S = 1.0
HEAD = ResponseHead(200, (), {})
STREAM = route('note', RequestKind.STREAM, 'desk')
SLOW_S = 0.5


class HandoverTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = None

    async def asyncTearDown(self):
        if self.fleet is not None:
            await self.fleet.stop()

    async def start(
        self,
        gateways,
        cut=1,
        engines=3,
        behaviour=None,
        configuration=None,
    ):
        """Start a fleet whose first ``cut`` gateways can be cut off."""
        self.fleet = GatewayFleet(
            gateways, engines, behaviour or Behaviour(), plain_workers=2
        )
        await self.fleet.start(configuration)
        await self.fleet.prepare_cuts(range(cut))
        self.first = self.fleet.gateways[0]
        self.handover = self.first.context.handover
        self.reachability = self.handover.reachability

    async def find_cut(self, how=Cut.REFUSED):
        """Cut the gateways off and wait until they know."""
        await self.fleet.cut(how)
        for gateway in self.fleet.gateways:
            await gateway.context.handover.reachability.check()

    def runs(self, attempt_id):
        """Return how often a request reached a worker."""
        return sum(
            received.attempt_id == attempt_id
            for standin in self.fleet.standins
            for received in standin.requests
        )

    def channels(self):
        """Return the channels of the first gateway to others."""
        return list(self.handover._channel_by_peer.values())

    async def test_each_kind_of_request_is_served(self):
        await self.start(2)
        await self.find_cut()
        # method, path, body of the request and of the answer
        cases = (
            ('POST', '/note/1', b'', EVENTS),
            ('POST', '/hold/1', b'x' * 300_000, b'booked'),
            ('GET', '/check/1?day=2', b'', b'booked'),
        )
        for method, path, sent, expected in cases:
            with self.subTest(path):
                response = await self.first.send(
                    path, attempt_id=path, body=sent, method=method
                )
                self.assertEqual(response.status, 200)
                self.assertEqual(response.body, expected)
                self.assertEqual(response.header_by_name['attempt-id'], path)
                self.assertEqual(self.runs(path), 1)
                received = next(
                    each
                    for standin in self.fleet.standins
                    for each in standin.requests
                    if each.attempt_id == path
                )
                self.assertEqual(received.body, sent)
                self.assertIn(path, received.request_line)
                self.assertEqual(received.header_by_name['tenant'], 'night')
                left = int(received.header_by_name['deadline-ms'])
                self.assertLessEqual(left, 2500)

    async def test_own_refusals_are_passed_on(self):
        await self.start(2)
        await self.find_cut()
        # path, key, status
        cases = (('/nowhere/1', 'k-night', 404), ('/check/1', 'k-none', 401))
        for path, key, status in cases:
            with self.subTest(path):
                response = await self.first.send(path, key=key)
                self.assertEqual(response.status, status)

    async def test_a_stream_goes_on_after_the_cut(self):
        await self.start(3)
        sending = asyncio.create_task(
            self.first.send('/note/1', attempt_id='s1')
        )
        while not self.runs('s1'):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.07)
        await self.fleet.cut(Cut.REFUSED)
        response = await sending
        self.assertTrue(response.complete)
        self.assertEqual(response.body, EVENTS)
        self.assertEqual(self.runs('s1'), 2)

    async def test_a_booking_that_may_have_run_is_kept(self):
        await self.start(3)
        sending = asyncio.create_task(
            self.first.send('/hold/1', attempt_id='h1')
        )
        while not self.runs('h1'):
            await asyncio.sleep(0.001)
        await self.fleet.cut(Cut.REFUSED)
        response = await sending
        self.assertEqual(response.status, 502)
        self.assertEqual(self.runs('h1'), 1)

    async def test_the_work_ends_with_the_caller(self):
        await self.start(2, behaviour=Behaviour(event_interval_s=0.1))
        await self.find_cut()
        _, writer = await self.first.connect()
        writer.write(request('/note/1', 'g1', '', b'', 'POST', 'k-night'))
        while not self.runs('g1'):
            await asyncio.sleep(0.01)
        writer.close()
        await asyncio.sleep(GONE_S)
        service = self.fleet.gateways[1].handover_service
        self.assertEqual(service.active_count, 0)
        closed = sum(standin.closed_early for standin in self.fleet.standins)
        self.assertEqual(closed, 1)

    async def test_gateways_that_cannot_serve_are_passed_over(self):
        await self.start(6, cut=3)
        third = self.fleet.gateways[3]
        third.handover_server.refuse_new()
        older, newer = self.fleet.gateways[4:]
        for gateway in self.fleet.gateways:
            if gateway is not older:
                gateway.view.apply_config(config(2))
        await self.find_cut()
        for number in range(6):
            response = await self.first.send(
                '/check/1', method='GET', attempt_id=f'c{number}'
            )
            self.assertEqual(response.status, 200)
        self.assertEqual(older.view.config_version, 1)
        for gateway in self.fleet.gateways:
            accepted = gateway.handover_service.accepted_count
            self.assertEqual(accepted, 6 if gateway is newer else 0)

    async def test_a_gateway_that_does_not_answer_is_passed_over(self):
        await self.start(3, cut=1)
        second = self.fleet.gateways[1]
        await second.handover_server.close()
        await self.find_cut()
        for number in range(4):
            response = await self.first.send('/hold/1', attempt_id=f'h{number}')
            self.assertEqual(response.status, 200)
            self.assertEqual(self.runs(f'h{number}'), 1)

    async def test_a_frozen_gateway_costs_one_request(self):
        await self.start(3, cut=1)
        second = self.fleet.gateways[1]
        await second.handover_server.close()
        address = self.fleet.peers[1].address
        frozen = await asyncio.start_server(lambda *_: None, *address)
        await self.find_cut()
        loop = asyncio.get_running_loop()
        slow = 0
        for number in range(8):
            began = loop.time()
            response = await self.first.send(
                '/check/1', method='GET', attempt_id=f'f{number}'
            )
            slow += int(loop.time() - began > SLOW_S)
            self.assertEqual(response.status, 200)
        self.assertLessEqual(slow, 1)
        frozen.close()

    async def test_a_request_is_handed_over_once(self):
        await self.start(4, cut=4)
        await self.find_cut()
        loop = asyncio.get_running_loop()
        for path in ('/hold/1', '/check/1', '/note/1'):
            with self.subTest(path):
                began = loop.time()
                response = await self.first.send(path, attempt_id='o1')
                self.assertEqual(response.status, 503)
                self.assertIn('retry-after', response.header_by_name)
                self.assertLess(loop.time() - began, REFUSAL_S)
                self.assertEqual(self.runs('o1'), 0)

    async def test_a_gateway_that_is_lost_midway(self):
        # path, status, body, whether the request may run again
        cases = (
            ('/note/1', 200, EVENTS, True),
            ('/hold/1', 502, None, False),
        )
        for path, status, body, repeats in cases:
            with self.subTest(path):
                await self.start(3)
                await self.find_cut()
                sending = asyncio.create_task(
                    self.first.send(path, attempt_id='m1')
                )
                while not self.runs('m1'):
                    await asyncio.sleep(0.001)
                for channel in self.channels():
                    channel._protocol.connection._transport.abort()
                response = await sending
                self.assertEqual(response.status, status)
                self.assertTrue(response.complete)
                if body is not None:
                    self.assertEqual(response.body, body)
                self.assertEqual(self.runs('m1'), 2 if repeats else 1)
                await self.fleet.stop()
                self.fleet = None

    async def test_only_nodes_of_the_cluster_are_served(self):
        await self.start(2)
        second = self.fleet.gateways[1]
        await second.handover_server.close()
        other = settings_pb2.NodeSection(cluster='tests', node_key='other')
        server = HandoverServer(
            second.handover_service, NodeAuth(other), second.context.clock
        )
        await server.start(self.fleet.peers[1].address)
        await self.find_cut()
        response = await self.first.send('/check/1', attempt_id='k1')
        self.assertEqual(response.status, 503)
        self.assertEqual(self.runs('k1'), 0)
        await server.close()

    async def test_a_worker_that_refuses_is_no_cut(self):
        await self.start(2, engines=4)
        standin = self.fleet.standins[0]
        await standin.stop()
        for number in range(12):
            response = await self.first.send('/note/1', attempt_id=f'n{number}')
            self.assertEqual(response.status, 200)
        self.assertFalse(self.reachability.is_cut_off)
        service = self.fleet.gateways[1].handover_service
        self.assertEqual(service.accepted_count, 0)

    async def test_a_planned_stop_waits_for_requests_of_others(self):
        await self.start(2)
        await self.find_cut()
        sending = asyncio.create_task(
            self.first.send('/note/1', attempt_id='p1')
        )
        while not self.runs('p1'):
            await asyncio.sleep(0.01)
        second = self.fleet.gateways[1]
        second.handover_server.refuse_new()
        await second.handover_server.drain(second.context.clock.now() + 3000)
        self.assertEqual((await sending).body, EVENTS)
        self.assertEqual(second.handover_service.active_count, 0)

    async def test_a_request_counts_once_for_the_retry_budget(self):
        await self.start(2)
        await self.find_cut()
        budgets = [
            gateway.context.retry_budget for gateway in self.fleet.gateways
        ]
        now = self.first.context.clock.now()
        before = [budget.available('ledger', now) for budget in budgets]
        await self.first.send('/check/1', method='GET')
        now = self.first.context.clock.now()
        after = [budget.available('ledger', now) for budget in budgets]
        self.assertEqual(after[0], before[0])
        self.assertAlmostEqual(after[1] - before[1], 0.2)

    async def test_reserved_memory_has_ids_of_its_own(self):
        # A gateway that is cut off may release its reservations much later.
        routes = (route('file', RequestKind.STREAM, 'desk'),)
        await self.start(2, engines=9, configuration=config(routes=routes))
        await self.find_cut()
        response = await self.first.send(
            '/file/1',
            attempt_id='l1',
            headers='Token-Usage: 300000,50\r\n',
        )
        self.assertEqual((response.status, response.body), (200, EVENTS))
        ids = {
            order['id']
            for standin in self.fleet.standins
            for order in standin.orders
        }
        self.assertTrue(ids)
        for reservation_id in ids:
            self.assertIn('g1', reservation_id)

    async def test_no_library_sets_a_user_timeout(self):
        await self.start(2)
        await self.find_cut()
        await self.first.send('/check/1', method='GET')
        second = self.fleet.gateways[1]
        channel = self.channels()[0]
        transports = [channel._protocol.connection._transport]
        for idle in second.context.pool._idle_by_id.values():
            transports.extend(each._transport for each in idle)
        self.assertGreater(len(transports), 1)
        for transport in transports:
            sock = transport.get_extra_info('socket')
            timeout = sock.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
            )
            self.assertEqual(timeout, 0)


class SlowCallerTest(IsolatedAsyncioTestCase):
    async def test_a_slow_caller_gets_all_and_bounds_the_buffer(self):
        body = b'b' * 30_000_000
        behaviour = Behaviour(plain_body=body)
        fleet = GatewayFleet(2, 2, behaviour, plain_workers=2)
        routes = (
            route('check', RequestKind.IDEMPOTENT, 'ledger', time_limit=20_000),
        )
        await fleet.start(config(routes=routes))
        await fleet.prepare_cuts((0,))
        await fleet.cut(Cut.REFUSED)
        first = fleet.gateways[0]
        await first.context.handover.reachability.check()
        reader, writer = await first.connect()
        head = request('/check/1', 'b1', '', b'', 'GET', 'k-night')
        writer.write(head.replace(b'Deadline-Ms: 2500', b'Deadline-Ms: 15000'))
        await asyncio.sleep(1)
        service = fleet.gateways[1].handover_service
        self.assertEqual(service.active_count, 1)
        response = await read_response(reader)
        self.assertEqual(response.body, body)
        writer.close()
        await fleet.stop()


class HalfEventTest(IsolatedAsyncioTestCase):
    # The events of another gateway were appended to half of one that a worker
    # had left here.
    async def test_half_an_event_is_dropped(self):
        written = []
        reply = SimpleNamespace(
            begin=lambda *head: None, write=written.append, done=False
        )
        relay = Relay(
            reply, SimpleNamespace(caller_headers=lambda head: ()), None
        )
        relay.write(HEAD, relay.events.feed(b'id: 1\n\nid: 2\nda'))

        async def serve(*request):
            request[-1].on_content(b'id: 2\ndata: b\n\n')
            return Outcome.ABANDONED

        routed = SimpleNamespace(
            progress=NO_PROGRESS,
            caller=SimpleNamespace(attempt_id='a1'),
            match=SimpleNamespace(route=STREAM),
            request=None,
            deadline=0,
        )
        context = SimpleNamespace(handover=SimpleNamespace(serve=serve))
        handover = RequestHandover(context, routed, reply, relay)
        await handover.run(1, may_have_run=True)
        self.assertEqual(b''.join(written), b'id: 1\n\nid: 2\ndata: b\n\n')
