"""Routes each request and starts its exchange."""

import asyncio
import contextlib
from types import MappingProxyType
from typing import Final

from verbenathread.clock import seconds
from verbenathread.gateway.context import GatewayContext
from verbenathread.gateway.exchange import Exchange
from verbenathread.gateway.progress import NO_PROGRESS, Progress
from verbenathread.gateway.reply import Reply
from verbenathread.gateway.request_log import RoutedRequest
from verbenathread.http1.messages import Request
from verbenathread.observability.logs import get_logger
from verbenathread.serving.dialect import BadRequest, CallerRequest
from verbenathread.serving.request_key import RequestIdentity
from verbenathread.serving.routes import (
    RouteMatch,
    UnknownKey,
    UnknownRoute,
    pick_service,
)
from verbenathread.types import Millis

_log = get_logger('gateway')

_BAD_REQUEST = 400
_UNAUTHORIZED = 401
_NOT_FOUND = 404
_UNAVAILABLE = 503
# A starting gateway receives its configuration within a second unless the
# directory is unavailable, so requests that arrive earlier wait for it.
_CONFIG_WAIT: Millis = 2000
# The wait is limited to the caller's time divided by this, which leaves time
# for a retry.
_WAIT_DIVISOR = 4
_POLL_INTERVAL: Millis = 20
# After a restart of all nodes the directory elects a leader within 2 s; a
# caller that retries after that finds a working gateway.
_NO_CONFIG_RETRY_AFTER: Millis = 2000
# Other gateways serve the request at once.
_STOP_RETRY_AFTER: Millis = 10
_REJECTION_BY_TYPE: Final = MappingProxyType(
    {
        UnknownRoute: (_NOT_FOUND, 'no route serves this host and path'),
        UnknownKey: (_UNAUTHORIZED, 'no client account holds this key'),
    }
)


class GatewayHandler:
    """Handles callers' requests."""

    def __init__(self, context: GatewayContext) -> None:
        """Serve requests with ``context``."""
        self._context = context
        # Set late in a planned stop: when the process ends what still runs.
        self.ends_at: Millis | None = None
        self._exchanges: set[Exchange] = set()

    async def handle(
        self, request: Request, reply: Reply, progress: Progress = NO_PROGRESS
    ) -> None:
        """Handle one request, which another gateway may have handed over."""
        context = self._context
        caller = context.dialect.parse_request(request)
        if isinstance(caller, BadRequest):
            self._reject('', _BAD_REQUEST, caller.message, reply)
            return
        if context.view.table is None:
            await self._wait_for_config(request, caller)
        table = context.view.table
        if table is None:
            self._reject(
                caller.attempt_id,
                _UNAVAILABLE,
                'no configuration is known yet',
                reply,
                _NO_CONFIG_RETRY_AFTER,
            )
            return
        match = table.match(caller.host, caller.path, caller.key)
        if not isinstance(match, RouteMatch):
            status, message = _REJECTION_BY_TYPE[type(match)]
            self._reject(caller.attempt_id, status, message, reply)
            return
        routed = self._route(request, caller, match)._replace(progress=progress)
        if self.ends_at is not None and routed.deadline > self.ends_at:
            # Callers whose stream began before the stop were not told that the
            # connection closes, and go on using it.
            self._reject(
                caller.attempt_id,
                _UNAVAILABLE,
                'this gateway may stop before the request ends',
                reply,
                _STOP_RETRY_AFTER,
            )
            return
        context.retry_budget.record_request(
            routed.service.name, request.received_at
        )
        exchange = Exchange(context, routed, reply)
        self._exchanges.add(exchange)
        with contextlib.ExitStack() as stack:
            stack.callback(self._exchanges.discard, exchange)
            await exchange.run()

    def end_exchanges(self) -> None:
        """Answer every request in progress, as the process ends now."""
        for exchange in tuple(self._exchanges):
            exchange.stop()

    async def _wait_for_config(
        self, request: Request, caller: CallerRequest
    ) -> None:
        """Wait briefly: the directory may be starting at the same time."""
        limit = _CONFIG_WAIT
        if caller.time_left is not None:
            limit = min(limit, caller.time_left // _WAIT_DIVISOR)
        until = request.received_at + limit
        context = self._context
        while context.view.table is None and context.clock.now() < until:
            await asyncio.sleep(seconds(_POLL_INTERVAL))

    def _route(
        self, request: Request, caller: CallerRequest, match: RouteMatch
    ) -> RoutedRequest:
        table = self._context.view.table
        assert table is not None
        route = match.route
        service = table.config.service_by_name[
            pick_service(route, caller.attempt_id)
        ]
        limit = route.time_limit
        if caller.time_left is not None:
            limit = min(limit, caller.time_left)
        account = match.account
        prompt = caller.prompt
        identity = RequestIdentity(
            request,
            '' if account is None else account.name,
            () if prompt is None else prompt.shared_parts,
        )
        return RoutedRequest(
            request,
            caller,
            match,
            service,
            request.received_at + limit,
            identity,
        )

    def _reject(
        self,
        attempt_id: str,
        status: int,
        message: str,
        reply: Reply,
        retry_after: Millis | None = None,
    ) -> None:
        context = self._context
        context.metrics.requests.labels('rejected').inc()
        _log.info(
            'A request was rejected.',
            request_id=attempt_id,
            status=status,
            reason=message,
            config=context.view.config_version,
        )
        headers = context.dialect.refusal_headers(attempt_id, retry_after)
        reply.send(status, headers, f'{message}\n'.encode())
