"""Readiness and metrics over HTTP, for balancers and Prometheus."""

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
    """Answers the balancer and whoever reads metrics."""

    def __init__(
        self, registry: CollectorRegistry, unready_reason: Callable[[], str]
    ) -> None:
        """Show ``registry``; an empty reason means ready."""
        self._registry = registry
        self._why_not_ready = unready_reason

    async def handle(self, request: Request, reply: ResponseWriter) -> None:
        """Answer one question."""
        if request.path == b'/readyz':
            fault = self._why_not_ready()
            status = _UNAVAILABLE if fault else _OK
            reply.send(status, (), f'{fault or "ready"}\n'.encode())
        elif request.path == b'/metrics':
            reply.send(_OK, _TEXT, generate_latest(self._registry))
        else:
            reply.send(_NOT_FOUND, (), b'Ask for /readyz or /metrics.\n')
