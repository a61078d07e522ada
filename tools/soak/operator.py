"""The operator of the soak: changes the configuration and probes it."""

import asyncio
import json
import random
from types import MappingProxyType
from typing import Any

from tools.soak.callers import (
    HOST,
    KEY,
    TIME_LIMIT,
    call_any,
    call_once,
)
from tools.soak.findings import Findings
from tools.soak.fleet import Fleet, Node
from tools.soak.workers import (
    ACCOUNT,
    ENGINE_SERVICE,
    LEDGER_SERVICE,
    MEMORY_TOKENS,
)
from verbenathread.clock import Clock, seconds
from verbenathread.types import Address, Millis

# A change is in force at every gateway this long after its acknowledgement.
_APPLY_LIMIT: Millis = 2000
# A fault may still delay a change this long after its end.
_RECOVERY_TIME: Millis = 3000
_CHANGE_INTERVAL_RANGE: tuple[Millis, Millis] = (300, 2500)
_CALL_INTERVAL: Millis = 200
_MAX_VERSION_STEP = 9
_SERVED = 200
_NOT_FOUND = 404
_READ_ATTEMPTS = 10
_INVALID_SHARE = 0.2

# Options of a route whose prompts are read by several engines.
_LONG_PROMPT_OPTIONS = MappingProxyType(
    {
        'resumable': True,
        'target-latency-ms': 3000,
        'target-gap-ms': 1000,
    }
)
_ENGINE_SETTINGS = MappingProxyType(
    {
        'slots': 8,
        'kv-capacity-tokens': MEMORY_TOKENS,
        'stride': 43,
        'step_ms': 1.02,
        'per_seq_ms': 0.00452,
        'context_per_k': 0.00431,
        'read_per_s': 206_000.0,
        'pairs_per_m': 0.138,
    }
)


def config_body(version: int) -> bytes:
    """Return a configuration with one route that only it contains."""
    marker = _route(f'v{version}', 'idempotent', LEDGER_SERVICE)
    routes = [
        _route('note', 'streaming', ENGINE_SERVICE, resumable=True),
        _route('file', 'streaming', ENGINE_SERVICE, **_LONG_PROMPT_OPTIONS),
        _route('hold', 'non_idempotent', LEDGER_SERVICE, attempts=1),
        _route('check', 'idempotent', LEDGER_SERVICE),
        marker | {'public': True},
    ]
    services = [
        {'name': ENGINE_SERVICE, 'engine': dict(_ENGINE_SETTINGS)},
        {'name': LEDGER_SERVICE},
    ]
    accounts = [{'name': ACCOUNT, 'api-keys': [KEY], 'priority': 1}]
    return json.dumps(
        {
            'version': version,
            'routes': routes,
            'services': services,
            'tenants': accounts,
        }
    ).encode()


def _route(
    name: str, kind: str, service: str, **changes: Any
) -> dict[str, Any]:
    defaults = {
        'name': name,
        'host': HOST,
        'path-prefix': f'/{name}/',
        'kind': kind,
        'service': service,
        'timeout-ms': TIME_LIMIT,
        'target-latency-ms': 300,
        'target-gap-ms': 250,
        'attempts': 2,
        'priority': 1,
    }
    return defaults | changes


class Operator:
    """Changes the configuration and checks that gateways apply it."""

    def __init__(
        self, fleet: Fleet, findings: Findings, clock: Clock, seed: int
    ) -> None:
        """Prepare the changes, drawn from ``seed``; make none yet."""
        self._fleet = fleet
        self._findings = findings
        self._clock = clock
        self._random = random.Random(seed)
        self._sent = 0
        # The newest acknowledged version and the time of its acknowledgement.
        self.acknowledged = 0
        self._acknowledged_at: Millis = 0
        # The highest version that served a probe, by node and start count.
        self._seen_by_start: dict[tuple[str, int], int] = {}

    async def run(self) -> None:
        """Make one change after another until cancelled."""
        while True:
            await self.change()
            pause = self._random.randint(*_CHANGE_INTERVAL_RANGE)
            await asyncio.sleep(seconds(pause))

    async def change(self) -> None:
        """Send one change, repeatedly until it is acknowledged."""
        self._sent += self._random.randint(1, _MAX_VERSION_STEP)
        version = self._sent
        while await self._put(config_body(version)) != _SERVED:
            await asyncio.sleep(seconds(_CALL_INTERVAL))
        self.acknowledged = version
        self._acknowledged_at = self._clock.now()
        if self._random.random() < _INVALID_SHARE:
            await self._send_invalid_changes(version)

    async def probe(self) -> None:
        """Probe which versions gateways have in force, until cancelled."""
        while True:
            node = self._random.choice(self._fleet.gateways)
            await self._probe_older(node)
            await self._probe_newest(node)
            await asyncio.sleep(seconds(_CALL_INTERVAL))

    async def read_back(self) -> None:
        """Check that the newest acknowledged change can be read back."""
        for _ in range(_READ_ATTEMPTS):
            response = await call_any(
                self._addresses(), 'GET', '/Config.Get', b''
            )
            if response is not None:
                break
            await asyncio.sleep(seconds(_APPLY_LIMIT // 2))
        if response is None:
            self._findings.report_violation(
                'CONFIG', 'the configuration cannot be read back'
            )
            return
        version = json.loads(response.body)['version']
        if version < self.acknowledged or response.body != config_body(version):
            self._findings.report_violation(
                'CONFIG',
                f'{version} is read back, {self.acknowledged} was accepted',
            )

    async def _put(self, content: bytes) -> int:
        response = await call_any(
            self._addresses(), 'POST', '/Config.Put', content
        )
        return 0 if response is None else response.status

    async def _send_invalid_changes(self, version: int) -> None:
        """Send two changes that must be rejected.

        One is invalid; the other reuses the acknowledged version number with
        other content.
        """
        status = await self._put(config_body(version + 1)[:-9])
        if status == _SERVED:
            self._findings.report_violation(
                'CONFIG', 'an invalid change was acknowledged'
            )
        other = json.loads(config_body(version))
        other['routes'] = other['routes'][:2]
        await self._put(json.dumps(other).encode())

    def _addresses(self) -> list[Address]:
        addresses = [node.address for node in self._fleet.directories]
        self._random.shuffle(addresses)
        return addresses

    async def _probe_newest(self, node: Node) -> None:
        expected = self.acknowledged
        asked_at = self._clock.now()
        is_due = asked_at > self._acknowledged_at + _APPLY_LIMIT
        start_key = (node.name, node.start_count)
        status = await self._request_marker(node, expected)
        if status == _SERVED:
            seen = self._seen_by_start.get(start_key, 0)
            self._seen_by_start[start_key] = max(seen, expected)
            return
        fault_free = self._findings.is_fault_free(
            self._acknowledged_at - _RECOVERY_TIME, self._clock.now()
        )
        if (
            status == _NOT_FOUND
            and is_due
            and fault_free
            and self._sent == expected
        ):
            self._findings.report_violation(
                'CONFIG', f'{node.name} lacks {expected}'
            )

    async def _probe_older(self, node: Node) -> None:
        start_key = (node.name, node.start_count)
        seen = self._seen_by_start.get(start_key, 0)
        if seen < 2:
            return
        older = self._random.randint(max(1, seen - _MAX_VERSION_STEP), seen - 1)
        status = await self._request_marker(node, older)
        if status == _SERVED:
            self._findings.report_violation(
                'CONFIG', f'{node.name} served {older} after {seen}'
            )

    async def _request_marker(self, node: Node, version: int) -> int:
        response = await call_once(node.address, 'GET', f'/v{version}/')
        return 0 if response is None else response.status
