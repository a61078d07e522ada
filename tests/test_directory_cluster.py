"""Tests of a directory cluster on loopback, one address per process."""

import asyncio
import contextlib
import json
import shutil
import tempfile
import unittest
from pathlib import Path
from random import Random
from unittest.mock import patch

from h2.exceptions import StreamClosedError

from tests.gateway_harness import Response, read_response
from tools.local_cluster import LOOPBACK_NET
from verbenathread.clock import SystemClock
from verbenathread.directory.daemon import DirectoryDaemon
from verbenathread.directory.damage import quarantine_folder
from verbenathread.directory.seeds import SeedFile
from verbenathread.directory.service import LEADER_TIMEOUT
from verbenathread.exceptions import StorageError
from verbenathread.gateway.quarantine import Quarantine
from verbenathread.gateway.view import ClusterView
from verbenathread.gateway.watch import FIRST_UPDATE_TIMEOUT, DirectoryWatch
from verbenathread.platform.bodies import decode_config
from verbenathread.platform.directory_handler import DirectoryHandler
from verbenathread.rpc_channel import PeerChannel
from verbenathread.schema.directory_grpc import DirectoryStub
from verbenathread.schema.directory_pb2 import WatchRequest
from verbenathread.settings.node import load_node_settings
from verbenathread.types import Address, Peer

HTTP_PORT = 18_460
PEER_PORT = 18_461
SETTINGS = """
[node]
id = d{number}
data_centre = a
cluster = test
node_key = secret
[directory]
listen = {host}:{http}
peer_listen = {host}:{peer}
seeds = {seeds}
directory_port = {peer}
data_folder = {folder}
bootstrap = {bootstrap}
worker_heartbeat = 300
"""
GATEWAY = """
[node]
id = g1
data_centre = a
cluster = test
node_key = secret
[gateway]
seeds = {seeds}
directory_port = {peer}
"""


def body(version, **changes):
    """Return the JSON body of a configuration."""
    route = {
        'name': 'r1',
        'host': 'desk.example',
        'path-prefix': '/note/',
        'kind': 'streaming',
        'timeout-ms': 9000,
        'target-latency-ms': 300,
        'service': 'desk',
        'attempts': 2,
    }
    service = {'name': 'desk', 'health-path': '/healthz', 'max-connections': 9}
    config = {'version': version, 'routes': [route], 'services': [service]}
    return json.dumps(config | changes).encode()


def heartbeat(state='ready', sequence=1, **changes):
    """Return the JSON body of a worker's heartbeat."""
    fields = {
        'service': 'desk',
        'address': '10.0.0.9:80',
        'zone': 'a',
        'slots': 8,
        'version': 'v1',
        'cold-remaining-ms': 0,
        'state': state,
        'sequence': sequence,
        'born': 5000,
    }
    return json.dumps(fields | changes).encode()


class ClusterTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = Path(tempfile.mkdtemp())
        self.daemon_by_number = {}
        self.watching = None

    async def asyncTearDown(self):
        if self.watching is not None:
            self.watching.cancel()
        for daemon in self.daemon_by_number.values():
            await daemon.stop(transfer_leadership=False)
        shutil.rmtree(self.folder)

    def host(self, number):
        return f'{LOOPBACK_NET}.{number}'

    def seeds(self, numbers):
        return ','.join(
            f'{self.host(number)}:{HTTP_PORT}' for number in numbers
        )

    async def start(self, number, *, bootstrap=False, seeds=(1, 2, 3)):
        path = self.folder / f'd{number}.ini'
        path.write_text(
            SETTINGS.format(
                number=number,
                host=self.host(number),
                http=HTTP_PORT,
                peer=PEER_PORT,
                seeds=self.seeds(seeds),
                folder=self.folder / f'log{number}',
                bootstrap='yes' if bootstrap else 'no',
            )
        )
        settings = load_node_settings(str(path))
        daemon = DirectoryDaemon(settings, str(path), DirectoryHandler)
        await daemon.start()
        self.daemon_by_number[number] = daemon

    async def start_all(self):
        for number in (1, 2, 3):
            await self.start(number, bootstrap=True)
        await self.put(body(1))

    async def kill(self, number, *, wipe=False):
        await self.daemon_by_number.pop(number).stop(transfer_leadership=False)
        if wipe:
            shutil.rmtree(self.folder / f'log{number}')

    async def until(self, condition, limit=12):
        for _ in range(int(limit / 0.05)):
            if condition():
                return
            await asyncio.sleep(0.05)
        self.fail('the condition was not met in time')

    def leader(self):
        for number, daemon in self.daemon_by_number.items():
            if daemon.replica.status().is_leader:
                return number
        return None

    def has_recovered(self):
        """Return whether the voters are exactly the running stores."""
        leader = self.leader()
        if leader is None:
            return False
        members = self.daemon_by_number[leader].replica.status().members
        stores = {member.store_id for member in members if member.voter}
        running = self.daemon_by_number.values()
        return stores == {
            process.replica.status().store_id for process in running
        }

    async def call(self, method, path, content=b'', number=None):
        """Call one process and follow redirects."""
        host = self.host(number or min(self.daemon_by_number))
        for _ in range(3):
            try:
                reader, writer = await asyncio.open_connection(host, HTTP_PORT)
            except ConnectionRefusedError:
                # A follower may redirect to a leader that has stopped.
                return Response(503, {}, b'', complete=False)
            head = (
                f'{method} {path} HTTP/1.1\r\nHost: {host}\r\n'
                f'Content-Length: {len(content)}\r\n\r\n'
            )
            writer.write(head.encode() + content)
            response = await read_response(reader)
            writer.close()
            if response.status != 307:
                return response
            location = response.header_by_name['location']
            host = location.removeprefix('http://').partition(':')[0]
        return response

    async def put(self, content, expected=200):
        """Send a configuration until the outcome is definite."""
        status = 0
        for _ in range(100):
            for number in tuple(self.daemon_by_number):
                response = await self.call(
                    'POST', '/Config.Put', content, number
                )
                status = response.status
                if status < 500 and status != 307:
                    self.assertEqual(status, expected)
                    return
            await asyncio.sleep(0.1)
        self.fail(f'no definite outcome, last status {status}')

    async def read_version(self):
        """Return the version of the configuration that the cluster serves."""
        for _ in range(100):
            response = await self.call('GET', '/Config.Get')
            if response.status == 200:
                return json.loads(response.body)['version']
            await asyncio.sleep(0.1)
        return None

    def watch(self, view, seeds):
        path = self.folder / 'g1.ini'
        path.write_text(GATEWAY.format(seeds=self.seeds(seeds), peer=PEER_PORT))
        me = Peer('g1', Address('127.0.0.1', 1))
        seed_file = SeedFile(str(path), 'gateway')
        self.watcher = DirectoryWatch(
            view,
            Quarantine(SystemClock(), Random(1)),
            seed_file,
            me,
            decode_config,
            SystemClock(),
        )
        self.watching = asyncio.create_task(self.watcher.run())

    async def test_calls_of_operators_and_workers(self):
        await self.start_all()
        # method, path, body, status
        cases = (
            ('POST', '/Config.Put', body(3), 200),
            ('POST', '/Config.Put', body(2), 200),
            ('POST', '/Config.Put', body(3, routes=[]), 200),
            ('POST', '/Config.Put', body(4)[:-9], 400),
            ('POST', '/Config.Put', b'[]', 400),
            ('POST', '/Config.Put', body(4, services=[]), 400),
            ('POST', '/Config.Put', body('4'), 400),
            ('POST', '/Instances.Heartbeat/i-1', heartbeat(), 200),
            ('POST', '/Instances.Heartbeat/i-1', heartbeat()[:-5], 400),
            ('POST', '/Instances.Heartbeat/i-2', heartbeat(born=None), 400),
            ('POST', '/Instances.Heartbeat/i-2', heartbeat(born=1.5), 400),
            ('POST', '/Instances.Heartbeat/i-2', heartbeat(state='new'), 400),
            ('POST', '/Instances.Heartbeat/i-2', heartbeat(service='x'), 400),
            ('POST', '/Instances.Heartbeat/i-2', heartbeat(address='x'), 400),
            ('POST', '/Instances.Heartbeat/i-2', heartbeat(slots=10**40), 400),
            ('POST', '/Instances.Heartbeat/i-1', heartbeat('draining', 2), 200),
            ('POST', '/Instances.Heartbeat/i-1', heartbeat(sequence=3), 200),
            ('POST', '/Instances.Deregister/i-1', b'', 200),
            ('POST', '/Instances.Deregister/i-9', b'', 200),
            ('GET', '/Nothing', b'', 404),
        )
        for method, path, content, status in cases:
            with self.subTest(path=path, content=content):
                response = await self.call(method, path, content)
                self.assertEqual(response.status, status)
        response = await self.call('GET', '/Config.Get')
        self.assertEqual(response.body, body(3))

    async def test_a_gateway_follows_the_leader(self):
        await self.start_all()
        view = ClusterView()
        self.watch(view, (2,))
        await self.until(lambda: view.config_version == 1)
        await self.call('POST', '/Instances.Heartbeat/i-1', heartbeat())
        await self.until(lambda: len(view.workers('desk')) == 1)
        await self.call(
            'POST', '/Instances.Heartbeat/i-1', heartbeat('draining', 2)
        )
        await self.until(lambda: not view.workers('desk'))
        await self.kill(self.leader())
        await self.put(body(9))
        await self.until(lambda: view.config_version == 9)
        self.assertTrue(view.is_fresh)

    async def test_an_unresponsive_process_is_skipped_quickly(self):
        await self.start_all()
        silent = await asyncio.start_server(
            lambda reader, writer: None, self.host(9), PEER_PORT
        )
        view = ClusterView()
        self.watch(view, (9, 1, 2, 3))
        started = asyncio.get_running_loop().time()
        await self.until(lambda: view.config_version == 1)
        took = asyncio.get_running_loop().time() - started
        # A change must apply within 2 s; detecting a silent process takes 1.1 s.
        self.assertLess(took, 0.9)
        silent.close()

    async def test_a_formerly_unresponsive_leader_is_followed(self):
        await self.start_all()
        leader = self.leader()
        others = [number for number in (1, 2, 3) if number != leader]
        host = self.host(leader)
        view = ClusterView()
        self.watch(view, (*others, leader))
        # The state of a gateway after a call to a busy leader timed out.
        self.watcher.mark_unresponsive(Address(host, PEER_PORT))
        await self.until(lambda: view.config_version == 1, limit=3)

    def test_a_watch_is_answered_before_gateways_give_up(self):
        self.assertLess(LEADER_TIMEOUT, FIRST_UPDATE_TIMEOUT)

    # The limits leave a busy machine the time to start two more processes.
    @patch('verbenathread.directory.service.LEADER_TIMEOUT', 20_000)
    @patch('verbenathread.directory.service._BARRIER_TIMEOUT', 20_000)
    async def test_a_watch_waits_for_an_election(self):
        await self.start(1, bootstrap=True)
        pending_update = asyncio.create_task(self.first_update(1))
        await asyncio.sleep(0.1)
        self.assertFalse(pending_update.done())
        for number in (2, 3):
            await self.start(number, bootstrap=True)
        update = await pending_update
        # The first update comes from the leader or names it.
        self.assertTrue(update.leads or update.HasField('leader'))

    async def first_update(self, number):
        channel = PeerChannel(self.host(number), PEER_PORT)
        async with DirectoryStub(channel).Watch.open() as stream:
            await stream.send_message(WatchRequest(), end=True)
            update = await stream.recv_message()
            # A server that is not the leader ends the stream itself.
            with contextlib.suppress(StreamClosedError):
                await stream.cancel()
        channel.close()
        return update

    async def test_acknowledged_changes_survive_a_lost_disk(self):
        await self.start_all()
        await self.put(body(5))
        victim = self.leader()
        await self.kill(victim, wipe=True)
        await self.start(victim)
        self.assertEqual(await self.read_version(), 5)
        await self.until(self.has_recovered)
        # The recovered group tolerates another loss.
        await self.put(body(6))
        second = next(number for number in (1, 2, 3) if number != victim)
        await self.kill(second, wipe=True)
        self.assertEqual(await self.read_version(), 6)

    async def test_a_new_vm_replaces_a_lost_one(self):
        await self.start_all()
        await self.kill(1, wipe=True)
        await self.start(4, seeds=(1, 2))
        await self.until(self.has_recovered, limit=20)
        await self.put(body(8))
        await self.kill(2)
        self.assertEqual(await self.read_version(), 8)

    async def test_a_damaged_folder_is_quarantined(self):
        await self.start_all()
        await self.put(body(5))
        await self.put(body(6))
        await self.kill(1)
        folder = self.folder / 'log1'
        segment = min(folder.glob('segment-*'))
        content = bytearray(segment.read_bytes())
        content[len(content) // 3] ^= 0xFF
        segment.write_bytes(content)
        with self.assertRaises(StorageError) as caught:
            await self.start(1)
        quarantine_folder(str(folder), caught.exception)
        await self.start(1)
        await self.until(self.has_recovered)
        kept = self.folder / 'log1-damaged' / segment.name
        self.assertEqual(kept.read_bytes(), content)
        self.assertEqual(await self.read_version(), 6)

    async def test_state_survives_a_restart_of_all_processes(self):
        await self.start_all()
        await self.put(body(5))
        for number in (1, 2, 3):
            await self.kill(number)
        for number in (1, 2, 3):
            await self.start(number)
        self.assertEqual(await self.read_version(), 5)
