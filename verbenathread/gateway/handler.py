"""Takes a request from its connection to its exchange."""

import asyncio
from types import MappingProxyType
from typing import Final

from verbenathread.clock import seconds
from verbenathread.gateway.context import GatewayContext
from verbenathread.gateway.exchange import Exchange, RoutedRequest
from verbenathread.http1.messages import Request
from verbenathread.http1.response import ResponseWriter
from verbenathread.observability.logs import get_logger
from verbenathread.serving.dialect import BadRequest, CallerRequest
from verbenathread.serving.routes import (
    RouteMatch,
    UnknownKey,
    UnknownRoute,
    pick_service,
)
from verbenathread.types import Millis

_log = get_logger('gateway')

_BAD_REQUEST = 400
_NO_KEY = 401
_NOT_FOUND = 404
_UNAVAILABLE = 503
# A gateway that starts has its configuration within a second, unless the
# directory is away; a request that finds it first is served after all.
_CONFIG_WAIT: Millis = 2000
# At most this part of the caller's time: the rest is for another try.
_WAIT_PART = 4
_LOOK_EVERY: Millis = 20
# After a restart of all nodes the directory elects a leader within 2 s; a
# caller that comes back then finds a gateway that serves.
_NO_CONFIG_AGAIN: Millis = 2000
_REFUSAL_BY_TYPE: Final = MappingProxyType(
    {
        UnknownRoute: (_NOT_FOUND, 'no route serves this host and path'),
        UnknownKey: (_NO_KEY, 'no client account holds this key'),
    }
)


class GatewayHandler:
    """Answers callers."""

    def __init__(self, parts: GatewayContext) -> None:
        """Serve with ``parts``."""
        self._parts = parts

    async def handle(self, request: Request, reply: ResponseWriter) -> None:
        """Answer one request."""
        parts = self._parts
        caller = parts.dialect.parse_request(request)
        if isinstance(caller, BadRequest):
            self._refuse('', _BAD_REQUEST, caller.message, reply)
            return
        if parts.view.table is None:
            await self._wait_for_config(request, caller)
        table = parts.view.table
        if table is None:
            self._refuse(
                caller.attempt_id,
                _UNAVAILABLE,
                'no configuration is known yet',
                reply,
                _NO_CONFIG_AGAIN,
            )
            return
        matched = table.match(caller.host, caller.path, caller.key)
        if not isinstance(matched, RouteMatch):
            status, message = _REFUSAL_BY_TYPE[type(matched)]
            self._refuse(caller.attempt_id, status, message, reply)
            return
        job = self._job(request, caller, matched)
        parts.retry_budget.record_request(job.service.name, request.received_at)
        await Exchange(parts, job, reply).run()

    async def _wait_for_config(
        self, request: Request, caller: CallerRequest
    ) -> None:
        """Give the directory a moment: it starts at the same time as we."""
        limit = _CONFIG_WAIT
        if caller.time_left is not None:
            limit = min(limit, caller.time_left // _WAIT_PART)
        until = request.received_at + limit
        parts = self._parts
        while parts.view.table is None and parts.clock.now() < until:
            await asyncio.sleep(seconds(_LOOK_EVERY))

    def _job(
        self, request: Request, caller: CallerRequest, matched: RouteMatch
    ) -> RoutedRequest:
        table = self._parts.view.table
        assert table is not None
        route = matched.route
        service = table.config.service_by_name[
            pick_service(route, caller.attempt_id)
        ]
        limit = route.time_limit
        if caller.time_left is not None:
            limit = min(limit, caller.time_left)
        return RoutedRequest(
            request, caller, matched, service, request.received_at + limit
        )

    def _refuse(
        self,
        attempt_id: str,
        status: int,
        message: str,
        reply: ResponseWriter,
        retry_after: Millis | None = None,
    ) -> None:
        parts = self._parts
        parts.metrics.requests.labels('rejected').inc()
        _log.info(
            'A request is rejected.',
            request_id=attempt_id,
            status=status,
            reason=message,
            config=parts.view.config_version,
        )
        headers = parts.dialect.refusal_headers(attempt_id, retry_after)
        reply.send(status, headers, f'{message}\n'.encode())
