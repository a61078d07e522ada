"""Real control processes for tests, each started and ended by its id."""

import socket
from pathlib import Path

from tests.control_commands import ROOT_KEY, ROOT_SHA
from tools.processes import Processes, Started
from verbenathread.admin.client import ControlClient
from verbenathread.types import Address, Millis

NODE_KEY = 'node-key'
CLUSTER = 'proof'


def free_ports(count: int) -> list[int]:
    """Return ports that nobody used a moment ago."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(('127.0.0.1', 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class ControlGroup:
    """Three control processes over one folder each."""

    def __init__(self, processes: Processes, *, records: int = 50) -> None:
        self.processes = processes
        ports = free_ports(3)
        self.address_by_name = {
            f'c{number}': Address('127.0.0.1', port)
            for number, port in enumerate(ports)
        }
        voters = ','.join(
            f'{name}@{address}'
            for name, address in self.address_by_name.items()
        )
        for name, address in self.address_by_name.items():
            metrics = free_ports(1)[0]
            self._path(name).write_text(
                f'[node]\nid = {name}\ndata_centre = jackson-ms\n'
                f'cluster = {CLUSTER}\nnode_key = {NODE_KEY}\n'
                f'[control]\nlisten = {address}\nvoters = {voters}\n'
                f'metrics_listen = 127.0.0.1:{metrics}\n'
                f'data_folder = {processes.folder / name}-data\n'
                f'root_key_sha256 = {ROOT_SHA}\n'
                'election_timeout = 500\nheartbeat = 100\n'
                f'snapshot_records = {records}\n'
            )
            self.start(name)

    def start(self, name: str) -> Started:
        """Start one process; its name is free again after it ended."""
        return self.processes.start(
            name,
            'verbenathread',
            'control',
            '--settings',
            str(self._path(name)),
        )

    def client(self, *names: str, limit: Millis = 20_000) -> ControlClient:
        """Return a client of the named processes, or of all."""
        chosen = names or tuple(self.address_by_name)
        addresses = [self.address_by_name[name] for name in chosen]
        return ControlClient(addresses, 'root', ROOT_KEY, limit)

    def _path(self, name: str) -> Path:
        return self.processes.folder / f'{name}.ini'
