"""Starts the stand-ins as processes and ends them by their id."""

import json
import os
import signal
import subprocess
import sys

from tests.standins.serving import tell_entry


class StandIn:
    """One process of ``python -m tests.standins.NAME``."""

    def __init__(self, name, *options):
        self.process = subprocess.Popen(
            [sys.executable, '-m', f'tests.standins.{name}', *options],
            stdout=subprocess.PIPE,
        )
        self.members = json.loads(self.process.stdout.readline())
        self.address = self.members['address']

    def announce(self, entry, key='announce-key', verb='announce'):
        return tell_entry(entry, verb, key, self.members)

    def kill(self):
        """SIGKILL, as a VM that is lost."""
        if self.process.poll() is None:
            os.kill(self.process.pid, signal.SIGKILL)
        self.process.wait()
        self.process.stdout.close()
