"""The platform processes of one soak, each behind loopback proxies."""

import os
import shutil
import signal
from pathlib import Path

from tools.local_cluster import LOOPBACK_NET
from tools.processes import ROOT, ManagedProcess, Processes
from tools.soak.findings import Findings
from tools.soak.loopback_proxy import LoopbackProxy
from verbenathread.types import Address, Millis

OPERATOR_PORT = 18060
PEER_PORT = 18061
CALLER_PORT = 18070
READY_PORT = 18071
NOTICE_PORT = 18072
# Last octet of the addresses of processes; that of their proxies is higher by
# the offset.
_FIRST_DIRECTORY = 10
_FIRST_GATEWAY = 40
_PROXY_OFFSET = 100
# Longest duration of a planned stop.
STOP_LIMIT: Millis = 8000
WORKER_HEARTBEAT: Millis = 400
_KILL_WAIT_SECONDS = 10
_TORN_BYTES = 9

_NODE = """
[node]
id = {name}
data_centre = a
cluster = soak
node_key = secret
"""
_DIRECTORY = """
[directory]
listen = {ip}:{operator_port}
peer_listen = {ip}:{peer_port}
peer_advertise = {proxy_ip}:{peer_port}
seeds = {seeds}
directory_port = {peer_port}
data_folder = {name}-data
bootstrap = {bootstrap}
losses = 1
worker_heartbeat = {heartbeat}
"""
_GATEWAY = """
[gateway]
listen = {ip}:{caller_port}
ready_listen = {ip}:{ready_port}
peer_listen = {ip}:{notice_port}
seeds = {seeds}
directory_port = {peer_port}
stop_limit = {stop_limit}
"""


class Node:
    """A process of the fleet and its proxies."""

    def __init__(self, program: str, number: int) -> None:
        """Set the name, the addresses and the proxies of the node."""
        self.program = program
        self.number = number
        self.name = f'{program}-{number}'
        first = _FIRST_GATEWAY
        ports: tuple[int, ...] = (CALLER_PORT,)
        if program == 'directory':
            first = _FIRST_DIRECTORY
            ports = (OPERATOR_PORT, PEER_PORT)
        self.ip = f'{LOOPBACK_NET}.{first + number}'
        self.proxy_ip = f'{LOOPBACK_NET}.{first + number + _PROXY_OFFSET}'
        self.proxies = [
            LoopbackProxy(Address(self.proxy_ip, port), Address(self.ip, port))
            for port in ports
        ]
        # Number of times the process was started.
        self.start_count = 0
        # Set while a fault affects the process, which others then skip.
        self.is_faulted = False

    @property
    def address(self) -> Address:
        """Return the address that callers or operators use."""
        return self.proxies[0].listen


class Fleet:
    """The directory processes and gateways of one soak."""

    def __init__(
        self,
        processes: Processes,
        directories: int,
        gateways: int,
        findings: Findings,
        older: Path | None = None,
    ) -> None:
        """Write the settings of every node.

        With ``older``, the folder of another build, half of the nodes begin with
        that build, and each node changes its build at every start.
        """
        self._processes = processes
        self.older = older
        self.findings = findings
        self.directories = [Node('directory', n) for n in range(directories)]
        self.gateways = [Node('gateway', n) for n in range(gateways)]
        self._seeds = [node.proxy_ip for node in self.directories]
        for node in self.nodes:
            self.write_settings(node, bootstrap=True)

    @property
    def nodes(self) -> list[Node]:
        """Return all nodes."""
        return [*self.directories, *self.gateways]

    async def start(self) -> None:
        """Start the proxies, then every process."""
        for node in self.nodes:
            for proxy in node.proxies:
                await proxy.start()
            self.start_node(node)

    async def stop(self) -> None:
        """Kill every process and stop every proxy."""
        self._processes.kill_all()
        for node in self.nodes:
            for proxy in node.proxies:
                await proxy.stop()

    def start_node(self, node: Node) -> None:
        """Start the process of a node that is not running."""
        node.start_count += 1
        arguments = ('verbenathread', node.program, '--settings')
        root = ROOT
        if self.older is not None and (node.number + node.start_count) % 2:
            root = self.older
        self._processes.start(
            node.name, *arguments, f'{node.name}.ini', root=root
        )

    def process(self, node: Node) -> ManagedProcess:
        """Return the process of a node."""
        return self._processes.by_name[node.name]

    def kill(self, node: Node) -> None:
        """Kill a process and wait until it has exited."""
        process = self.process(node)
        process.send_signal(signal.SIGKILL)
        process.wait(_KILL_WAIT_SECONDS)
        self.write_settings(node, bootstrap=False)

    def wipe_disk(self, node: Node) -> None:
        """Delete the data folder of a killed directory process."""
        shutil.rmtree(self._data_folder(node), ignore_errors=True)

    def append_torn_write(self, node: Node) -> None:
        """Append the bytes of an incomplete write to the last log segment."""
        segments = sorted(self._data_folder(node).glob('segment-*'))
        if segments:
            with segments[-1].open('ab') as segment:
                segment.write(os.urandom(_TORN_BYTES))

    def change_seeds(self, first: int) -> None:
        """Write other seeds to every settings file; SIGHUP every other node."""
        count = len(self.directories)
        chosen = [self.directories[(first + n) % count] for n in range(2)]
        self._seeds = [node.proxy_ip for node in chosen]
        for number, node in enumerate(self.nodes):
            self.write_settings(node, bootstrap=False)
            if number % 2:
                self.process(node).send_signal(signal.SIGHUP)

    def write_settings(self, node: Node, *, bootstrap: bool) -> None:
        """Write the settings file of a node."""
        template = _DIRECTORY if node.program == 'directory' else _GATEWAY
        text = (_NODE + template).format(
            name=node.name,
            ip=node.ip,
            proxy_ip=node.proxy_ip,
            seeds=','.join(f'{ip}:{OPERATOR_PORT}' for ip in self._seeds),
            operator_port=OPERATOR_PORT,
            peer_port=PEER_PORT,
            caller_port=CALLER_PORT,
            ready_port=READY_PORT,
            notice_port=NOTICE_PORT,
            bootstrap='yes' if bootstrap else 'no',
            heartbeat=WORKER_HEARTBEAT,
            stop_limit=STOP_LIMIT,
        )
        path = self._processes.folder / f'{node.name}.ini'
        path.write_text(text)

    def check_running(self) -> None:
        """Report and restart processes that exited on their own."""
        for node in self.nodes:
            code = self.process(node).process.poll()
            if code is not None and not node.is_faulted:
                self.findings.report_violation(
                    'ENDED', f'{node.name} code {code}'
                )
                self.start_node(node)

    def check_logs(self) -> None:
        """Report the first traceback or unexpected error in each log."""
        for node in self.nodes:
            log = self._processes.folder / f'{node.name}.log'
            for line in log.read_text().splitlines():
                if not line.startswith('{') or 'unexpected' in line:
                    self.findings.report_violation(
                        'LOG', f'{node.name}: {line}'
                    )
                    break

    def _data_folder(self, node: Node) -> Path:
        return self._processes.folder / f'{node.name}-data'
