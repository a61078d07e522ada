"""A cluster of real processes on loopback, of any small size."""

import asyncio
import contextlib
import hashlib
import os
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import urllib3

from tools.processes import Processes, running_processes, wait_for
from verbenathread.admin.client import ControlClient
from verbenathread.exceptions import VerbenathreadError
from verbenathread.settings.node import parse_addresses

CLUSTER = 'local'
NODE_KEY = 'local-node-key'
ROOT_KEY = 'local-root-key'
ACCOUNT_KEY = 'local-account-key'
ANNOUNCE_KEY = 'local-announce-key'
MODEL = 'model'
LEDGER = 'ledger'
_START_LIMIT_SECONDS = 30
_DATA_CENTRES = 3
_OK = 200

_NODE = """\
[node]
id = {name}
data_centre = dc-{data_centre}
cluster = local
node_key = local-node-key
[log]
level = warning
"""
_CONTROL = """\
[control]
listen = {ip}:18090
metrics_listen = {ip}:18092
data_folder = {name}
voters = {voters}
root_key_sha256 = {root_key}
"""
_ENTRY = """\
[entry]
listen = {ip}:18080
peer_listen = {ip}:18081
metrics_listen = {ip}:18082
stop_notice = 0
control = {control}
cell = {cell}
"""
_ROOT_BRANCH = """\
[account caller]
key_sha256 = {account}
requests_per_second = 100000
tokens_per_second = 100000000
long_prompts = 1000
[service model]
announce_key_sha256 = {announce}
[service ledger]
kind = plain
announce_key_sha256 = {announce}
"""


# Network within 127.0.0.0/8 for the nodes of this process, so that two
# clusters on one machine do not receive each other's calls.
_SECOND_OCTET, _THIRD_OCTET = divmod(os.getpid() % 0xC000 + 0x1000, 256)
LOOPBACK_NET = f'127.{_SECOND_OCTET}.{_THIRD_OCTET}'
# Last octets: control processes from 1, then entries, then upstreams.
_FIRST_ENTRY = 10
UPSTREAM_IP = f'{LOOPBACK_NET}.250'


class Size(NamedTuple):
    """Number of processes of each role."""

    control: int
    entries: int


class LocalCluster:
    """Control processes and entries, each at its own IP address."""

    def __init__(self, processes: Processes, size: Size) -> None:
        """Write the settings of every node; :meth:`start` runs them."""
        self.processes = processes
        self.size = size
        for number in range(1, size.control + 1):
            self._write(
                self.control_name(number), self._control_settings(number)
            )
        for number in range(1, size.entries + 1):
            self._write(self.entry_name(number), self._entry_settings(number))

    def control_name(self, number: int) -> str:
        """Return the name of one control process, from 1."""
        return f'control-{number}'

    def entry_name(self, number: int) -> str:
        """Return the name of one entry, from 1."""
        return f'entry-{number}'

    def control_ip(self, number: int) -> str:
        """Return the IP address of one control process, from 1."""
        return f'{LOOPBACK_NET}.{number}'

    def entry_ip(self, number: int) -> str:
        """Return the IP address of one entry, from 1."""
        return f'{LOOPBACK_NET}.{_FIRST_ENTRY + number}'

    def start(self) -> None:
        """Start all nodes, create the root branch, wait for ready entries."""
        for number in range(1, self.size.control + 1):
            self.start_node('control', self.control_name(number))
        wait_for('leader of control', self.has_leader, _START_LIMIT_SECONDS)
        asyncio.run(self._create_root_branch())
        for entry in range(1, self.size.entries + 1):
            self.start_node('entry', self.entry_name(entry))
        wait_for('ready entries', self.all_ready, _START_LIMIT_SECONDS)

    def start_node(self, role: str, name: str) -> None:
        """Start one node from its settings."""
        self.processes.start(
            name, 'verbenathread', role, '--settings', f'{name}.ini'
        )

    def client(self) -> ControlClient:
        """Return a control client with the key of the root operator."""
        return ControlClient(
            parse_addresses(self._addresses()), 'root', ROOT_KEY
        )

    def has_leader(self) -> bool:
        """Return whether the control group has a leader."""
        return asyncio.run(self._has_leader())

    def all_ready(self) -> bool:
        """Return whether every entry is ready, with the shared settings."""
        entries = range(1, self.size.entries + 1)
        return all(_is_ready(self.entry_ip(entry)) for entry in entries)

    async def _has_leader(self) -> bool:
        with contextlib.closing(self.client()) as client:
            try:
                return bool((await client.status()).leader)
            except VerbenathreadError:
                return False

    async def _create_root_branch(self) -> None:
        text = _ROOT_BRANCH.format(
            account=_key_hash(ACCOUNT_KEY), announce=_key_hash(ANNOUNCE_KEY)
        )
        with contextlib.closing(self.client()) as client:
            await client.change('/', text, 0)

    def _control_settings(self, number: int) -> str:
        voters = ', '.join(
            f'{self.control_name(voter)}@{self.control_ip(voter)}:18090'
            for voter in range(1, self.size.control + 1)
        )
        return _CONTROL.format(
            ip=self.control_ip(number),
            name=self.control_name(number),
            voters=voters,
            root_key=_key_hash(ROOT_KEY),
        )

    def _entry_settings(self, number: int) -> str:
        cell = ', '.join(
            f'{self.entry_name(entry)}@{self.entry_ip(entry)}:18081'
            for entry in range(1, self.size.entries + 1)
        )
        return _ENTRY.format(
            ip=self.entry_ip(number), control=self._addresses(), cell=cell
        )

    def _addresses(self) -> str:
        return ', '.join(
            f'{self.control_ip(number)}:18090'
            for number in range(1, self.size.control + 1)
        )

    def _write(self, name: str, role_text: str) -> None:
        number = int(name.rpartition('-')[2])
        head = _NODE.format(name=name, data_centre=number % _DATA_CENTRES)
        path = self.processes.folder / f'{name}.ini'
        path.write_text(head + role_text, encoding='utf-8')


@contextlib.contextmanager
def local_cluster(folder: Path, size: Size) -> Iterator[LocalCluster]:
    """Run a cluster and kill all its processes afterwards."""
    with running_processes(folder) as processes:
        cluster = LocalCluster(processes, size)
        cluster.start()
        yield cluster


def _key_hash(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def _is_ready(ip: str) -> bool:
    try:
        response = urllib3.request(
            'GET', f'http://{ip}:18082/readyz', retries=False, timeout=1
        )
    except urllib3.exceptions.HTTPError:
        return False
    return response.status == _OK
