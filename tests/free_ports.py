"""Ports that are free on loopback.

Connections come from 127.0.0.1. A listener that is started later, or again, needs
a host of its own: the kernel may have given its port to a connection meanwhile.
"""

import socket

from verbenathread.types import Address


def free_udp_port(host: str) -> int:
    """Return a port that is free for UDP and for TCP."""
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind((host, 0))
            port: int = probe.getsockname()[1]
            with socket.socket() as listener:
                if not _is_bound(listener, Address(host, port)):
                    continue
            return port


def free_tcp_port(host: str) -> int:
    """Return a port that is free for TCP."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
        return port


def _is_bound(listener: socket.socket, address: Address) -> bool:
    """Bind ``listener``; return False if the port is taken."""
    try:
        listener.bind(tuple(address))
    except OSError:
        return False
    return True
