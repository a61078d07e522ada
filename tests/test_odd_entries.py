"""Odd entries of other writers among those of the workers."""

import json
import unittest

from tests.gateway_harness import GatewayHarness, worker
from tests.test_directory_cluster import heartbeat
from tests.test_gateway_relay import GatewayTest, stream_events
from verbenathread.directory.machine import (
    DirectoryMachine,
    decode_workers,
    encode_worker,
)
from verbenathread.platform.bodies import InvalidBodyError
from verbenathread.platform.headers import PlatformDialect
from verbenathread.platform.heartbeats import decode_heartbeat
from verbenathread.schema import directory_pb2 as messages
from verbenathread.types import Address

DEPTH = 100_000
HUGE = 10**40
SOUND = encode_worker(worker('w1', 'desk', Address('10.0.0.1', 80)))


def without(name):
    """Return a heartbeat that lacks a field."""
    fields = json.loads(heartbeat())
    fields.pop(name)
    return json.dumps(fields).encode()


def entry(**changes):
    """Return an entry of the log with other fields."""
    odd = messages.WorkerEntry()
    odd.CopyFrom(SOUND)
    odd.worker_id = 'odd'
    for name, text in changes.items():
        setattr(odd, name, text)
    return odd


# Entries that a build could have written, and that name no usable worker.
ODD_ENTRIES = (
    entry(port=70_000),
    entry(host='no address'),
    entry(host=''),
    entry(state=9),
    entry(state=0),
)


class HeartbeatTest(unittest.TestCase):
    # An odd heartbeat must be refused before it reaches the log.
    def test_refused(self):
        deep = b'[' * DEPTH + b']' * DEPTH
        cases = (
            b'{"models":%b}' % deep,
            heartbeat()[:-1] + b',"models":%b}' % (b'[' * 9000 + b']' * 9000),
            heartbeat(models='x' * 100_000),
            heartbeat(sequence=HUGE),
            heartbeat(sequence=-1),
            heartbeat(sequence=True),
            heartbeat(born=HUGE),
            heartbeat(born=-1),
            heartbeat(slots=HUGE),
            heartbeat(slots=0),
            heartbeat(slots=1e9),
            heartbeat().replace(b'ms": 0', b'ms": "soon"'),
            heartbeat(version=1),
            heartbeat(address='10.0.0.9:0'),
            heartbeat(address='10.0.0.9:65536'),
            heartbeat(address='10.0.0.9:-1'),
            heartbeat(address=['10.0.0.9', 80]),
            heartbeat(zone='\ud800'),
            heartbeat(zone='z' * 300),
            heartbeat(service=''),
            heartbeat().replace(b'5000', b'9' * 5000),
            heartbeat().replace(b'5000', b'1e999'),
            heartbeat().replace(b'5000', b'NaN'),
            without('version'),
            without('cold-remaining-ms'),
            without('zone'),
            without('slots'),
            without('sequence'),
        )
        for content in cases:
            with self.subTest(content=content[:80]):
                with self.assertRaises(InvalidBodyError):
                    decode_heartbeat('w1', content, leaving=False)
        for worker_id in ('', 'w' * 300):
            with self.subTest(worker_id=worker_id):
                with self.assertRaises(InvalidBodyError):
                    decode_heartbeat(worker_id, heartbeat(), leaving=False)

    def test_accepted(self):
        for content in (heartbeat(), heartbeat(more=[[[]]])):
            known = decode_heartbeat('w1', content, leaving=False)
            self.assertEqual(known.address, Address('10.0.0.9', 80))
        gone = decode_heartbeat('w1', b'', leaving=True)
        DirectoryMachine().apply(1, put(encode_worker(gone)))


def put(odd):
    """Return the command that puts an entry on the log."""
    return messages.DirectoryCommand(put_worker=odd).SerializeToString()


class ListTest(unittest.TestCase):
    # One entry that can't be read ended whoever read the list.
    def test_other_entries_hold(self):
        for odd in ODD_ENTRIES:
            with self.subTest(odd=odd):
                known = tuple(decode_workers((odd, SOUND)))
                self.assertEqual([one.worker_id for one in known], ['w1'])
                machine = DirectoryMachine()
                machine.apply(1, put(odd))
                machine.apply(2, put(SOUND))
                self.assertEqual(list(machine.registry.worker_by_id), ['w1'])
                image = messages.DirectoryImage(workers=[odd, SOUND])
                restored = DirectoryMachine()
                restored.restore(image.SerializeToString())
                self.assertEqual(list(restored.registry.worker_by_id), ['w1'])


class ReportTest(unittest.TestCase):
    # A pace that no notice can carry ended the probes of all engines.
    def test_pace(self):
        cases = (
            (b'{"pace":1.5}', 1.5),
            (b'{}', 1),
            (b'{"pace":NaN}', None),
            (b'{"pace":Infinity}', None),
            (b'{"pace":1e300}', None),
            (b'{"pace":-1}', None),
            (b'{"pace":0}', None),
            (b'{"pace":[]}', None),
            (b'{"pace":%b}' % (b'9' * 5000), None),
            (b'[' * DEPTH, None),
        )
        for content, pace in cases:
            with self.subTest(content=content[:40]):
                report = PlatformDialect().parse_load_report(content)
                self.assertEqual(None if report is None else report.pace, pace)


class NoticeTest(unittest.IsolatedAsyncioTestCase):
    # After a notice that could not be applied, none was read any more.
    async def test_notices_after_an_odd_one_are_read(self):
        harness = GatewayHarness()
        applied = []

        def apply(notice):
            applied.append(notice)
            if len(applied) == 1:
                raise OverflowError

        context = harness.context
        context.notices._handler.apply = apply
        for _ in range(2):
            content = messages.Notice(send=messages.SendNotice())
            context.notices.apply(content.SerializeToString(), 'g2')
        self.assertEqual(len(applied), 2)


class CallerNumbersTest(GatewayTest):
    # Numbers that no notice can carry were an error of the gateway.
    async def test_numbers_out_of_range(self):
        await self.serve('desk', stream_events)
        for name, number in (
            ('Length-Hint', -1_000_000),
            ('Length-Hint', HUGE),
            ('Last-Event-Id', HUGE),
            ('Deadline-Ms', -5),
        ):
            with self.subTest(name=name, number=number):
                # Repeated headers are joined, so the request has none of these.
                response = await self.harness.send(
                    '/note/1', headers=f'{name}: {number}\r\n'
                )
                self.assertEqual(response.status, 400)
        self.assertEqual(self.run_count(), 0)
