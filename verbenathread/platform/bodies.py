"""Decodes the platform's JSON bodies into internal types."""

import json
import math
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
from verbenathread.types import Millis

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


# Longest time, some 24 days: messages between gateways carry 32 bits.
_MAX_MILLIS: Final = 0x7FFFFFFF
# The log keeps versions as 64-bit integers.
_MAX_VERSION: Final = (1 << 63) - 1  # noqa: WPS432

# Raised by decoding a body with missing fields or values of the wrong type.
MALFORMED_BODY_ERRORS: Final = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
)


class InvalidBodyError(SettingsError):
    """A JSON body is invalid; the message states the reason."""


def decode_new_config(body: bytes) -> ServingConfig:
    """Decode and validate an operator's configuration.

    Raises InvalidBodyError, also for values that could be taken for others.
    """
    config = decode_config(body)
    if not 1 <= config.version <= _MAX_VERSION:
        raise InvalidBodyError(
            f'the version {config.version} is out of range; begin with 1'
        )
    document = read_object(body)
    if not isinstance(document.get('tenants', []), list):
        raise InvalidBodyError(
            'tenants is not a list; leave it out to serve requests without'
            ' keys, or send an empty list to refuse them'
        )
    for tenant in document.get('tenants', ()):
        if not isinstance(tenant['api-keys'], list):
            raise InvalidBodyError(f'{tenant["name"]}: api-keys is not a list')
    for route in document['routes']:
        error = _ambiguity_of(route)
        if error:
            raise InvalidBodyError(f'{route["name"]}: {error}')
    return config


def decode_config(body: bytes) -> ServingConfig:
    """Decode a configuration; raises InvalidBodyError.

    Values that could be taken for others, which earlier versions accepted,
    open nothing.
    """
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
        account_by_key=(
            _decode_accounts(document['tenants'] or ())
            if 'tenants' in document
            else None
        ),
    )


def _decode_service(fields: Mapping[str, Any]) -> ServiceSpec:
    engine = fields.get('engine')
    return ServiceSpec(
        name=read_text(fields['name']),
        engine=_decode_engine(engine) if engine else None,
    )


def _decode_engine(fields: Mapping[str, Any]) -> EngineModel:
    return EngineModel(
        slots=int(_read_positive(fields['slots'])),
        memory_tokens=int(_read_positive(fields['kv-capacity-tokens'])),
        stride=int(_read_positive(fields.get('stride') or 1)),
        step_ms=_read_positive(fields['step_ms']),
        sequence_ms=_read_amount(fields['per_seq_ms']),
        context_ms=_read_amount(fields['context_per_k']),
        prefill_tokens_per_ms=_read_positive(fields['read_per_s'])
        / _MS_PER_SECOND,
        attention_ms=_read_amount(fields.get('pairs_per_m') or 0),
    )


def _read_amount(field: Any) -> float:
    """Return a finite number of at least 0; raises ValueError."""
    amount = float(field)
    if amount < 0 or not math.isfinite(amount):
        raise ValueError(f'{field!r} is negative or no finite number')
    return amount


def _read_positive(field: Any) -> float:
    """Return a finite number that is greater than 0; raises ValueError."""
    amount = _read_amount(field)
    if not amount:
        raise ValueError('a rate, size or duration of an engine is 0')
    return amount


def _read_time(field: Any) -> Millis:
    """Return a target that messages can carry; 0 if there is none."""
    return min(max(0, int(field or 0)), _MAX_MILLIS)


def _decode_route(fields: Mapping[str, Any]) -> Route:
    split = fields.get('traffic-split')
    attempts = fields.get('attempts')
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
        time_limit=min(read_integer(fields['timeout-ms']), _MAX_MILLIS),
        target_latency=_read_time(fields.get('target-latency-ms')),
        priority=int(fields.get('priority') or 0),
        targets=targets,
        max_attempts=1 if attempts is None else max(0, int(attempts)),
        public=fields.get('public') is True,
        resumable=fields.get('resumable') is True,
        target_pause=_read_time(fields.get('target-gap-ms')),
    )


def _decode_accounts(tenants: Any) -> Mapping[str, ClientAccount]:
    """Return the accounts by key; no key is good if there are none."""
    account_by_key: dict[str, ClientAccount] = {}
    for tenant in tenants:
        priority = tenant.get('priority')
        account = ClientAccount(
            read_text(tenant['name']),
            None if priority is None else int(priority),
        )
        keys = tenant['api-keys']
        for key in keys if isinstance(keys, list) else ():
            other = account_by_key.setdefault(read_text(key), account)
            if other is not account:
                raise InvalidBodyError(
                    f'{account.name} and {other.name} share a key; give each'
                    ' its own'
                )
    return account_by_key


def _ambiguity_of(route: Mapping[str, Any]) -> str:
    """Return which value of a route could be taken for another, if any."""
    for name in ('public', 'resumable'):
        if not isinstance(route.get(name), bool | None):
            return f'{name} must be true or false'
    split = route.get('traffic-split')
    if split is not None and not split:
        return 'its traffic-split is empty; name a service and its weight'
    if int(route.get('attempts') or 0) < 0:
        return 'its attempts must not be negative'
    return ''


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
