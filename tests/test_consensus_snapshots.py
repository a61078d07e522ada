"""Tests of snapshots: catching up, restarts and stale snapshots."""

import asyncio
import zlib

from tests.test_consensus_replica import GroupCase
from verbenathread.schema.consensus_pb2 import (
    Envelope,
    InstallRequest,
    LogSnapshot,
)


class SnapshotTest(GroupCase):
    def test_member_far_behind_catches_up(self):
        wanted = ['first', *(f'a{number}' for number in range(500)), 'last']

        async def scenario(group):
            leader = await group.leader()
            behind = next(one for one in group.replicas if one != leader)
            await group.stop(behind)
            await group.propose_all(wanted[1:-1])
            log = group.replicas[leader]._state.log
            missing = log.base_index
            await group.start(behind)
            last = await group.propose_all(['last'])
            await group.wait_applied(last)
            await group.crash(behind)
            await group.start(behind)
            await group.wait_applied(last)
            log = group.replicas[behind]._state.log
            kept = log.last_index - log.base_index
            return missing, kept, group.texts(behind)

        missing, kept, texts = self.run_scenario(
            scenario, snapshot_records=50, chunk_bytes=1000
        )
        # The leader had already compacted the entries that the member lacked.
        self.assertGreater(missing, 300)
        self.assertLess(kept, 150)
        self.assertEqual(texts, wanted)

    def test_old_snapshot_does_not_overwrite_newer_state(self):
        async def scenario(group):
            leader = await group.leader()
            replica = next(
                one for node, one in group.replicas.items() if node != leader
            )
            await group.wait_applied(await group.propose_all('bcdefghi'))
            old = LogSnapshot(
                index=1, term=1, members=replica._state.log.members()
            )
            old.image = b'[]'
            image = old.SerializeToString()
            reply = await replica.install(
                InstallRequest(
                    head=Envelope(sender=leader, term=replica.status().term),
                    index=old.index,
                    term=old.term,
                    chunk=image,
                    total=len(image),
                    checksum=zlib.crc32(image),
                )
            )
            await group.wait_applied(await group.propose_all(['third']))
            await asyncio.sleep(1)
            node_id = replica._state.node_id
            return reply.installed, group.texts(node_id)

        installed, texts = self.run_scenario(scenario, snapshot_records=2)
        self.assertTrue(installed)
        self.assertEqual(texts, ['first', *'bcdefghi', 'third'])
