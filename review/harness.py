"""Runs the project's programs on loopback, with stand-ins around them.

The programs are started with the commands of the deploy file and its templates
of the settings. The stand-ins (operator, workers, clients) speak HTTP/1.1 as
the users' pages say. Everything that is sent, answered and run goes to
``record.txt`` in the folder of the case.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_MS = 1200
KEY = 'k-night-1'
TENANT = 'night'

BOUNDS = {
    'contact-ms': 3000,
    'ack-ms': 4000,
    'grace-s': 8,
    'config-apply-ms': 2000,
    'budget-ratio': 0.2,
    'budget-window-s': 10,
    'budget-slack': 106,
    'free-ms': 4000,
    'drain-ms': 2000,
}


class Record:
    """The events of a run, with their time in seconds since its start."""

    def __init__(self, folder):
        self._began = time.monotonic()
        self._file = (Path(folder) / 'record.txt').open('w')

    def now(self):
        return time.monotonic() - self._began

    def add(self, what, **fields):
        line = {'t': round(self.now(), 3), 'what': what, **fields}
        self._file.write(json.dumps(line) + '\n')
        self._file.flush()


class CannotRun(Exception):
    """The case could not be set up; the run shows nothing."""


def _free_net(last_octets, ports):
    """Return the first three octets of loopback addresses that are free."""
    for _ in range(50):
        net = f'127.{random.randint(1, 250)}.{random.randint(1, 250)}'
        with contextlib.ExitStack() as stack:
            try:
                for octet in last_octets:
                    for port in ports:
                        probe = stack.enter_context(socket.socket())
                        probe.bind((f'{net}.{octet}', port))
            except OSError:
                continue
            return net
    raise CannotRun('no free loopback addresses')


class Node:
    """A machine with one of the project's programs."""

    def __init__(self, role, number, zone, ip):
        self.role = role
        self.name = f'{role}-{number}'
        self.zone = zone
        self.ip = ip
        self.process = None
        self.starts = 0


class Deployment:
    """The project's programs, each with an address of its own."""

    CONTROL, FRONT, READY, INTERNAL, METRICS = 18229, 18227, 18220, 17340, 19100

    def __init__(self, record, directories=3, gateways=2):
        self.record = record
        with (ROOT / 'deploy/system.toml').open('rb') as deploy:
            self._roles = tomllib.load(deploy)['roles']
        octets = [*range(10, 10 + directories), *range(40, 40 + gateways)]
        ports = (
            self.CONTROL, self.FRONT, self.READY, self.INTERNAL, self.METRICS,
        )
        self.net = _free_net(octets, ports)
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.directories = [
            Node('directory', n, f'zone-{n % 3}', f'{self.net}.{10 + n}')
            for n in range(directories)
        ]
        self.gateways = [
            Node('gateway', n, f'zone-{n % 3}', f'{self.net}.{40 + n}')
            for n in range(gateways)
        ]
        self.seeds = [node.ip for node in self.directories[:3]]

    @property
    def controls(self):
        return [(node.ip, self.CONTROL) for node in self.directories]

    def write_settings(self, node, bootstrap):
        """Fill in the template of the role, as the platform does."""
        values = {
            'node': node.name,
            'zone': node.zone,
            'region': 'region-a',
            'ip': node.ip,
            'internal-ports.0': self.INTERNAL,
            'seeds': ','.join(f'{ip}:{self.CONTROL}' for ip in self.seeds),
            'bootstrap': 'true' if bootstrap else 'false',
            'listen.control': f'{node.ip}:{self.CONTROL}',
            'listen.front': f'{node.ip}:{self.FRONT}',
            'listen.ready': f'{node.ip}:{self.READY}',
            'data-dir': str(self.folder / f'{node.name}-disk'),
            'fault-tolerance.machines': 1,
            'heartbeat-interval-ms': HEARTBEAT_MS,
        }
        for name, value in BOUNDS.items():
            values[f'bounds.{name}'] = value
        text = (ROOT / self._roles[node.role]['template']).read_text()
        text = re.sub(
            r'\{\{([^}]+)\}\}', lambda found: str(values[found[1]]), text
        )
        text = text.replace(':9100', f':{self.METRICS}')
        path = self.folder / f'{node.name}.settings'
        path.write_text(text)
        return path

    def start(self, node, bootstrap=True):
        path = self.write_settings(node, bootstrap)
        command = self._roles[node.role]['run'].split()
        command[command.index('--settings') + 1] = str(path)
        if command[0] == 'python3':
            command[0] = sys.executable
        (self.folder / f'{node.name}-disk').mkdir(exist_ok=True)
        with (self.folder / f'{node.name}.log').open('ab') as log:
            node.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', ''),
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        node.starts += 1
        self.record.add('start', node=node.name, bootstrap=bootstrap)

    def start_all(self):
        for node in (*self.directories, *self.gateways):
            self.start(node)

    def signal(self, node, number):
        self.record.add('signal', node=node.name, number=int(number))
        if node.process.poll() is None:
            node.process.send_signal(number)

    def kill(self, node):
        self.signal(node, signal.SIGKILL)
        node.process.wait()

    def close(self):
        for node in (*self.directories, *self.gateways):
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
            if node.process is not None:
                node.process.wait()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """A response as it arrived."""

    def __init__(self, status, headers, body, complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete


async def read_head(reader):
    """Return the first line and the headers by lower-case name."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Return the body and whether it is complete."""
    if 'chunked' in headers.get('transfer-encoding', ''):
        parts = []
        while True:
            try:
                size = int(await reader.readuntil(b'\r\n'), 16)
                part = await reader.readexactly(size + 2)
            except (asyncio.IncompleteReadError, ConnectionError):
                return b''.join(parts), False
            if not size:
                return b''.join(parts), True
            parts.append(part[:-2])
    length = int(headers.get('content-length', '0'))
    try:
        return await reader.readexactly(length), True
    except (asyncio.IncompleteReadError, ConnectionError):
        return b'', False


async def call(address, method, target, headers, body=b'', limit=1.0):
    """Send one request on a new connection; None if there is no answer."""
    writer = None
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f'{method} {target} HTTP/1.1']
            lines += [f'{name}: {value}' for name, value in headers]
            lines.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join((*lines, '', '')).encode() + body)
            first, found = await read_head(reader)
            content, complete = await read_body(reader, found)
            return Answer(int(first.split()[1]), found, content, complete)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def call_control(controls, target, document, tries=None, limit=1.0):
    """Call nodes that serve control until one answers 2xx or refuses.

    Follows a 307 twice, and moves on after a failure, as the pages say.
    """
    body = json.dumps(document).encode()
    headers = (('Host', 'control'), ('Content-Type', 'application/json'))
    order = list(controls)
    random.shuffle(order)
    answer = None
    for address in order[:tries]:
        for _ in range(3):
            answer = await call(
                address, 'POST', target, headers, body, limit=limit
            )
            if answer is None or answer.status != 307:
                break
            place = answer.headers['location'].removeprefix('http://')
            host, _, port = place.partition('/')[0].rpartition(':')
            address = (host, int(port))
        if answer is None or answer.status >= 500 or answer.status == 307:
            continue
        return answer
    return answer


class Operator:
    """Sends configurations until they are acknowledged."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._record = deployment.record

    async def put(self, config, limit):
        """Return the seconds until the acknowledgement, or None."""
        began = time.monotonic()
        pause = 0.1
        while time.monotonic() - began < limit:
            answer = await call_control(
                self._deployment.controls, '/Config.Put', config
            )
            status = None if answer is None else answer.status
            self._record.add(
                'config', version=config['version'], status=status
            )
            if status is not None and status < 500:
                if status != 200:
                    raise CannotRun(f'the config was refused: {status}')
                return time.monotonic() - began
            await asyncio.sleep(pause)
            pause = min(1.0, pause * 1.5)
        return None


ENGINE = {
    'slots': 16, 'kv-capacity-tokens': 232000, 'kv-token-bytes': 327680,
    'link-mbps': 400000.0, 'stride': 43, 'models': [{'name': 'm'}],
    'step_ms': 1.02, 'per_seq_ms': 0.00452, 'context_per_k': 0.00431,
    'read_per_s': 206000.0, 'pairs_per_m': 0.138, 'chunk': 2048,
    'report_lag_ms': 200.0, 'loads-per-s': 0.0, 'loads_at_once': 8,
    'delays': [], 'usual': {'prompt': 12328, 'answer': 1303},
    'hop-ms': 0.075,
}
HOST = 'shelter.example'


def route(name, prefix, kind, service, **more):
    return {
        'name': name, 'host': HOST, 'path-prefix': prefix, 'kind': kind,
        'timeout-ms': 600, 'target-latency-ms': 100, 'priority': 1,
        'service': service, 'attempts': 2, 'public': False, **more,
    }


def base_config(version):
    """Return a small configuration: one engine and one plain service."""
    return {
        'version': version,
        'routes': [
            route(
                'note', '/note/', 'streaming', 'draft-desk',
                **{
                    'timeout-ms': 10000, 'target-latency-ms': 300,
                    'sticky': True, 'resumable': True, 'target-gap-ms': 250,
                },
            ),
            route('hold', '/hold/', 'non_idempotent', 'cot-ledger', attempts=1),
            route('check', '/check/', 'idempotent', 'cot-ledger'),
        ],
        'services': [
            {
                'name': 'draft-desk', 'health-path': '/healthz',
                'max-connections': 374, 'protocol': 'h1', 'tls': False,
                'engine': ENGINE,
            },
            {
                'name': 'cot-ledger', 'health-path': '/healthz',
                'max-connections': 110, 'protocol': 'h1', 'tls': False,
            },
        ],
        'limits': {
            'max-header-bytes': 16384, 'max-body-bytes': 4194304,
            'header-timeout-ms': 3000, 'idle-timeout-ms': 15000,
        },
        'tenants': [{'name': TENANT, 'api-keys': [KEY], 'priority': 1}],
    }


class Request:
    """A request as a worker received it."""

    def __init__(self, first, headers, body):
        self.method, self.target = first.split()[:2]
        self.headers = headers
        self.body = body

    @property
    def attempt_id(self):
        return self.headers.get('attempt-id', '')


class Worker:
    """A worker that answers requests and sends pings, as the pages say."""

    def __init__(self, deployment, service, worker_id, ip, zone='zone-0'):
        self.deployment = deployment
        self.record = deployment.record
        self.service = service
        self.worker_id = worker_id
        self.ip = ip
        self.port = 0
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.last_ping = None
        self.runs = 0
        self._server = None
        self._tasks = set()
        self._pinging = None

    @property
    def address(self):
        return f'{self.ip}:{self.port}'

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._serve, self.ip, port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._pinging = asyncio.create_task(self._ping())

    async def crash(self):
        """End at once, with a reset of each connection, and send nothing."""
        self.record.add('crash', worker=self.worker_id, address=self.address)
        self._pinging.cancel()
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def document(self):
        self.sequence += 1
        return {
            'service': self.service, 'address': self.address,
            'zone': self.zone, 'version': 'v1', 'slots': 6, 'state': 'ready',
            'cold-remaining-ms': 0, 'stage': 'unified',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'sequence': self.sequence, 'born': self.born,
        }

    async def _ping(self):
        while True:
            answer = await call_control(
                self.deployment.controls,
                f'/Instances.Heartbeat/{self.worker_id}',
                self.document(),
            )
            self.last_ping = None if answer is None else answer.status
            self.record.add(
                'ping', worker=self.worker_id, address=self.address,
                born=self.born, sequence=self.sequence, status=self.last_ping,
            )
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while not writer.is_closing():
                first, headers = await read_head(reader)
                body, _ = await read_body(reader, headers)
                await self._answer(Request(first, headers, body), writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        except asyncio.CancelledError:
            reset(writer)
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(self, request, writer):
        expected = request.headers.get('expect-instance', self.worker_id)
        if expected != self.worker_id:
            self.record.add(
                'misdirected', worker=self.worker_id, expected=expected,
                attempt=request.attempt_id,
            )
            writer.write(
                (
                    'HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\n'
                    f'At-Server: {self.address}\r\n'
                    f'Attempt-Id: {request.attempt_id}\r\n'
                    'Content-Length: 0\r\n\r\n'
                ).encode()
            )
            return
        if request.target in {'/report', '/healthz'}:
            writer.write(self._report())
            return
        if request.target == '/order':
            writer.write(plain_answer(b'{"free":100000}'))
            return
        self.runs += 1
        self.record.add(
            'run', worker=self.worker_id, attempt=request.attempt_id,
            target=request.target, tenant=request.headers.get('tenant'),
        )
        await self.run(request, writer)

    def _report(self):
        report = {
            'stage': 'unified',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False, 'sequence': 0, 'queue-depth': 0, 'in-flight': 0,
            'kv-used': 0, 'kv-total': 232000, 'handles': 0, 'tickets': [],
            'pace': 1.0, 'born': self.born,
        }
        return plain_answer(json.dumps(report).encode())

    async def run(self, request, writer):
        """Work on a request; plain services answer after 20 ms."""
        if self.service == 'draft-desk':
            await self.stream(request, writer)
            return
        await asyncio.sleep(0.02)
        writer.write(signed_answer(request, b'done ' + request.attempt_id.encode()))

    async def stream(self, request, writer, events=6):
        writer.write(stream_head(request))
        first = int(request.headers.get('last-event-id', '0')) + 1
        for number in range(first, events + 1):
            await asyncio.sleep(0.03)
            content = f'id: {number}\ndata: {request.attempt_id}-{number}\n\n'
            writer.write(chunk(content.encode()))
            await writer.drain()
        writer.write(b'0\r\n\r\n')


def plain_answer(body):
    return (
        b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
        b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
    )


def signed_answer(request, body):
    return (
        'HTTP/1.1 200 OK\r\n'
        f'Attempt-Id: {request.attempt_id}\r\n'
        f'Response-Stamp: stamp-{request.attempt_id}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body


def stream_head(request):
    return (
        'HTTP/1.1 200 OK\r\n'
        f'Attempt-Id: {request.attempt_id}\r\n'
        f'Response-Stamp: stamp-{request.attempt_id}\r\n'
        'Content-Type: text/event-stream\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'
    ).encode()


def chunk(content):
    return b'%x\r\n%b\r\n' % (len(content), content)


def reset(writer):
    """Close a connection with a reset."""
    sock = writer.transport.get_extra_info('socket')
    if sock is not None and not writer.transport.is_closing():
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        writer.transport.abort()


class Client:
    """Sends requests to gateways, each on a new connection."""

    def __init__(self, deployment, name):
        self._deployment = deployment
        self._record = deployment.record
        self._name = name
        self._count = 0

    async def send(
        self, node, method, target, key=KEY, deadline_ms=600, wait=None,
        more=(),
    ):
        """Send one request; return the answer and the seconds it took."""
        self._count += 1
        attempt_id = f'{self._name}-{self._count}'
        headers = [
            ('Host', HOST), ('Attempt-Id', attempt_id),
            ('Deadline-Ms', deadline_ms), *more,
        ]
        if key:
            headers.append(('Authorization', f'Bearer {key}'))
        sent_at = self._record.now()
        answer = await call(
            (node.ip, Deployment.FRONT), method, target, headers,
            limit=wait or deadline_ms / 1000,
        )
        took = self._record.now() - sent_at
        self._record.add(
            'answer', attempt=attempt_id, gateway=node.name, target=target,
            sent=round(sent_at, 3), took=round(took, 3),
            status=None if answer is None else answer.status,
            complete=None if answer is None else answer.complete,
        )
        return answer, took

    def stream_headers(self, tokens=4000):
        return (
            ('Model', 'm'), ('Token-Usage', f'{tokens},200'),
            ('Prompt-Prefix', f'a1:40,{self._count + 1:x}:{tokens - 40}'),
        )


async def wait_ready(deployment, limit=20):
    """Wait until every gateway says that it is ready."""
    end = time.monotonic() + limit
    for node in deployment.gateways:
        while True:
            answer = await call(
                (node.ip, Deployment.READY), 'GET', '/readyz', (('Host', 'x'),)
            )
            if answer is not None and answer.status == 200:
                break
            if time.monotonic() > end:
                raise CannotRun(f'{node.name} is not ready')
            await asyncio.sleep(0.1)


def _end(number, frame):
    """End the run; the deployment is closed on the way out."""
    sys.exit(NOT_RUN)


def main(folder, case):
    """Run ``case(record)`` and exit with its result."""
    signal.signal(signal.SIGTERM, _end)
    record = Record(folder)
    try:
        result = asyncio.run(asyncio.wait_for(case(record), 118))
    except (CannotRun, TimeoutError) as error:
        record.add('could not run', reason=repr(error))
        result = NOT_RUN
    record.add('end', trouble=TROUBLE, result=result)
    print(f'TROUBLE={int(TROUBLE)} result {result}')
    sys.exit(result)
