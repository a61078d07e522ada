"""The operator commands against a real control process."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from unittest.mock import patch

from tests.control_commands import (
    OPERATOR_KEY,
    OPERATOR_SHA,
    ROOT_KEY,
    ROOT_SHA,
)
from tests.control_processes import ControlGroup
from tools.processes import running_processes
from verbenathread import cmdline
from verbenathread.admin.commands import COMMANDS
from verbenathread.commands import CORE_COMMANDS

BRANCH = """\
# Owned by the desk.
[account tillery]
key_sha256 = {key}

[operator mo]
key_sha256 = {operator}
"""


def run(*words):
    out, err = io.StringIO(), io.StringIO()
    every = (*CORE_COMMANDS, *COMMANDS)
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        with patch.object(cmdline, 'all_commands', lambda: every):
            code = cmdline.main(list(words))
    return code, out.getvalue() + err.getvalue()


class CommandsTest(unittest.TestCase):
    def setUp(self):
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        processes = self.enterContext(running_processes(self.folder))
        group = ControlGroup(processes, count=1)
        addresses = ','.join(map(str, group.address_by_name.values()))
        self.files = {
            'root': ROOT_KEY,
            'mo': OPERATOR_KEY,
            'bad': '[account x]\nkey_sha256 = in-the-clear\n',
            'branch': BRANCH.format(key=ROOT_SHA, operator=OPERATOR_SHA),
        }
        for name, text in self.files.items():
            (self.folder / name).write_text(text, encoding='utf-8')
        self.common = ('--control', addresses, '--key-file')

    def test_commands(self):
        """Each row: operator, arguments, exit code, expected output."""
        rows = (
            ('root', 'config get', 0, ''),
            ('root', 'config apply /desk @branch', 0, '/desk is now at'),
            ('root', 'config apply /desk @bad', 2, 'key_sha256'),
            ('root', 'config apply /desk @branch --expected 1', 3, 'by root'),
            ('mo', 'config get /desk', 0, '# Owned by the desk.'),
            ('mo', 'config apply /ledger @branch', 4, 'may not do this'),
            ('bad', 'config get /desk', 4, 'check the name and key'),
            (
                'mo',
                'config set /desk account~tillery weight 2 --comment ask',
                0,
                'is now at',
            ),
            ('mo', 'config get /desk', 0, '[account tillery]\nweight = 2\n'),
            ('mo', 'config diff /desk @branch', 0, '-weight = 2'),
            ('mo', 'config history /desk', 0, 'ask'),
            (
                'mo',
                'service add cot-ledger --path /desk --new-key @mo'
                ' --set kind=plain',
                0,
                'is now at',
            ),
            ('mo', 'service list', 0, 'plain'),
            ('mo', 'service remove none', 2, 'no branch defines'),
            ('mo', 'account remove tillery', 0, 'is now at'),
            ('mo', 'account list', 0, 'tokens/s'),
            (
                'mo',
                'upstream order w1 load a7 --service cot-ledger'
                ' --address 127.0.0.1:1',
                0,
                'fencing number',
            ),
            ('mo', 'upstream drain w9 on', 2, 'is not an address'),
            ('mo', 'upstream list', 0, 'a7'),
            ('mo', 'member remove c0', 4, 'may not do this'),
            ('root', 'config remove /desk', 0, 'is now at'),
            ('root', 'config apply /desk @branch', 0, 'is now at'),
            ('root', 'audit --path /desk', 0, 'conflict'),
            ('root', 'audit', 0, 'invalid: /desk [account x] key_sha256'),
            ('root', 'config status', 0, 'live nodes run it'),
            ('root', 'status', 0, 'leader c0'),
        )
        for operator, words, code, expected in rows:
            with self.subTest(operator=operator, words=words):
                seen, text = self._run(operator, words)
                self.assertEqual((seen, text), (code, text))
                self.assertIn(expected, text)
        _, text = self._run('root', 'audit --json')
        results = {record['result'] for record in json.loads(text)}
        self.assertLessEqual({'accepted', 'conflict', 'denied'}, results)
        for secret in (ROOT_KEY, OPERATOR_KEY, 'in-the-clear'):
            self.assertNotIn(secret, text)

    def _run(self, operator, words):
        parts = []
        for word in words.split():
            if word.startswith('@'):
                word = str(self.folder / word.removeprefix('@'))
            parts.append(word.replace('~', ' '))
        name = 'root' if operator == 'bad' else operator
        key = str(self.folder / operator)
        return run(*parts, *self.common, key, '--operator', name)


class UnreachableTest(unittest.TestCase):
    def test_unreachable_control(self):
        key = self.enterContext(tempfile.NamedTemporaryFile())
        self.enterContext(
            patch('verbenathread.admin.options.CALL_TIMEOUT', 300)
        )
        for control, code, expected in (
            ('127.0.0.1:1', 5, 'no control process leads'),
            ('host', 2, 'is not an address'),
            ('', 2, 'use --control'),
        ):
            with self.subTest(control=control):
                seen, text = run(
                    'status', '--control', control, '--key-file', key.name
                )
                self.assertEqual(seen, code)
                self.assertIn(expected, text)
