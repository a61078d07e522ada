"""Tests of gateway and directory processes and their signal handling."""

import asyncio
import functools
import json
import signal
import tempfile
import unittest
from pathlib import Path

from tests.gateway_harness import Response, read_response
from tests.standins.platform_worker import (
    LAST_CHUNK,
    PlatformWorker,
    chunk,
    event,
    stream_head,
)
from tests.test_directory_cluster import body, heartbeat
from tools.local_cluster import LOOPBACK_NET
from tools.processes import Processes
from verbenathread.rpc_channel import PeerChannel
from verbenathread.schema import directory_pb2 as messages
from verbenathread.schema.directory_grpc import DirectoryStub

DIRECTORY_IP = f'{LOOPBACK_NET}.240'
GATEWAY_IP = f'{LOOPBACK_NET}.241'
NODE = """
[node]
id = {name}
data_centre = a
cluster = test
node_key = secret
"""
DIRECTORY = f"""
[directory]
listen = {DIRECTORY_IP}:18060
peer_listen = {DIRECTORY_IP}:18061
metrics_listen = {DIRECTORY_IP}:18063
seeds = {DIRECTORY_IP}:18060
directory_port = 18061
data_folder = log
bootstrap = yes
losses = 0
"""
GATEWAY = f"""
[gateway]
listen = {GATEWAY_IP}:18070
ready_listen = {GATEWAY_IP}:18071
peer_listen = {GATEWAY_IP}:18072
seeds = {DIRECTORY_IP}:18060
directory_port = 18061
stop_limit = 6000
"""


async def ignores_sighup(started):
    status = Path(f'/proc/{started.process.pid}/status').read_text()
    mask = status.partition('SigIgn:')[2].split()[0]
    return bool(int(mask, 16) & 1 << signal.SIGHUP - 1)


async def slow_stream(request, writer):
    """Write six events, one every 0.2 s."""
    writer.write(stream_head(request))
    for number in range(1, 7):
        writer.write(chunk(event(number)))
        await writer.drain()
        await asyncio.sleep(0.2)
    writer.write(LAST_CHUNK)


async def call(host, port, method, path, content=b'', headers=''):
    """Call a node; return status 0 if it does not listen."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return Response(0, {}, b'', complete=False)
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: desk.example\r\n{headers}'
        f'Content-Length: {len(content)}\r\n\r\n'
    )
    writer.write(head.encode() + content)
    try:
        return await read_response(reader)
    finally:
        writer.close()


class ProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.holder = tempfile.TemporaryDirectory()
        self.folder = Path(self.holder.name)
        self.processes = Processes(self.folder)
        self.worker = PlatformWorker('i-1', slow_stream)
        self.address = await self.worker.start()
        self.write('directory', DIRECTORY)
        self.write('gateway', GATEWAY)
        self.start('directory')
        self.gateway = self.start('gateway')
        await self.until(self.accepts_config(body(1)))
        await self.until(self.registers_worker)
        await self.until(self.serves)

    async def asyncTearDown(self):
        for started in self.processes.by_name.values():
            started.send_signal(signal.SIGKILL)
            started.wait(5)
        await self.worker.stop()
        self.holder.cleanup()

    def write(self, name, text):
        path = self.folder / f'{name}.ini'
        path.write_text(NODE.format(name=name) + text)

    def start(self, name):
        command = ('verbenathread', name, '--settings', f'{name}.ini')
        return self.processes.start(name, *command)

    async def until(self, condition, limit=10):
        for _ in range(int(limit / 0.1)):
            if await condition():
                return
            await asyncio.sleep(0.1)
        self.fail(f'the condition was not met: {condition}')

    def accepts_config(self, content):
        async def put():
            response = await call(
                DIRECTORY_IP, 18060, 'POST', '/Config.Put', content
            )
            return response.status == 200

        return put

    async def registers_worker(self):
        response = await call(
            DIRECTORY_IP,
            18060,
            'POST',
            '/Instances.Heartbeat/i-1',
            heartbeat(address=str(self.address)),
        )
        return response.status == 200

    async def serves(self):
        return (await self.send_request('probe')).status == 200

    async def send_request(self, attempt_id, headers=''):
        return await call(
            GATEWAY_IP,
            18070,
            'POST',
            '/note/1',
            headers=f'Attempt-Id: {attempt_id}\r\nDeadline-Ms: 8000\r\n{headers}',
        )

    async def readiness(self):
        return (await call(GATEWAY_IP, 18071, 'GET', '/readyz')).status

    def lines(self, name):
        """Return the decoded JSON log lines of a process."""
        log = (self.folder / f'{name}.log').read_text()
        return [json.loads(line) for line in log.splitlines()]

    def logged(self, name, text):
        async def found():
            return any(text in line['event'] for line in self.lines(name))

        return found

    async def test_a_graceful_stop_completes_streams(self):
        stream = asyncio.create_task(self.send_request('s1'))
        await asyncio.sleep(0.3)
        self.gateway.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        self.assertEqual(await self.readiness(), 503)
        # The load balancer still sends requests to this gateway.
        response = await self.send_request('s2')
        self.assertEqual(response.status, 200)
        self.assertEqual(response.header_by_name['connection'], 'close')
        self.assertTrue((await stream).complete)
        code = await asyncio.to_thread(self.gateway.wait, 8)
        self.assertEqual(code, 0)
        self.assertEqual(self.lines('gateway')[-1]['cut'], 0)

    async def test_a_late_request_is_refused_rather_than_cut(self):
        async def long_stream(request, writer):
            writer.write(stream_head(request))
            for number in range(1, 16):
                writer.write(chunk(event(number)))
                await writer.drain()
                await asyncio.sleep(0.2)
            writer.write(LAST_CHUNK)

        self.worker.script = long_stream
        reader, writer = await asyncio.open_connection(GATEWAY_IP, 18070)
        head = 'POST /note/1 HTTP/1.1\r\nHost: desk.example\r\n'
        limits = 'Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n'
        writer.write(f'{head}Attempt-Id: s1\r\n{limits}'.encode())
        await asyncio.sleep(0.2)
        self.gateway.send_signal(signal.SIGTERM)
        first = await read_response(reader)
        self.assertTrue(first.complete)
        # The first head was sent before the signal, so the caller goes on.
        self.assertNotIn('connection', first.header_by_name)
        writer.write(f'{head}Attempt-Id: s2\r\n{limits}'.encode())
        second = await read_response(reader)
        writer.close()
        self.assertEqual(second.status, 503)
        self.assertEqual(second.header_by_name['connection'], 'close')
        self.assertGreater(float(second.header_by_name['retry-after']), 0)
        ran = {received.attempt_id for received in self.worker.requests}
        self.assertNotIn('s2', ran)

    # What still ran at the end of a planned stop was cut without an answer.
    async def test_a_stop_answers_what_does_not_end_in_time(self):
        async def stay_silent(request, writer):
            await asyncio.sleep(20)

        hold = {
            'name': 'r2',
            'host': 'desk.example',
            'path-prefix': '/hold/',
            'kind': 'non_idempotent',
            'timeout-ms': 9000,
            'service': 'desk',
        }
        await self.until(self.accepts_config(body(2, routes=[hold])))
        await self.until(self.serves_bookings)
        self.worker.script = stay_silent
        self.gateway.send_signal(signal.SIGTERM)
        await asyncio.sleep(1)
        # The load balancer still sends requests to this gateway.
        response = await self.send_hold()
        self.assertTrue(response.complete)
        # The worker has the booking, so nothing says that it did not run.
        self.assertEqual(response.status, 502)
        code = await asyncio.to_thread(self.gateway.wait, 8)
        self.assertEqual(code, 0)

    async def serves_bookings(self):
        return (await self.send_hold()).status == 200

    async def send_hold(self):
        headers = 'Attempt-Id: h1\r\nDeadline-Ms: 8500\r\n'
        return await call(GATEWAY_IP, 18070, 'POST', '/hold/1', headers=headers)

    async def test_the_gateway_serves_without_the_directory(self):
        directory = self.processes.by_name['directory']
        directory.send_signal(signal.SIGKILL)
        directory.wait(5)
        await self.until(
            self.logged('gateway', 'Lost the connection to the directory')
        )
        self.assertEqual((await self.send_request('a1')).status, 200)
        self.start('directory')
        await self.until(self.accepts_config(body(7)))

        async def in_force():
            versions = [line.get('version') for line in self.lines('gateway')]
            return 7 in versions

        await self.until(in_force)
        await self.until(self.shows_a_leader)

    async def shows_a_leader(self):
        metrics = await call(DIRECTORY_IP, 18063, 'GET', '/metrics')
        return b'verbenathread_directory_leads 1.0' in metrics.body

    async def test_restarts_keep_crashing_parts_from_workers(self):
        channel = PeerChannel(DIRECTORY_IP, 18061)
        group = messages.PartGroup(parts=['bad0'])
        reply = await DirectoryStub(channel).Quarantine(group)
        channel.close()
        self.assertTrue(reply.done)
        await self.until(self.logged('gateway', 'parts that crash workers'))
        for name in ('directory', 'gateway'):
            started = self.processes.by_name[name]
            started.send_signal(signal.SIGKILL)
            started.wait(5)
            self.start(name)
        await self.until(self.serves)
        arrived = len(self.worker.requests)
        response = await self.send_request(
            'p1', 'Token-Usage: 100,50\r\nPrompt-Prefix: bad0:9,c1:9\r\n'
        )
        self.assertEqual(response.status, 503)
        self.assertEqual(len(self.worker.requests), arrived)

    # After the last client account was taken away, any key was good.
    async def test_restarts_keep_an_empty_list_of_accounts(self):
        await self.until(self.accepts_config(body(5, tenants=[])))
        await self.until(self.refuses_all)
        for name in ('directory', 'gateway'):
            started = self.processes.by_name[name]
            started.send_signal(signal.SIGKILL)
            started.wait(5)
            self.start(name)
        await self.until(self.refuses_all)
        self.assertEqual(await self.readiness(), 200)

    async def refuses_all(self):
        statuses = set()
        for headers in ('', 'Authorization: Bearer any\r\n'):
            response = await self.send_request('k1', headers)
            statuses.add(response.status)
        return statuses == {401}

    async def test_a_reload_signal_during_startup_is_ignored(self):
        for name in ('gateway', 'directory'):
            with self.subTest(name):
                started = self.processes.by_name[name]
                started.send_signal(signal.SIGKILL)
                started.wait(5)
                started = self.start(name)
                ignored = functools.partial(ignores_sighup, started)
                await self.until(ignored, 1)
                started.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.5)
                self.assertIsNone(started.wait(0))
        await self.until(self.serves)

    async def test_changed_seeds_are_reloaded(self):
        changed = GATEWAY.replace(
            f'seeds = {DIRECTORY_IP}', f'seeds = {LOOPBACK_NET}.242'
        )
        self.write('gateway', changed)
        self.gateway.send_signal(signal.SIGHUP)
        await self.until(self.logged('gateway', 'The seeds changed'))
        self.write('gateway', 'no settings')
        self.gateway.send_signal(signal.SIGHUP)
        await self.until(self.logged('gateway', 'Ignoring invalid settings'))
        self.assertEqual((await self.send_request('a1')).status, 200)
