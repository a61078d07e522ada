"""Tests of tree changes, replies to retries and the audit trail."""

import unittest

from tests import control_commands as make
from verbenathread.control.machine import ControlMachine
from verbenathread.exceptions import StorageError
from verbenathread.schema import commands_pb2, control_pb2


class ChangeTest(unittest.TestCase):
    def setUp(self):
        self.log = make.Log()

    def test_only_one_change_per_revision_is_accepted(self):
        for writer in ('first', 'second'):
            text = make.operator_text(writer).replace(
                make.OPERATOR_SHA, make.ROOT_SHA
            )
            self.log.change(
                make.change(writer, text, 0, path=f'/desk/{writer}')
            )
        accepted = self.log.change(make.change('a', make.account_text(1), 0))
        refused = self.log.change(
            make.change(
                'b',
                make.account_text(2),
                0,
                operator='first',
                key=make.ROOT_KEY,
                path='/desk',
            )
        )
        self.assertEqual(accepted.answer.code, control_pb2.OK)
        # The operator of /desk/first may not change /desk.
        self.assertEqual(refused.answer.code, control_pb2.DENIED)
        refused = self.log.change(make.change('c', make.account_text(2), 0))
        self.assertEqual(refused.answer.code, control_pb2.CONFLICT)
        self.assertEqual(refused.current.changed_by, 'root')
        self.assertEqual(refused.current.text, make.account_text(1))
        self.assertIn(f'revision {accepted.revision}', refused.answer.message)
        results = [record.result for record in self.log.machine.audit.images()]
        self.assertEqual(results[2:], ['accepted', 'denied', 'conflict'])

    def test_branches_do_not_block_one_another(self):
        for index, path in enumerate(('/desk', '/ledger'), start=1):
            reply = self.log.change(make.change(path, '', 0, path=path))
            self.assertEqual(reply.revision, index)
        again = make.change('x', make.account_text(5), 1)
        self.assertEqual(self.log.change(again).revision, 3)

    def test_retry_gets_the_first_reply(self):
        accepted = make.change('won', make.account_text(1), 0)
        refused = make.change('lost', make.account_text(2), 0)
        first_by_id = {
            'won': self.log.apply(accepted),
            'lost': self.log.apply(refused),
        }
        revision = 1
        for count in range(500):
            text = make.account_text(count + 3)
            reply = self.log.change(
                make.change(f'other-{count}', text, revision)
            )
            revision = reply.revision
            if count == 250:
                self.log.restore_from_snapshot()
        self.log.restore_from_snapshot()
        for command in (accepted, refused):
            answer = self.log.apply(command)
            self.assertEqual(answer, first_by_id[command.change.operation_id])
        current = self.log.machine.tree.get('/desk')
        self.assertEqual(current.revision, revision)

    def test_reused_identifier_is_invalid(self):
        self.log.apply(make.change('a', make.account_text(1), 0))
        reply = self.log.change(make.change('a', make.account_text(2), 1))
        self.assertEqual(reply.answer.code, control_pb2.INVALID)
        current = self.log.machine.tree.get('/desk')
        self.assertEqual(current.text, make.account_text(1))

    def test_denied_request_uses_up_no_operation_id(self):
        text = make.account_text(1)
        self.log.apply(make.change('a', text, 0, key='wrong'))
        reply = self.log.change(make.change('a', text, 0))
        self.assertEqual(reply.answer.code, control_pb2.OK)

    def test_operator_may_change_only_own_branches(self):
        self.log.apply(make.change('o', make.operator_text('mo'), 0))
        for path, key, code in (
            ('/desk', make.OPERATOR_KEY, control_pb2.OK),
            ('/desk/part', make.OPERATOR_KEY, control_pb2.OK),
            ('/desk', 'wrong', control_pb2.DENIED),
            ('/deskside', make.OPERATOR_KEY, control_pb2.DENIED),
            ('/ledger', make.OPERATOR_KEY, control_pb2.DENIED),
            ('/', make.OPERATOR_KEY, control_pb2.DENIED),
        ):
            with self.subTest(path=path, key=key):
                command = make.change(
                    f'{path}{key}',
                    make.operator_text('mo') if path == '/desk' else '',
                    self.log.machine.tree.get(path).revision,
                    path=path,
                    operator='mo',
                    key=key,
                )
                self.assertEqual(self.log.change(command).answer.code, code)

    def test_invalid_text_is_never_accepted_nor_shown(self):
        secret = 'hunter2-in-the-clear'
        account = make.account_text(1)
        self.log.apply(make.change('a', account, 0, path='/other'))
        texts = (
            f'[account x]\nkey_sha256 = {secret}\n',
            f'[account x]\npassword = {secret}\n',
            f'{account}# {secret}\n',
        )
        for number, text in enumerate(texts):
            with self.subTest(text=text):
                operation = f'invalid-{number}'
                reply = self.log.change(make.change(operation, text, 0))
                self.assertEqual(reply.answer.code, control_pb2.INVALID)
                self.assertFalse(self.log.machine.tree.exists('/desk'))
        shown = str(list(self.log.machine.audit.images()))
        self.assertNotIn(secret, shown)
        self.assertIn('sha256:', shown)

    def test_removed_branch_keeps_its_revision(self):
        self.log.apply(make.change('a', '', 0))
        self.log.apply(make.change('b', '', 1, remove=True))
        self.log.restore_from_snapshot()
        self.assertEqual(
            self.log.machine.tree.delta(1).removed_paths, ('/desk',)
        )
        stale = self.log.change(make.change('c', '', 0))
        self.assertEqual(stale.answer.code, control_pb2.CONFLICT)
        self.assertEqual(self.log.change(make.change('d', '', 2)).revision, 4)

    def test_replicas_agree_byte_for_byte(self):
        for count in range(40):
            path = f'/team{count % 3}'
            self.log.apply(
                make.change(
                    f'op-{count}',
                    make.account_text(count + 1, f'a{count % 3}'),
                    max(0, count - 2 - count % 2),
                    path=path,
                ),
                now=count * 7 % 50,
            )
        snapshot = self.log.machine.snapshot()
        self.assertEqual(self.log.replay().snapshot(), snapshot)
        self.log.restore_from_snapshot()
        self.assertEqual(self.log.machine.snapshot(), snapshot)

    def test_unreadable_snapshot_raises(self):
        image = commands_pb2.Image(version=99)
        for damaged in (image.SerializeToString(), b'\xff\xff'):
            with self.subTest(damaged=damaged):
                with self.assertRaises(StorageError):
                    ControlMachine().restore(damaged)

    def test_fencing_number_only_grows(self):
        text = f'[service cot]\nannounce_key_sha256 = {make.ROOT_SHA}\n'
        self.log.apply(make.change('s', text, 0))
        last = 0
        for count, action in enumerate(('load', 'unload', 'load')):
            order = commands_pb2.OrderCommand(
                operation_id=f'order-{count}',
                credential=make.change('', '', 0).change.credential,
                upstream_id='cot-1',
                address='127.0.0.1:9',
                service='cot',
                action=action,
                subject='adapter',
            )
            command = commands_pb2.Command(order=order)
            reply = control_pb2.OrderReply.FromString(self.log.apply(command))
            self.assertGreater(reply.fencing, last)
            last = reply.fencing
            self.log.restore_from_snapshot()
            wanted = next(iter(self.log.machine.wanted.images()))
            # The newest order of a slot replaces the older ones.
            self.assertEqual([item.action for item in wanted.items], [action])
