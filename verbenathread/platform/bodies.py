"""Decodes the platform's JSON bodies into internal types."""

import json
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final

from verbenathread.exceptions import SettingsError
from verbenathread.serving.types import (
    ClientAccount,
    ClientLimits,
    EngineModel,
    RequestKind,
    Route,
    ServiceSpec,
    ServingConfig,
    Target,
)

_KIND_BY_NAME: Final = MappingProxyType(
    {
        'idempotent': RequestKind.IDEMPOTENT,
        'non_idempotent': RequestKind.AT_MOST_ONCE,
        'streaming': RequestKind.STREAM,
    }
)
_MS_PER_SECOND: Final = 1000
# In the order of the fields of ClientLimits.
_LIMIT_DEFAULTS: Final = (
    ('max-header-bytes', 16384),
    ('max-body-bytes', 4194304),
    ('header-timeout-ms', 3000),
    ('idle-timeout-ms', 15000),
)


# Raised by decoding a body with missing fields or values of the wrong type.
MALFORMED_BODY_ERRORS: Final = (KeyError, TypeError, ValueError, AttributeError)


class InvalidBodyError(SettingsError):
    """A JSON body is invalid; the message states the reason."""


def decode_config(body: bytes) -> ServingConfig:
    """Decode and validate a configuration; raises InvalidBodyError."""
    document = read_object(body)
    try:
        config = _decode_config(document)
    except MALFORMED_BODY_ERRORS as error:
        raise InvalidBodyError(
            f'the configuration has a missing or invalid field: {error!r}'
        )
    _check_routes(config)
    return config


def read_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object in ``body``; raises InvalidBodyError."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        raise InvalidBodyError('the body is not valid JSON')
    if not isinstance(document, dict):
        raise InvalidBodyError('the body is not a JSON object')
    return document


def _decode_config(document: Mapping[str, Any]) -> ServingConfig:
    version = read_integer(document['version'])
    service_by_name = {}
    for service in document['services']:
        spec = _decode_service(service)
        service_by_name[spec.name] = spec
    routes = tuple(_decode_route(route) for route in document['routes'])
    limits = document.get('limits') or {}
    numbers = [
        read_integer(limits.get(name, default))
        for name, default in _LIMIT_DEFAULTS
    ]
    return ServingConfig(
        version=version,
        routes=routes,
        service_by_name=service_by_name,
        limits=ClientLimits(*numbers),
        account_by_key=_decode_accounts(document.get('tenants')),
    )


def _decode_service(fields: Mapping[str, Any]) -> ServiceSpec:
    engine = fields.get('engine')
    return ServiceSpec(
        name=read_text(fields['name']),
        engine=_decode_engine(engine) if engine else None,
    )


def _decode_engine(fields: Mapping[str, Any]) -> EngineModel:
    return EngineModel(
        slots=int(fields['slots']),
        memory_tokens=int(fields['kv-capacity-tokens']),
        stride=int(fields.get('stride') or 1),
        step_ms=float(fields['step_ms']),
        sequence_ms=float(fields['per_seq_ms']),
        context_ms=float(fields['context_per_k']),
        prefill_tokens_per_ms=float(fields['read_per_s']) / _MS_PER_SECOND,
        attention_ms=float(fields.get('pairs_per_m') or 0),
    )


def _decode_route(fields: Mapping[str, Any]) -> Route:
    split = fields.get('traffic-split')
    if split:
        targets = tuple(
            Target(read_text(part['service']), read_integer(part['weight']))
            for part in split
        )
    else:
        targets = (Target(read_text(fields['service']), 1),)
    return Route(
        name=read_text(fields['name']),
        host=read_text(fields['host']).lower(),
        prefix=read_text(fields['path-prefix']),
        kind=_KIND_BY_NAME[fields['kind']],
        time_limit=read_integer(fields['timeout-ms']),
        target_latency=int(fields.get('target-latency-ms') or 0),
        priority=int(fields.get('priority') or 0),
        targets=targets,
        max_attempts=max(1, int(fields.get('attempts') or 1)),
        public=bool(fields.get('public')),
        resumable=bool(fields.get('resumable')),
        target_pause=int(fields.get('target-gap-ms') or 0),
    )


def _decode_accounts(tenants: Any) -> Mapping[str, ClientAccount] | None:
    if not tenants:
        return None
    account_by_key: dict[str, ClientAccount] = {}
    for tenant in tenants:
        priority = tenant.get('priority')
        account = ClientAccount(
            read_text(tenant['name']),
            None if priority is None else int(priority),
        )
        for key in tenant['api-keys']:
            other = account_by_key.setdefault(read_text(key), account)
            if other is not account:
                raise InvalidBodyError(
                    f'{account.name} and {other.name} share a key; give each'
                    ' its own'
                )
    return account_by_key


def _check_routes(config: ServingConfig) -> None:
    matches = set()
    for route in config.routes:
        match = (route.host, route.prefix)
        if match in matches:
            raise InvalidBodyError(
                f'{route.name}: another route has the same host and prefix'
            )
        matches.add(match)
        error = _route_error(route, config.service_by_name)
        if error:
            raise InvalidBodyError(f'{route.name}: {error}')


def _route_error(
    route: Route, service_by_name: Mapping[str, ServiceSpec]
) -> str:
    if route.time_limit <= 0:
        return 'its timeout-ms must be greater than 0'
    weights = [target.weight for target in route.targets]
    if min(weights) < 0 or not sum(weights):
        return 'its weights add up to 0 or one is negative'
    for target in route.targets:
        if target.service not in service_by_name:
            return f'there is no service {target.service}'
    return ''


def read_text(value: Any) -> str:
    """Return ``value`` if it is a non-empty string; raises TypeError."""
    if not isinstance(value, str) or not value:
        raise TypeError(f'{value!r} is not a non-empty string')
    return value


def read_integer(value: Any) -> int:
    """Return ``value`` if it is an integer; raises TypeError."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f'{value!r} is not an integer')
    return value
