"""Server for GET /metrics, /healthz and /readyz on a separate port."""

import http
import threading
from collections.abc import Callable, Iterable
from typing import Any

from cheroot.wsgi import Server
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4

from verbenathread.types import Address

_THREADS = 2
_TEXT_TYPE = 'text/plain; charset=utf-8'
_StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class StatusServer:
    """Reports the health of a process to load balancers and operators."""

    def __init__(
        self,
        listen: Address,
        registry: CollectorRegistry,
        unready_reason: Callable[[], str],
    ) -> None:
        """Export ``registry``; an empty ``unready_reason`` means ready."""
        self._registry = registry
        self._unready_reason = unready_reason
        self._server = Server(
            (listen.host, listen.port), self._answer, numthreads=_THREADS
        )
        self._server.shutdown_timeout = 1
        self._thread = threading.Thread(
            target=self._server.serve, name='status', daemon=True
        )

    @property
    def address(self) -> Address:
        """Return the address that is listened on, with the actual port."""
        host, port = self._server.bind_addr[:2]
        return Address(host, port)

    def start(self) -> None:
        """Listen and serve in background threads."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop the server and join its thread."""
        self._server.stop()
        self._thread.join()

    def _answer(
        self, environment: dict[str, Any], start_response: _StartResponse
    ) -> Iterable[bytes]:
        status, content_type, content = self._content(environment['PATH_INFO'])
        headers = [
            ('Content-Type', content_type),
            ('Content-Length', str(len(content))),
        ]
        start_response(f'{status.value} {status.phrase}', headers)
        return (content,)

    def _content(self, path: str) -> tuple[http.HTTPStatus, str, bytes]:
        if path == '/metrics':
            content = generate_latest(self._registry)
            return http.HTTPStatus.OK, CONTENT_TYPE_PLAIN_0_0_4, content
        if path == '/healthz':
            return http.HTTPStatus.OK, _TEXT_TYPE, b'alive\n'
        if path != '/readyz':
            text = b'Ask for /metrics, /healthz or /readyz.\n'
            return http.HTTPStatus.NOT_FOUND, _TEXT_TYPE, text
        reason = self._unready_reason()
        if reason:
            text = f'{reason}\n'.encode()
            return http.HTTPStatus.SERVICE_UNAVAILABLE, _TEXT_TYPE, text
        return http.HTTPStatus.OK, _TEXT_TYPE, b'ready\n'
