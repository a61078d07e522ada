"""Tests of proposals to a partitioned group, on the virtual event loop."""

import asyncio
import unittest
from unittest.mock import patch

from tests.consensus_network import Group, run_in_order
from tests.control_commands import (
    ROOT_KEY,
    ROOT_SHA,
    account_text,
    change,
    operator_text,
)
from tests.virtual_loop import run_virtual
from verbenathread.clock import LoopClock, ManualClock
from verbenathread.control.machine import ControlMachine
from verbenathread.control.nodes import NodeTable
from verbenathread.control.operator_calls import OperatorCalls
from verbenathread.control.proposals import Proposer
from verbenathread.control.sweeper import OWNER_TIMEOUT, ClaimSweeper
from verbenathread.schema import control_pb2

HELD = control_pb2.CLAIM_HELD
UNKNOWN = control_pb2.CLAIM_OUTCOME_UNKNOWN


def claim(attempt, node='e1', incarnation=1):
    return control_pb2.ClaimRequest(
        account='fbis',
        service='booking-desk',
        idempotency_key='k',
        attempt_id=attempt,
        node_id=node,
        node_incarnation=incarnation,
        time_limit_ms=3_600_000,
        node_key='never-on-the-log',
    )


def max_applied(machines):
    return max(machine.applied() for machine in machines)


class ProposalsTest(unittest.TestCase):
    def setUp(self):
        target = 'tests.consensus_network.ListMachine'
        self.enterContext(patch(target, ControlMachine))

    def proposer_at(self, group, node_id):
        """Return the proposer of one replica."""
        machine = group.machine_by_id[node_id]
        clock = ManualClock(1000)
        return Proposer(group.replicas[node_id], machine, clock)

    def test_isolated_leader_with_operators_on_both_sides(self):
        async def scenario():
            async with Group() as group:
                old = await group.leader()
                first = change('a', account_text(1), 0).change
                reply = await self.proposer_at(group, old).change(first)
                group.network.isolate(old)
                lost = change('b', account_text(2), reply.revision).change
                cut_off = asyncio.create_task(
                    self.proposer_at(group, old).change(lost)
                )
                refused = asyncio.create_task(
                    self.proposer_at(group, old).claim(claim('x'))
                )
                rest = set(group.replicas) - {old}
                new = await group.leader(among=rest)
                won = change('c', account_text(3), reply.revision).change
                accepted = await self.proposer_at(group, new).change(won)
                codes = {
                    (await cut_off).answer.code,
                    (await refused).answer.code,
                }
                # The partition lasts minutes.
                await asyncio.sleep(300)
                group.network.heal()
                await group.wait_applied(accepted.revision)
                leader = await group.leader()
                resent = await self.proposer_at(group, leader).change(lost)
                trees = {
                    machine.tree.get('/desk').text
                    for machine in group.machine_by_id.values()
                }
                return codes, accepted, resent, trees, group

        codes, accepted, resent, trees, group = run_virtual(scenario())
        self.assertLessEqual(
            codes,
            {
                control_pb2.NO_QUORUM,
                control_pb2.UNKNOWN_OUTCOME,
                control_pb2.NOT_LEADER,
            },
        )
        self.assertEqual(accepted.answer.code, control_pb2.OK)
        self.assertEqual(resent.answer.code, control_pb2.CONFLICT)
        self.assertEqual(resent.current.changed_by, 'root')
        self.assertEqual(trees, {account_text(3)})
        for machine in group.machine_by_id.values():
            # No claim sent to the isolated side was recorded.
            self.assertEqual(len(machine.claims), 0)

    def test_change_is_checked_again_at_apply(self):
        async def scenario():
            async with Group() as group:
                leader = await group.leader()
                proposer = self.proposer_at(group, leader)
                await proposer.change(change('o', '', 0, path='/o').change)
                # Each is valid alone; both define the same client account.
                both = await asyncio.gather(
                    *(
                        proposer.change(
                            change(path, account_text(1), 0, path=path).change
                        )
                        for path in ('/a', '/b')
                    )
                )
                machines = group.machine_by_id.values()
                await group.wait_applied(max_applied(machines))
                return both, [machine.snapshot() for machine in machines]

        both, snapshots = run_virtual(scenario())
        codes = [reply.answer.code for reply in both]
        self.assertEqual(codes, [control_pb2.OK, control_pb2.INVALID])
        self.assertEqual(len(set(snapshots)), 1)

    def test_status_of_an_isolated_process_needs_a_key(self):
        async def scenario():
            async with Group() as group:
                node_id = await group.leader()
                group.network.isolate(node_id)
                machine = group.machine_by_id[node_id]
                calls = OperatorCalls(
                    log=group.replicas[node_id],
                    machine=machine,
                    proposer=self.proposer_at(group, node_id),
                    nodes=NodeTable(LoopClock()),
                    orders=list,
                    root_key_sha256=ROOT_SHA,
                )
                await asyncio.sleep(5)
                replies = []

                async def send(key):
                    request = control_pb2.StatusRequest(
                        operator_name='root', operator_key=key
                    )
                    replies.append(await calls.status(request))

                await run_in_order(send, (ROOT_KEY, 'wrong'))
                return replies

        authorized, unauthorized = run_virtual(scenario())
        self.assertEqual(authorized.answer.code, control_pb2.NO_QUORUM)
        self.assertEqual(len(authorized.members), 3)
        self.assertEqual(unauthorized.answer.code, control_pb2.DENIED)
        self.assertEqual(len(unauthorized.members), 0)

    def test_refusals_are_audited_without_the_text(self):
        async def scenario():
            async with Group() as group:
                node_id = await group.leader()
                proposer = self.proposer_at(group, node_id)
                secret = f'{account_text(1)}password = hunter2\n'
                await proposer.change(
                    change('o', operator_text('mo'), 0).change
                )
                codes = []

                async def send(command):
                    reply = await proposer.change(command.change)
                    codes.append(reply.answer.code)

                commands = (
                    change('a', secret, 0, path='/x'),
                    change('b', '', 7, path='/x'),
                    change('c', '', 0, path='/x', operator='mo', key='no'),
                    change('', '', 0, path='/x'),
                    change('d', '', 0, path='/x', remove=True),
                    # A retry of a refused change gets the same reply.
                    change('a', secret, 0, path='/x'),
                )
                await run_in_order(send, commands)
                flood = [
                    proposer.change(
                        change(f'f{number}', '', 0, operator='no').change
                    )
                    for number in range(90)
                ]
                await asyncio.gather(*flood)
                machine = group.machine_by_id[node_id]
                records = list(machine.audit.images())
                log = b''.join(
                    bytes(files.content[name])
                    for files in group.files_by_id.values()
                    for name in files.names()
                )
                return codes, records, log

        codes, records, log = run_virtual(scenario())
        self.assertEqual(
            codes,
            [
                control_pb2.INVALID,
                control_pb2.CONFLICT,
                control_pb2.DENIED,
                control_pb2.INVALID,
                control_pb2.NOT_FOUND,
                control_pb2.INVALID,
            ],
        )
        results = [record.result for record in records[:5]]
        self.assertEqual(
            results,
            [
                'accepted',
                'invalid: /x [account tillery] password',
                'conflict',
                'denied',
                'not found',
            ],
        )
        self.assertLess(len(records), 30)
        self.assertNotIn(b'hunter2', log)

    def test_claim_of_a_timed_out_or_replaced_owner(self):
        for name, wait, incarnation, expected in (
            ('reported', 3 * OWNER_TIMEOUT, 1, control_pb2.CLAIM_IN_PROGRESS),
            ('timed out', OWNER_TIMEOUT + 1000, None, UNKNOWN),
            ('before the timeout', 1000, None, control_pb2.CLAIM_IN_PROGRESS),
            ('replaced', 1000, 2, UNKNOWN),
        ):
            with self.subTest(name):
                state, log = run_virtual(self._sweep(wait, incarnation))
                self.assertEqual(state, expected)
                self.assertNotIn(b'never-on-the-log', log)

    async def _sweep(self, wait, incarnation):
        async with Group() as group:
            node_id = await group.leader()
            proposer = self.proposer_at(group, node_id)
            machine = group.machine_by_id[node_id]
            nodes = NodeTable(LoopClock())
            sweeper = ClaimSweeper(machine, nodes, proposer, LoopClock())
            held = await proposer.claim(claim('a'))
            self.assertEqual(held.state, HELD)
            left = wait
            while left > 0:
                left -= 500
                if incarnation is not None:
                    nodes.record_report(
                        control_pb2.NodeReport(
                            node_id='e1', incarnation=incarnation
                        )
                    )
                await sweeper.sweep()
                await asyncio.sleep(0.5)
            reply = await proposer.claim(claim('b', node='e2'))
            files = group.files_by_id[node_id]
            log = b''.join(files.content[name] for name in files.names())
            return reply.state, log
