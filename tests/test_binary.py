"""The single-file binary runs and starts no child processes."""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from urllib.error import URLError
from urllib.request import urlopen

from tools.build_binary import build
from tools.processes import ManagedProcess, wait_for
from verbenathread import __version__

START_TIMEOUT_SECONDS = 60
SETTINGS = """
[node]
id = c1
data_centre = a
cluster = binary
node_key = key
[control]
listen = {0}
metrics_listen = {1}
data_folder = data
voters = c1@{0}
root_key_sha256 = {2}
"""


def free_address():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


def is_ready(address):
    try:
        return urlopen(f'http://{address}/readyz', timeout=1).status == 200
    except (URLError, OSError):
        return False


class BinaryTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.binary = self.folder / 'verbenathread'
        build(self.binary, self.folder / 'site')
        self.environment = {
            **os.environ,
            'SHIV_ROOT': str(self.folder / 'shiv'),
        }

    def test_version_and_control_without_child_processes(self):
        command = [sys.executable, str(self.binary)]
        completed = subprocess.run(
            [*command, '--version'],
            env=self.environment,
            capture_output=True,
            check=True,
        )
        self.assertEqual(
            completed.stdout.decode(), f'verbenathread {__version__}\n'
        )
        listen, metrics = free_address(), free_address()
        settings = self.folder / 'c1.ini'
        settings.write_text(SETTINGS.format(listen, metrics, 'a' * 64))
        log = self.folder / 'log'
        with log.open('wb') as output:
            process = subprocess.Popen(
                [*command, 'control', '--settings', str(settings)],
                cwd=self.folder,
                env=self.environment,
                stderr=output,
            )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        started = ManagedProcess('binary', process, log)
        wait_for('control', lambda: is_ready(metrics), START_TIMEOUT_SECONDS)
        self.assertEqual(started.children(), 0)
        started.send_signal(signal.SIGTERM)
        self.assertEqual(started.wait(START_TIMEOUT_SECONDS), 0)
