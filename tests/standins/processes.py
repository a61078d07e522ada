"""Runs stand-ins as processes or as threads of the test."""

import json
import os
import signal
import subprocess
import sys
import threading

from tests.standins.engine import engine_handler, engine_parser
from tests.standins.service import service_handler, service_parser
from tests.standins.serving import (
    StandInServer,
    announcement,
    post_announcement,
)


class StandIn:
    """A stand-in process, run with ``python -m tests.standins.NAME``."""

    def __init__(self, name: str, *options: str) -> None:
        self.process = subprocess.Popen(
            [sys.executable, '-m', f'tests.standins.{name}', *options],
            stdout=subprocess.PIPE,
        )
        assert self.process.stdout is not None
        self.announcement = json.loads(self.process.stdout.readline())
        self.address = self.announcement['address']

    def announce(
        self,
        entry: object,
        key: str = 'announce-key',
        verb: str = 'announce',
    ) -> int:
        return post_announcement(entry, verb, key, self.announcement)

    def kill(self) -> None:
        """Kill the process with SIGKILL, like the loss of its VM."""
        if self.process.poll() is None:
            os.kill(self.process.pid, signal.SIGKILL)
        self.process.wait()
        if self.process.stdout is not None:
            self.process.stdout.close()


class LocalStandIn:
    """A stand-in in a thread whose state the test can read."""

    def __init__(self, name, *options):
        if name == 'engine':
            self.options = engine_parser().parse_args(options)
            handler = engine_handler(self.options)
            self.state = handler.engine
        else:
            self.options = service_parser().parse_args(options)
            handler = service_handler(self.options)
            self.state = handler.bookings
        self.server = StandInServer(('127.0.0.1', 0), handler)
        self.announcement = announcement(
            self.options, self.server.server_address, memory_tokens=400_000
        )
        self.address = self.announcement['address']
        self.thread = threading.Thread(
            target=self.server.serve_forever, args=(0.02,), daemon=True
        )
        self.thread.start()

    def announce(self, entry, key='announce-key', verb='announce'):
        return post_announcement(entry, verb, key, self.announcement)

    def stop(self):
        self.server.shutdown()
        self.server.server_close()
        self.thread.join()
