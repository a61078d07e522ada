"""Measure the cost of an idle cell, by number of entries and engines."""

import tempfile
import threading
import time
from pathlib import Path
from typing import NamedTuple

from tests.standins.serving import post_announcement
from tools.local_cluster import (
    ANNOUNCE_KEY,
    MODEL,
    UPSTREAM_IP,
    LocalCluster,
    Size,
    local_cluster,
)
from tools.processes import loopback_bytes

_SETTLE_SECONDS = 12
_MEASURE_SECONDS = 10
_RENEW_SECONDS = 2
_CONTROL_VMS = 3
_ENGINE_ADDRESS = f'{UPSTREAM_IP}:18100'


class CellCost(NamedTuple):
    """Cost of an idle cell of one size."""

    entries: int
    engines: int
    # Processor time in ms per second: mean entry, busiest control process.
    entry_cpu: float
    leader_cpu: float
    # Resident memory in MB: mean entry, largest control process.
    entry_mb: float
    control_mb: float
    # Bytes sent per second, mean of all nodes.
    bytes_per_second: float


class Renewals:
    """Announces and renews engines that have no process of their own."""

    def __init__(self, cluster: LocalCluster, engines: int) -> None:
        """Start the thread that announces."""
        self._cluster = cluster
        self._engines = engines
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def end(self) -> None:
        """Stop renewing."""
        self._ended.set()
        self._thread.join()

    def _run(self) -> None:
        verb = 'announce'
        while not self._ended.wait(_RENEW_SECONDS):
            for engine in range(self._engines):
                self._announce(engine, verb)
            verb = 'renew'

    def _announce(self, engine: int, verb: str) -> None:
        entry = engine % self._cluster.size.entries + 1
        body = {
            'upstream_id': f'engine-{engine}',
            'incarnation': 1,
            'service': MODEL,
            # One idle stand-in serves the address of all engines.
            'address': _ENGINE_ADDRESS,
            'data_centre': 'dc-1',
            'memory_tokens': 400_000,
        }
        address = f'{self._cluster.entry_ip(entry)}:18080'
        post_announcement(address, verb, ANNOUNCE_KEY, body)


def measure(entries: int, engines: int) -> CellCost:
    """Run a cell, let it settle and measure it while idle."""
    with tempfile.TemporaryDirectory() as folder:
        size = Size(_CONTROL_VMS, entries)
        with local_cluster(Path(folder), size) as cluster:
            cluster.processes.start(
                'engines', 'tests.standins.engine', '--listen', _ENGINE_ADDRESS
            )
            renewals = Renewals(cluster, engines)
            time.sleep(_SETTLE_SECONDS)
            cost = _measure(cluster, engines)
            renewals.end()
    return cost


def _measure(cluster: LocalCluster, engines: int) -> CellCost:
    by_name = cluster.processes.by_name
    before = {name: node.cpu_ms() for name, node in by_name.items()}
    sent = loopback_bytes()
    started = time.monotonic()
    time.sleep(_MEASURE_SECONDS)
    duration = time.monotonic() - started
    sent = loopback_bytes() - sent
    cpu = {
        name: (node.cpu_ms() - before[name]) / duration
        for name, node in by_name.items()
    }
    megabytes = {
        name: node.resident_bytes() / 1e6 for name, node in by_name.items()
    }
    entry_names = [name for name in by_name if name.startswith('entry')]
    control_names = [name for name in by_name if name.startswith('control')]
    count = len(entry_names)
    return CellCost(
        count,
        engines,
        sum(cpu[name] for name in entry_names) / count,
        max(cpu[name] for name in control_names),
        sum(megabytes[name] for name in entry_names) / count,
        max(megabytes[name] for name in control_names),
        sent / duration / len(by_name),
    )
