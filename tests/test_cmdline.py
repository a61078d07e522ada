"""Tests of the command line: exit codes, text and JSON output."""

import contextlib
import io
import json
import signal
import tempfile
import unittest
from pathlib import Path

from verbenathread.cmdline import build_parser, main
from verbenathread.commands import all_commands

ROOT = Path(__file__).resolve().parent.parent
ENTRY = str(ROOT / 'examples' / 'tillery' / 'entry-1.ini')


def run(*words):
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            code = main(list(words))
        except SystemExit as ended:
            code = ended.code
    return code, out.getvalue(), err.getvalue()


class CommandLineTest(unittest.TestCase):
    def test_exit_codes_and_remedies(self):
        with tempfile.TemporaryDirectory() as folder:
            bad = Path(folder) / 'bad.ini'
            bad.write_text('[node]\nidd = e1\n', encoding='utf-8')
            cases = (
                (('check', ENTRY), 0, '1 files checked, no problem'),
                (('check', str(bad)), 2, '[node] idd: unknown option'),
                (('check', f'{folder}/none'), 2, 'name a readable INI file'),
                (('debug', '--settings', ENTRY), 0, 'node_key = (hidden)'),
                (('debug', '--settings', str(bad)), 2, 'unknown option'),
                (('control', '--settings', ENTRY), 2, 'no [control] section'),
                (('chekc',), 2, 'invalid choice'),
            )
            for words, code, expected in cases:
                with self.subTest(words=words):
                    seen = run(*words)
                    self.assertEqual(seen[0], code)
                    self.assertIn(expected, seen[1] + seen[2])
                    self.assertNotIn('Traceback', seen[2])

    def test_sigpipe_stays_ignored(self):
        # By default, writing to a closed connection would end a daemon.
        run('check', ENTRY)
        self.assertEqual(signal.getsignal(signal.SIGPIPE), signal.SIG_IGN)

    def test_json_output(self):
        code, out, _ = run('check', '--json', ENTRY, ENTRY + '.none')
        self.assertEqual(code, 2)
        self.assertEqual(json.loads(out)[0]['source'], ENTRY + '.none')

    def test_help_of_every_command_has_an_example(self):
        for command in all_commands():
            with self.subTest(command=command.name):
                code, out, _ = run(*command.name.split(), '--help')
                self.assertEqual(code, 0)
                self.assertIn('example:', out)
        self.assertIsNotNone(build_parser(all_commands()))

    def test_examples_are_valid_settings(self):
        for path in sorted((ROOT / 'examples').rglob('*.ini')):
            with self.subTest(path=path.name):
                words = ['check', str(path)]
                if path.parent.name == 'branches':
                    words += ['--branch', '/team']
                self.assertEqual(run(*words)[0], 0)
