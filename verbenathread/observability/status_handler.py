"""Readiness and metrics over HTTP for load balancers and Prometheus."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4

from verbenathread.http1.messages import Request
from verbenathread.http1.response import ResponseWriter

_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503
_TEXT = ((b'Content-Type', CONTENT_TYPE_PLAIN_0_0_4.encode()),)


class StatusHandler:
    """Handles GET /readyz and /metrics."""

    def __init__(
        self, registry: CollectorRegistry, unready_reason: Callable[[], str]
    ) -> None:
        """Export ``registry``; an empty reason means ready."""
        self._registry = registry
        self._unready_reason = unready_reason

    async def handle(self, request: Request, reply: ResponseWriter) -> None:
        """Handle one request."""
        if request.path == b'/readyz':
            reason = self._unready_reason()
            status = _UNAVAILABLE if reason else _OK
            reply.send(status, (), f'{reason or "ready"}\n'.encode())
        elif request.path == b'/metrics':
            reply.send(_OK, _TEXT, generate_latest(self._registry))
        else:
            reply.send(_NOT_FOUND, (), b'Ask for /readyz or /metrics.\n')
