"""Tests of the data folder: torn and damaged files, failed syncs."""

import asyncio
import os
import tempfile
import unittest
from functools import partial
from pathlib import Path
from unittest.mock import patch

from tests.consensus_network import run_in_order
from tests.test_consensus_replica import GroupCase
from verbenathread.consensus.disk import FileStorage
from verbenathread.consensus.files import DiskFiles
from verbenathread.consensus.storage import Ballot
from verbenathread.exceptions import StorageError, UnknownOutcomeError
from verbenathread.schema.consensus_pb2 import LogEntry, LogSnapshot

ENTRIES = 6


def entry(index, term=1):
    return LogEntry(index=index, term=term, command=b'c' * 50)


class SyncTest(unittest.TestCase):
    """Each sync calls fsync after the bytes are written."""

    def test_sync_calls_fsync_on_the_file_or_folder(self):
        async def scenario(folder):
            files = DiskFiles(folder)
            files.lock()
            files.append('segment', b'record')
            with patch('os.fsync', side_effect=record_sync):
                await files.sync('segment')
                await files.sync_folder()
            files.close()

        seen = []

        def record_sync(descriptor):
            found = os.fstat(descriptor)
            seen.append((found.st_ino, found.st_size))

        with tempfile.TemporaryDirectory() as holder:
            folder = Path(holder) / 'data'
            folder.mkdir()
            asyncio.run(scenario(folder))
            segment = (folder / 'segment').stat().st_ino
            self.assertEqual(seen[0], (segment, len(b'record')))
            self.assertEqual(seen[1][0], folder.stat().st_ino)
            self.assertEqual(len(seen), 2)

    def test_append_and_ballot_are_synced_before_return(self):
        synced = []

        async def scenario(folder):
            storage = FileStorage(folder)
            await storage.load('c', 'n1')
            with patch('os.fsync', side_effect=synced.append):
                await storage.append([entry(1)])
                self.assertEqual(len(synced), 1)
                await storage.save_ballot(Ballot(2, 'n1'))
                self.assertEqual(len(synced), 2)
            storage.close()

        with tempfile.TemporaryDirectory() as holder:
            asyncio.run(scenario(Path(holder) / 'data'))


class FolderCase(unittest.TestCase):
    def setUp(self):
        holder = tempfile.TemporaryDirectory()
        self.addCleanup(holder.cleanup)
        self.folder = Path(holder.name) / 'data'

    def fill(self):
        """Write six entries, and a snapshot of the first two."""

        async def write(storage):
            def append(index):
                return storage.append([entry(index)])

            await run_in_order(append, (1, 2))
            await storage.compact(LogSnapshot(index=2, term=1), 2)
            await run_in_order(append, range(3, ENTRIES + 1))
            await storage.save_ballot(Ballot(7, 'n2'))

        self.use(write)

    def use(self, work, cluster='c', node_id='n1'):
        storage = FileStorage(self.folder)

        async def whole():
            saved = await storage.load(cluster, node_id)
            await work(storage)
            return saved

        try:
            return asyncio.run(whole())
        finally:
            storage.close()

    def load(self, **names):
        async def nothing(_):
            """Do nothing after loading."""

        return self.use(nothing, **names)

    def last_segment(self):
        return sorted(self.folder.glob('segment-*'))[-1]

    def change(self, path, change):
        path.write_bytes(change(bytearray(path.read_bytes())))


def flip(offset):
    def change(content):
        content[offset] ^= 0x10
        return bytes(content)

    return change


class DamageTest(FolderCase):
    def test_synced_state_is_loaded_again(self):
        self.fill()
        for _ in range(2):
            saved = self.load()
            indexes = [one.index for one in saved.entries]
            self.assertEqual((saved.base_index, indexes), (2, [3, 4, 5, 6]))
            self.assertEqual(saved.ballot, Ballot(7, 'n2'))
            self.assertEqual(saved.snapshot.index, 2)

    def test_torn_last_append_is_truncated(self):
        # A partial record, garbage and zeros, as a power loss leaves them.
        tails = (
            lambda content: bytes(content + content[:40]),
            lambda content: bytes(content + b'\xff' * 99),
            lambda content: bytes(content + b'\x00' * 5000),
        )
        self.fill()
        for number, tail in enumerate(tails):
            with self.subTest(tail=number):
                self.change(self.last_segment(), tail)
                saved = self.load()
                self.assertEqual(saved.entries[-1].index, ENTRIES)
        whole = self.last_segment().stat().st_size

        async def append(storage):
            await storage.append([entry(ENTRIES + 1)])

        self.use(append)
        self.assertGreater(self.last_segment().stat().st_size, whole)
        self.assertEqual(self.load().entries[-1].index, ENTRIES + 1)

    def test_damaged_synced_records_prevent_the_start(self):
        table = (
            ('middle record', 'segment-', flip(200), 'valid record follows'),
            ('first record', 'segment-', flip(20), 'valid record follows'),
            ('last record', 'segment-', flip(-3), 'bytes were synced'),
            ('cut short', 'segment-', lambda old: old[:-9], 'were synced'),
            ('snapshot', 'snapshot-', flip(-3), 'offset 0'),
            ('identity', 'identity', flip(-3), 'offset 0'),
        )
        for name, prefix, change, words in table:
            with self.subTest(name):
                self.setUp()
                self.fill()
                path = sorted(self.folder.glob(f'{prefix}*'))[-1]
                self.change(path, change)
                self.assert_refused(f'{path}.*{words}.*replace the member')

    def test_damage_is_detected_without_the_mark(self):
        self.fill()
        (self.folder / 'mark').unlink()
        self.change(self.last_segment(), flip(200))
        self.assert_refused('valid record follows')

    def test_missing_files_prevent_the_start(self):
        for name, words in (
            ('segment-*', 'missing'),
            ('identity', 'missing'),
            ('snapshot-*', 'missing'),
        ):
            with self.subTest(name):
                self.setUp()
                self.fill()
                for path in self.folder.glob(name):
                    path.unlink()
                self.assert_refused(words)

    def test_one_missing_segment_prevents_the_start(self):
        async def rotate(storage):
            await storage.compact(LogSnapshot(index=3, term=1), 1)

        for position in (0, -1):
            with self.subTest(position=position):
                self.setUp()
                self.fill()
                self.use(rotate)
                segments = sorted(self.folder.glob('segment-*'))
                self.assertEqual(len(segments), 2)
                segments[position].unlink()
                self.assert_refused('missing')

    def test_folder_of_another_cluster_or_node(self):
        self.fill()
        self.assert_refused('belongs to cluster c', cluster='other')
        self.assert_refused('belongs to node n1', node_id='n2')

    def test_two_processes_on_one_folder(self):
        async def load_again(_):
            second = FileStorage(self.folder)
            with self.assertRaisesRegex(StorageError, 'in use'):
                await second.load('c', 'n1')

        self.use(load_again)

    def assert_refused(self, words, **names):
        with self.assertRaisesRegex(StorageError, f'(?s){words}'):
            self.load(**names)


class FailedSyncTest(GroupCase):
    # tests.test_consensus_full_disk has the full disk, which stops no replica.
    def test_replica_stops_after_a_failed_sync(self):
        table = (
            ('leader', 'failing', 'Input/output.*replace'),
            ('follower', 'failing', 'Input/output.*replace'),
        )
        for victim, fault, words in table:
            with self.subTest(victim=victim, fault=fault):
                outcome, failure, syncs, texts = self.run_scenario(
                    partial(self.fail_disk, victim, fault)
                )
                unknown = UnknownOutcomeError if victim == 'leader' else None
                self.assertIs(outcome, unknown)
                self.assertRegex(failure, f'segment-.*{words}')
                self.assertEqual(syncs[0], syncs[1])
                self.assertEqual(texts[-1], 'after')

    async def fail_disk(self, victim, fault, group):
        leader = await group.leader()
        followers = [one for one in group.replicas if one != leader]
        broken = leader if victim == 'leader' else followers[0]
        setattr(group.files_by_id[broken], fault, True)
        status = group.replicas[broken].status
        outcome = await self.outcome(group.propose('during'))
        await asyncio.sleep(1)
        syncs = [status().sync_count]
        rest = [one for one in group.replicas if one != broken]
        leader = await group.leader(among=rest)
        await group.replicas[leader].propose(b'after', 20_000)
        await asyncio.sleep(5)
        syncs.append(status().sync_count)
        return outcome, status().failure, syncs, group.texts(leader)
