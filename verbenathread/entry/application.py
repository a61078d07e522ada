"""Routes requests of callers and upstreams to the services of an entry."""

import http
import uuid
from typing import NamedTuple

from verbenathread.entry.announce_service import AnnounceService
from verbenathread.entry.error_responses import HttpError
from verbenathread.entry.exchange import Exchange
from verbenathread.entry.http_server import overloaded_error
from verbenathread.entry.model_service import ModelService
from verbenathread.entry.plain_service import PlainService
from verbenathread.observability.logs import set_request_id
from verbenathread.observability.metrics import EntryMetrics

_PLAIN_ROOT = '/services/'
_UPSTREAM_ROOT = '/upstreams/v1/'
_RETRY_AFTER_MS = 1000
_POST = 'POST'
_GET = 'GET'


class Services(NamedTuple):
    """The service behind each group of paths."""

    models: ModelService
    plain: PlainService
    announce: AnnounceService


class Application:
    """Dispatches requests by path; refuses callers while the entry stops."""

    def __init__(self, services: Services, metrics: EntryMetrics) -> None:
        """Dispatch to ``services``."""
        self._services = services
        self._metrics = metrics
        self.stopping = False

    def handle(self, exchange: Exchange) -> None:
        """Serve one request; raise :class:`HttpError` to refuse it."""
        exchange.request_id = uuid.uuid4().hex
        set_request_id(exchange.request_id)
        try:
            self._route(exchange)
        except HttpError as error:
            self._metrics.refusals.labels(error.code).inc()
            raise

    def _route(self, exchange: Exchange) -> None:
        if exchange.path.startswith(_UPSTREAM_ROOT):
            self._route_upstream(exchange)
            return
        if self.stopping:
            raise HttpError(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'stopping',
                'The entry is stopping; send the request again.',
                retry_after=_RETRY_AFTER_MS,
            )
        if exchange.on_reserved_worker:
            raise overloaded_error()
        with self._metrics.streams.track_inprogress():
            self._route_caller(exchange)

    def _route_caller(self, exchange: Exchange) -> None:
        if exchange.path.startswith(_PLAIN_ROOT):
            self._services.plain.forward(exchange)
            return
        models = self._services.models
        match (exchange.method, exchange.path):
            case ('POST', '/v1/chat/completions'):
                models.complete(exchange, chat=True)
            case ('POST', '/v1/completions'):
                models.complete(exchange, chat=False)
            case ('GET', '/v1/models'):
                models.list_models(exchange)
            case _:
                raise _unknown_path()

    def _route_upstream(self, exchange: Exchange) -> None:
        announce = self._services.announce
        match (exchange.method, exchange.path):
            case ('POST', '/upstreams/v1/announce' | '/upstreams/v1/renew'):
                announce.announce(exchange)
            case ('POST', '/upstreams/v1/leave'):
                announce.leave(exchange)
            case _:
                raise _unknown_path()


def _unknown_path() -> HttpError:
    return HttpError(
        http.HTTPStatus.NOT_FOUND,
        'unknown_path',
        'Unknown path or method; see docs/CALLERS.md for the API.',
    )
