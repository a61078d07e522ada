"""Client for the engine interface over HTTP of docs/UPSTREAMS.md."""

import json
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from types import MappingProxyType
from typing import Any
from urllib.parse import quote

from verbenathread.clock import Clock
from verbenathread.entry.connections import (
    BrokenExchangeError,
    ConnectError,
    ConnectionPool,
    UpstreamExchange,
)
from verbenathread.entry.engine_client import (
    CacheEvent,
    EngineOrder,
    GenerateRequest,
    Hold,
    LoadReport,
    OrderState,
    Owner,
)
from verbenathread.entry.engine_errors import (
    EngineBrokenError,
    EngineNotRunError,
)
from verbenathread.entry.engine_stream import (
    HttpTokenStream,
    generate_body,
    read_ok_head,
)
from verbenathread.types import Address, Millis

_MAX_RESPONSE_BYTES = 1_073_741_824
_GET = 'GET'
_POST = 'POST'
_JSON_HEADERS = MappingProxyType({'Content-Type': 'application/json'})


class HttpEngineClient:
    """An :class:`EngineClient` over pooled connections."""

    def __init__(self, pool: ConnectionPool, clock: Clock) -> None:
        """Send requests over connections of ``pool``."""
        self._pool = pool
        self._clock = clock

    def generate(
        self, engine: Address, request: GenerateRequest, send_by: Millis
    ) -> HttpTokenStream:
        """Send the request of an attempt."""
        exchange = self._send(
            engine, _POST, '/v1/generate', generate_body(request), send_by
        )
        return HttpTokenStream(exchange, request.attempt_id, engine)

    def cancel(self, engine: Address, attempt_id: str, timeout: Millis) -> bool:
        """Cancel an attempt; return whether it still holds memory."""
        body = {'attempt_id': attempt_id}
        members = self._call(engine, _POST, '/v1/cancel', timeout, body)
        with _checked_members(engine):
            return bool(members['holds'])

    def holds(self, engine: Address, timeout: Millis) -> tuple[Hold, ...]:
        """Return the memory that the engine holds, by attempt."""
        members = self._call(engine, _GET, '/v1/holds', timeout)
        with _checked_members(engine):
            return tuple(_parse_hold(hold) for hold in members['holds'])

    def load(self, engine: Address, timeout: Millis) -> LoadReport:
        """Return the latest load report."""
        members = self._call(engine, _GET, '/v1/load', timeout)
        with _checked_members(engine):
            return LoadReport(
                members['number'],
                members['running'],
                members['waiting'],
                members['memory_tokens_free'],
                members['memory_tokens'],
                members['prefill_backlog'],
                members.get('prefill_rate', 0),
                members.get('decode_rate', 0),
            )

    def cache_events(
        self, engine: Address, after: int, timeout: Millis
    ) -> tuple[CacheEvent, ...]:
        """Return the cache events with numbers above ``after``."""
        path = f'/v1/cache-events?after={after}'
        members = self._call(engine, _GET, path, timeout)
        with _checked_members(engine):
            return tuple(
                _parse_cache_event(event) for event in members['events']
            )

    def export_kv(self, engine: Address, kv_id: str, timeout: Millis) -> bytes:
        """Return the exported KV cache of an attempt."""
        return self._exchange(engine, _GET, _kv_path(kv_id), timeout, None)

    def import_kv(
        self, engine: Address, kv_id: str, content: bytes, timeout: Millis
    ) -> None:
        """Import an exported KV cache."""
        self._exchange(engine, _POST, _kv_path(kv_id), timeout, content)

    def read_orders(self, engine: Address, timeout: Millis) -> OrderState:
        """Return the last ordered state of the engine."""
        members = self._call(engine, _GET, '/v1/orders', timeout)
        with _checked_members(engine):
            return _parse_order_state(members)

    def order(
        self, engine: Address, order: EngineOrder, timeout: Millis
    ) -> OrderState:
        """Send an order; return the state that the engine reports."""
        members = self._call(
            engine, _POST, '/v1/orders', timeout, order._asdict()
        )
        with _checked_members(engine):
            return _parse_order_state(members)

    def _send(
        self,
        engine: Address,
        method: str,
        path: str,
        content: bytes | None,
        deadline: Millis,
    ) -> UpstreamExchange:
        try:
            return self._pool.send(
                engine,
                method,
                path,
                deadline=deadline,
                body=content,
                headers=_JSON_HEADERS,
            )
        except ConnectError as exc:
            raise EngineNotRunError(str(exc)) from exc
        except BrokenExchangeError as exc:
            raise EngineBrokenError(str(exc)) from exc

    def _call(
        self,
        engine: Address,
        method: str,
        path: str,
        timeout: Millis,
        members: Mapping[str, Any] | None = None,
    ) -> dict[str, Any]:
        body = None
        if members is not None:
            body = json.dumps(members).encode()
        content = self._exchange(engine, method, path, timeout, body)
        try:
            response: dict[str, Any] = json.loads(content)
        except ValueError as exc:
            raise EngineBrokenError(f'{engine} sent invalid JSON.') from exc
        return response

    def _exchange(
        self,
        engine: Address,
        method: str,
        path: str,
        timeout: Millis,
        body: bytes | None,
    ) -> bytes:
        deadline = self._clock.now() + timeout
        exchange = self._send(engine, method, path, body, deadline)
        read_ok_head(exchange, engine, deadline)
        try:
            content = exchange.read_all(_MAX_RESPONSE_BYTES, deadline)
        except BrokenExchangeError as exc:
            exchange.close(clean=False)
            raise EngineBrokenError(str(exc)) from exc
        exchange.close(clean=True)
        return content


@contextmanager
def _checked_members(engine: Address) -> Iterator[None]:
    """Raise ``EngineBrokenError`` for a missing or invalid JSON member."""
    try:
        yield
    except (KeyError, TypeError, AttributeError) as exc:
        raise EngineBrokenError(f'{engine} sent a malformed response.') from exc


def _kv_path(kv_id: str) -> str:
    quoted = quote(kv_id, safe='')
    return f'/v1/kv/{quoted}'


def _parse_hold(members: Mapping[str, Any]) -> Hold:
    owner = Owner(members['owner']['node'], members['owner']['incarnation'])
    return Hold(members['attempt_id'], members['memory_tokens'], owner)


def _parse_cache_event(members: Mapping[str, Any]) -> CacheEvent:
    return CacheEvent(
        members['number'],
        members['event'] == 'stored',
        members['prefix_hash'],
        members['tokens'],
    )


def _parse_order_state(members: Mapping[str, Any]) -> OrderState:
    return OrderState(
        members['fencing'], tuple(members['models']), members['role']
    )
