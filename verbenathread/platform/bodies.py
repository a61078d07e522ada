"""JSON bodies of the platform, decoded once into the product's types."""

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
_LIMIT_DEFAULTS: Final = (
    ('max-header-bytes', 16384),
    ('max-body-bytes', 4194304),
    ('header-timeout-ms', 3000),
    ('idle-timeout-ms', 15000),
)


# What reading a body of other types or with fewer fields raises.
MALFORMED_BODY_ERRORS: Final = (KeyError, TypeError, ValueError, AttributeError)


class InvalidBodyError(SettingsError):
    """A body that can't be taken, and why."""


def decode_config(body: bytes) -> ServingConfig:
    """Read and check a configuration; raises InvalidBodyError."""
    whole = read_object(body)
    try:
        config = _decode_config(whole)
    except MALFORMED_BODY_ERRORS as error:
        raise InvalidBodyError(
            f'the configuration lacks a field or holds another type: {error!r}'
        )
    _check_routes(config)
    return config


def read_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object in ``body``; raises InvalidBodyError."""
    try:
        whole = json.loads(body)
    except (ValueError, RecursionError):
        raise InvalidBodyError('the body is no whole JSON')
    if not isinstance(whole, dict):
        raise InvalidBodyError('the body is no JSON object')
    return whole


def _decode_config(whole: Mapping[str, Any]) -> ServingConfig:
    version = read_integer(whole['version'])
    service_by_name = {}
    for service in whole['services']:
        spec = _decode_service(service)
        service_by_name[spec.name] = spec
    routes = tuple(_decode_route(route) for route in whole['routes'])
    limits = whole.get('limits') or {}
    numbers = [
        read_integer(limits.get(name, usual)) for name, usual in _LIMIT_DEFAULTS
    ]
    return ServingConfig(
        version=version,
        routes=routes,
        service_by_name=service_by_name,
        limits=ClientLimits(*numbers),
        account_by_key=_decode_accounts(whole.get('tenants')),
    )


def _decode_service(said: Mapping[str, Any]) -> ServiceSpec:
    engine = said.get('engine')
    return ServiceSpec(
        name=read_text(said['name']),
        engine=_decode_engine(engine) if engine else None,
    )


def _decode_engine(said: Mapping[str, Any]) -> EngineModel:
    return EngineModel(
        slots=int(said['slots']),
        memory_tokens=int(said['kv-capacity-tokens']),
        stride=int(said.get('stride') or 1),
        step_ms=float(said['step_ms']),
        sequence_ms=float(said['per_seq_ms']),
        context_ms=float(said['context_per_k']),
        prefill_tokens_per_ms=float(said['read_per_s']) / _MS_PER_SECOND,
        attention_ms=float(said.get('pairs_per_m') or 0),
    )


def _decode_route(said: Mapping[str, Any]) -> Route:
    split = said.get('traffic-split')
    if split:
        targets = tuple(
            Target(read_text(part['service']), read_integer(part['weight']))
            for part in split
        )
    else:
        targets = (Target(read_text(said['service']), 1),)
    return Route(
        name=read_text(said['name']),
        host=read_text(said['host']).lower(),
        prefix=read_text(said['path-prefix']),
        kind=_KIND_BY_NAME[said['kind']],
        time_limit=read_integer(said['timeout-ms']),
        target_latency=int(said.get('target-latency-ms') or 0),
        priority=int(said.get('priority') or 0),
        targets=targets,
        max_attempts=max(1, int(said.get('attempts') or 1)),
        public=bool(said.get('public')),
        resumable=bool(said.get('resumable')),
        target_pause=int(said.get('target-gap-ms') or 0),
    )


def _decode_accounts(said: Any) -> Mapping[str, ClientAccount] | None:
    if not said:
        return None
    account_by_key: dict[str, ClientAccount] = {}
    for tenant in said:
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
    places = set()
    for route in config.routes:
        place = (route.host, route.prefix)
        if place in places:
            raise InvalidBodyError(
                f'{route.name}: another route has its host and prefix'
            )
        places.add(place)
        fault = _route_error(route, config.service_by_name)
        if fault:
            raise InvalidBodyError(f'{route.name}: {fault}')


def _route_error(route: Route, known: Mapping[str, ServiceSpec]) -> str:
    if route.time_limit <= 0:
        return 'its time limit is 0; give it some ms'
    weights = [target.weight for target in route.targets]
    if min(weights) < 0 or not sum(weights):
        return 'its weights add up to 0 or one is negative'
    for target in route.targets:
        if target.service not in known:
            return f'there is no service {target.service}'
    return ''


def read_text(said: Any) -> str:
    """Return a text that is not empty; raises TypeError."""
    if not isinstance(said, str) or not said:
        raise TypeError(f'{said!r} is no text')
    return said


def read_integer(said: Any) -> int:
    """Return a whole number; raises TypeError."""
    if isinstance(said, bool) or not isinstance(said, int):
        raise TypeError(f'{said!r} is no whole number')
    return said
