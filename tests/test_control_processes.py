"""Tests of three control processes that are killed, suspended or restarted.

The processes sync their log to real disks.
"""

import asyncio
import contextlib
import signal
import tempfile
import unittest
from pathlib import Path

from grpclib.exceptions import GRPCError, StreamTerminatedError

from tests.control_commands import ROOT_KEY, ROOT_SHA, account_text
from tests.control_processes import (
    CLUSTER,
    NODE_KEY,
    ControlGroup,
    NodeSession,
)
from tests.standins.processes import LocalStandIn
from tools.processes import running_processes
from verbenathread.admin.client import BranchConflictError
from verbenathread.rpc_channel import PeerChannel, call_within
from verbenathread.schema import control_pb2
from verbenathread.schema.control_grpc import ControlStub

NAMES = ('c0', 'c1', 'c2')
# Far longer than any run, in ms; a group that never forms fails its test.
SCENARIO_LIMIT = 120_000


async def until(condition):
    """Wait for ``condition``; the timeout is far longer than any run."""
    async with asyncio.timeout(30):
        while not condition():
            await asyncio.sleep(0.02)


async def count_nodes_at(client, revision):
    """Return how many nodes report ``revision`` to the leader."""
    reply = await client.status()
    return sum(node.revision == revision for node in reply.nodes)


async def leader_hint(group, name):
    """Return the leader according to one process."""
    address = group.address_by_name[name]
    with contextlib.closing(PeerChannel(address.host, address.port)) as channel:
        reply = await ControlStub(channel).Status(
            control_pb2.StatusRequest(
                operator_name='root', operator_key=ROOT_KEY
            ),
            timeout=10,
        )
    return reply.answer.leader


async def change_repeatedly(client, count, revision):
    """Change one branch ``count`` times; return the last revision."""
    left = count
    while left:
        left -= 1
        revision = await client.change(
            '/desk', account_text(left + 10), revision
        )
    return revision


async def call_leader(group, request, call='Claim', node_key=NODE_KEY):
    """Send a node's call to each process in turn until the leader answers."""
    request.cluster = CLUSTER
    request.node_key = node_key
    attempts = 0
    while True:
        address = group.address_by_name[NAMES[attempts % 3]]
        attempts += 1
        with contextlib.closing(
            PeerChannel(address.host, address.port)
        ) as channel:
            method = getattr(ControlStub(channel), call)
            try:
                reply = await call_within(method(request, timeout=4), 4000)
            except (OSError, StreamTerminatedError):
                # The process was killed; retry the same attempt.
                reply = control_pb2.ClaimReply()
        if reply.answer.code == control_pb2.OK:
            return reply
        await asyncio.sleep(0.05)


def service_text():
    """Return a service whose upstreams ignore fencing numbers."""
    return f'[service draft-desk]\nannounce_key_sha256 = {ROOT_SHA}\n'


def claim(attempt, *, node='e1', incarnation=1):
    return control_pb2.ClaimRequest(
        account='fbis',
        service='booking-desk',
        idempotency_key='burst-pipe',
        body_sha256='b',
        attempt_id=attempt,
        node_id=node,
        node_incarnation=incarnation,
        time_limit_ms=600_000,
    )


class ProcessesTest(unittest.TestCase):
    def run_scenario(self, scenario, **options):
        with tempfile.TemporaryDirectory() as name:
            with running_processes(Path(name)) as processes:
                group = ControlGroup(processes, **options)
                asyncio.run(
                    call_within(
                        scenario(group, processes, group.client()),
                        SCENARIO_LIMIT,
                    )
                )

    def test_change_survives_leader_loss_and_restart(self):
        async def scenario(group, processes, client):
            first = await client.change(
                '/desk', account_text(1), 0, operation_id='first'
            )
            leader = (await client.status()).leader
            processes.by_name[leader].send_signal(signal.SIGKILL)
            second = await client.change('/desk', account_text(2), first)
            # A retry at another leader gets the first reply.
            again = await client.change(
                '/desk', account_text(1), 0, operation_id='first'
            )
            self.assertEqual(again, first)
            with self.assertRaises(BranchConflictError) as caught:
                await client.change('/desk', account_text(3), first)
            self.assertEqual(caught.exception.current.text, account_text(2))
            last = await change_repeatedly(client, 500, second)
            for name in NAMES:
                processes.by_name[name].send_signal(signal.SIGKILL)
                processes.by_name[name].process.wait()
                group.start(name)
            again = await client.change(
                '/desk', account_text(1), 0, operation_id='first'
            )
            self.assertEqual(again, first)
            tree = await client.read_tree()
            self.assertEqual(tree.revision, last)
            self.assertEqual(tree.branches[0].text, account_text(10))
            client.close()

        self.run_scenario(scenario)

    def test_change_reaches_nodes_while_leader_is_killed(self):
        async def scenario(group, processes, client):
            nodes = [
                NodeSession(group, f'e{number}', *NAMES[number % 3 :], *NAMES)
                for number in range(9)
            ]
            tasks = [asyncio.create_task(node.run()) for node in nodes]
            revision = await client.change('/desk', account_text(1), 0)
            await until(lambda: all(node.revision for node in nodes))
            leader = (await client.status()).leader
            change = asyncio.create_task(
                client.change('/desk', account_text(2), revision)
            )
            processes.by_name[leader].send_signal(signal.SIGKILL)
            revision = await change
            await until(
                lambda: all(node.revision == revision for node in nodes)
            )
            async with asyncio.timeout(20):
                # Followers report to the new leader within a second.
                while await count_nodes_at(client, revision) < 9:
                    await asyncio.sleep(0.1)
            self.assertFalse(any(node.regressed for node in nodes))
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)
            client.close()

        self.run_scenario(scenario)

    def test_suspended_leader_with_operators_on_both_sides(self):
        async def scenario(group, processes, client):
            revision = await client.change('/desk', account_text(1), 0)
            leader = (await client.status()).leader
            others = [name for name in NAMES if name != leader]
            processes.by_name[leader].send_signal(signal.SIGSTOP)
            old_client = group.client(leader, limit=60_000)
            stale_change = asyncio.create_task(
                old_client.change('/desk', account_text(2), revision)
            )
            new_client = group.client(*others)
            won = await new_client.change('/desk', account_text(3), revision)
            processes.by_name[leader].send_signal(signal.SIGCONT)
            with self.assertRaises(BranchConflictError) as caught:
                await stale_change
            self.assertEqual(caught.exception.current.revision, won)
            tree = await old_client.read_tree()
            self.assertEqual(tree.branches[0].text, account_text(3))
            for each in (client, old_client, new_client):
                each.close()

        self.run_scenario(scenario)

    def test_lost_disk_then_loss_of_a_second_vm(self):
        async def scenario(group, processes, client):
            revision = await client.change('/desk', account_text(1), 0)
            last = await change_repeatedly(client, 120, revision)
            leader = (await client.status()).leader
            lost, second = (name for name in NAMES if name != leader)
            address = str(group.address_by_name[lost])
            group.lose_disk(lost)
            await client.change_member('remove', lost)
            await client.change_member('add', lost, address)
            await client.change_member('promote', lost)
            # The quorum now depends on the member that was just added.
            processes.by_name[second].send_signal(signal.SIGKILL)
            last = await client.change('/desk', account_text(2), last)
            tree = await client.read_tree()
            self.assertEqual(tree.revision, last)
            members = (await client.status()).members
            self.assertEqual(
                [each.voter for each in members], [True, True, True]
            )
            trail = await client.audit(last - 8, 20, '')
            actions = {record.action for record in trail.records}
            self.assertIn('member add', actions)
            client.close()

        self.run_scenario(scenario)

    def test_claim_survives_loss_of_leader_and_owner(self):
        async def scenario(group, processes, client):
            held = await call_leader(group, claim('a'))
            self.assertEqual(held.state, control_pb2.CLAIM_HELD)
            with self.assertRaises(GRPCError):
                await call_leader(group, claim('x'), node_key='wrong')
            leader = (await client.status()).leader
            processes.by_name[leader].send_signal(signal.SIGKILL)
            other = await call_leader(group, claim('b', node='e2'))
            self.assertEqual(other.state, control_pb2.CLAIM_IN_PROGRESS)
            restarted = await call_leader(group, claim('c', incarnation=2))
            self.assertEqual(restarted.state, control_pb2.CLAIM_OUTCOME_UNKNOWN)
            client.close()

        self.run_scenario(scenario)

    def test_resumed_leader_sends_no_orders(self):
        engine = LocalStandIn('engine', '--fencing', 'ignored')
        self.addCleanup(engine.stop)
        accepted = []
        take_order = engine.state.take_order

        def record(order):
            accepted.append(order['subject'])
            return take_order(order)

        engine.state.take_order = record

        async def scenario(group, processes, client):
            await client.change('/', service_text(), 0)
            await client.order(
                'w1',
                'role',
                'prefill',
                address=str(engine.address),
                service='draft-desk',
            )
            await until(lambda: accepted)
            leader = (await client.status()).leader
            processes.by_name[leader].send_signal(signal.SIGSTOP)
            # The engine loses its role, so that the old leader would resend.
            engine.state.order['role'] = 'both'
            new_client = group.client(
                *(name for name in NAMES if name != leader)
            )
            await new_client.order('w1', 'role', 'decode')
            await until(lambda: 'decode' in accepted)
            accepted.clear()
            engine.state.order['role'] = 'both'
            processes.by_name[leader].send_signal(signal.SIGCONT)
            await until(lambda: accepted)
            await asyncio.sleep(2)
            self.assertEqual(set(accepted), {'decode'})
            client.close()
            new_client.close()

        self.run_scenario(scenario)

    def test_planned_stop_transfers_leadership(self):
        async def scenario(group, processes, client):
            revision = await client.change('/desk', account_text(1), 0)
            leader = (await client.status()).leader
            term = (await client.status()).term
            node = NodeSession(group, 'e1', leader, *NAMES)
            session = asyncio.create_task(node.run())
            await until(lambda: node.revision)
            processes.by_name[leader].send_signal(signal.SIGTERM)
            changes = asyncio.create_task(
                change_repeatedly(client, 20, revision)
            )
            code = await asyncio.to_thread(processes.by_name[leader].wait, 20)
            self.assertEqual(code, 0)
            # Without a transfer, the others would still follow the old leader.
            other = next(name for name in NAMES if name != leader)
            self.assertNotEqual(
                await leader_hint(group, other),
                str(group.address_by_name[leader]),
            )
            last = await changes
            await until(lambda: node.revision == last)
            session.cancel()
            await asyncio.wait((session,))
            # One election: the successor did not wait for an election timeout.
            self.assertEqual((await client.status()).term, term + 1)
            client.close()

        self.run_scenario(scenario)
