"""Tests of the start and the graceful shutdown of an entry."""

import tempfile
import threading
import unittest
from pathlib import Path
from urllib.error import HTTPError
from urllib.request import urlopen

import urllib3

from tests.entry_fakes import (
    CALLER_KEY,
    FakeAdmissions,
    FakeClaims,
    FakeSettings,
    FakeUpstreams,
    SkippingUsedEngines,
    wait_until,
)
from tests.standins.processes import LocalStandIn
from tests.test_entry_relay import FULL_TEXT, MODEL, streamed_text
from verbenathread.entry.daemon import EntryDaemon
from verbenathread.entry.http_frontend import FrontendInterfaces
from verbenathread.exceptions import SettingsError
from verbenathread.replay.trace import read_trace
from verbenathread.schema import settings_pb2

STREAMS = 8
LISTEN = '127.0.0.1:0'


class FakeClusterNode:
    """A cluster node in memory; counts calls of :meth:`stop`."""

    incarnation = 1

    def __init__(self):
        upstreams = FakeUpstreams()
        self.interfaces = FrontendInterfaces(
            FakeSettings(),
            upstreams,
            SkippingUsedEngines(upstreams),
            FakeClaims(),
            FakeAdmissions(),
        )
        self.is_ready = False
        self.stops = 0

    def start(self):
        """Do nothing."""

    def stop(self):
        self.stops += 1

    def ready(self):
        return self.is_ready


def node_settings(listen=LISTEN, trace_file=''):
    return settings_pb2.NodeSettings(
        node=settings_pb2.NodeSection(id='entry-1'),
        entry=settings_pb2.EntrySection(
            listen=listen,
            metrics_listen=LISTEN,
            streams=STREAMS,
            buffered_bytes=8_000_000,
            body_bytes=1_000_000,
            body_timeout=1000,
            stop_notice=1000,
            trace_file=trace_file,
            cell='entry-0@127.0.0.1:1,entry-1@127.0.0.1:2',
            stop_limit=20_000,
        ),
    )


class DaemonTest(unittest.TestCase):
    def setUp(self):
        self.cluster_node = FakeClusterNode()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.trace = Path(folder.name) / 'trace.jsonl'
        settings = node_settings(trace_file=str(self.trace))
        self.daemon = EntryDaemon(settings, self.cluster_node)
        self.daemon.start()
        self.engine = LocalStandIn('engine', '--decode-rate', '30')
        self.addCleanup(self.engine.stop)
        self.engine.announce(self.daemon.frontend.server.address)
        self.pool = urllib3.PoolManager(retries=False)
        self.addCleanup(self.pool.clear)

    def complete(self, *, stream):
        return self.pool.request(
            'POST',
            f'http://{self.daemon.frontend.server.address}/v1/completions',
            json={'model': MODEL, 'prompt': 'any cot?', 'stream': stream},
            headers={'Authorization': f'Bearer {CALLER_KEY}'},
            preload_content=False,
        )

    def status(self, path):
        url = f'http://{self.daemon.status.address}{path}'
        try:
            with urlopen(url, timeout=10) as answer:
                return answer.status
        except HTTPError as error:
            error.close()
            return error.code

    def test_shutdown_completes_requests_in_progress(self):
        self.assertEqual(self.status('/readyz'), 503)
        self.cluster_node.is_ready = True
        for path in ('/readyz', '/healthz', '/metrics'):
            self.assertEqual(self.status(path), 200)
        streams = [self.complete(stream=True) for _ in range(STREAMS - 2)]
        stopping = threading.Thread(target=self.daemon.stop)
        stopping.start()
        self.assertTrue(wait_until(lambda: self.status('/readyz') == 503))
        # Load balancers may not have seen the failed readiness check yet, so
        # new requests are still served.
        streams.append(self.complete(stream=True))
        self.assertEqual(streams[-1].status, 200)
        refused = self.wait_until_refused()
        self.assertEqual(refused.headers['Connection'], 'close')
        self.assertTrue(refused.headers['Retry-After'])
        self.assertEqual(refused.headers['X-Run-State'], 'not_run')
        for answer in streams:
            self.assertEqual(streamed_text(answer.read()), FULL_TEXT)
        stopping.join()
        self.assertEqual(self.cluster_node.stops, 1)
        reservations = self.cluster_node.interfaces.reservations
        self.assertEqual(reservations.opened, reservations.released)
        # The stand-in drops a hold shortly after it sent the last byte.
        self.assertTrue(wait_until(self.engine_is_idle))
        requests = read_trace(self.trace)
        self.assertEqual({request.entry for request in requests}, {1})
        outputs = [request.output_tokens for request in requests]
        self.assertGreaterEqual(outputs.count(20), len(streams))
        self.assertNotIn('any cot', self.trace.read_text())

    def engine_is_idle(self):
        return not self.engine.state.hold_by_attempt

    def wait_until_refused(self):
        answers = []

        def refused():
            answer = self.complete(stream=False)
            answer.read()
            answers.append(answer)
            return answer.status == 503

        self.assertTrue(wait_until(refused))
        return answers[-1]

    def test_address_in_use_raises_settings_error(self):
        listen = str(self.daemon.frontend.server.address)
        second = EntryDaemon(node_settings(listen), FakeClusterNode())
        with self.assertRaisesRegex(SettingsError, 'set another port'):
            second.start()
        self.daemon.stop()
