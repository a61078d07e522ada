"""Links from one gateway to all workers, which can be cut."""

import enum
import socket

from tests.free_ports import free_tcp_port
from tools.local_cluster import LOOPBACK_NET
from tools.soak.loopback_proxy import LoopbackProxy
from verbenathread.serving.types import Worker
from verbenathread.types import Address

# No connection comes from this address and no other run of the tests uses it, so
# its ports stay free during a cut.
_HOST = f'{LOOPBACK_NET}.240'
# Connections that a full backlog of length 0 still takes.
_FILLERS = 4


class Cut(enum.Enum):
    """What a gateway sees of workers that it is cut off from."""

    REFUSED = 'connections are reset, new ones refused'
    SILENT = 'connections are silent, new ones never open'
    NEW_REFUSED = 'connections live on, new ones are refused'
    NEW_SILENT = 'connections live on, new ones never open'


class WorkerLinks:
    """A proxy for each worker, used by one gateway."""

    def __init__(self) -> None:
        """Start without any."""
        self._proxy_by_id: dict[str, LoopbackProxy] = {}
        # Proxies that do not listen.
        self._closed: set[LoopbackProxy] = set()
        self._silent_ports: list[socket.socket] = []
        self._cut: Cut | None = None

    async def through(self, worker: Worker) -> Worker:
        """Return the worker as the gateway reaches it."""
        proxy = self._proxy_by_id.get(worker.worker_id)
        if proxy is None:
            listen = Address(_HOST, free_tcp_port(_HOST))
            proxy = LoopbackProxy(listen, worker.address)
            self._proxy_by_id[worker.worker_id] = proxy
            if self._cut is None:
                await proxy.start()
            else:
                self._closed.add(proxy)
        return worker._replace(address=proxy.listen)

    async def cut(self, how: Cut) -> None:
        """Cut the links to all workers."""
        self._cut = how
        for proxy in tuple(self._proxy_by_id.values()):
            proxy.stop_listening()
            self._closed.add(proxy)
            if how is Cut.REFUSED:
                proxy.reset()
            elif how is Cut.SILENT:
                proxy.silence()
            if how in {Cut.SILENT, Cut.NEW_SILENT}:
                self._silent_ports.extend(_silent_port(proxy.listen))

    async def join(self) -> None:
        """End the cut."""
        self._cut = None
        self._close_silent_ports()
        while self._closed:
            await self._closed.pop().start()

    async def stop(self) -> None:
        """End every connection."""
        self._close_silent_ports()
        for proxy in tuple(self._proxy_by_id.values()):
            await proxy.stop()

    def _close_silent_ports(self) -> None:
        for port in self._silent_ports:
            port.close()
        self._silent_ports.clear()


def _silent_port(address: Address) -> list[socket.socket]:
    """Return sockets that keep new connections to ``address`` from opening."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(tuple(address))
    listener.listen(0)
    sockets = [listener]
    for _ in range(_FILLERS):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(tuple(address))
        sockets.append(filler)
    return sockets
