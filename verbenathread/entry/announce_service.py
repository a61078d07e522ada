"""POST /upstreams/v1/announce, /renew and /leave."""

import hashlib
import hmac
import http
import ipaddress
import json
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from verbenathread.entry.error_responses import HttpError
from verbenathread.entry.exchange import Exchange
from verbenathread.entry.interfaces import SharedSettings, Upstreams
from verbenathread.observability.logs import get_logger
from verbenathread.schema import settings_pb2
from verbenathread.types import (
    Address,
    UpstreamKind,
    UpstreamRecord,
    UpstreamState,
)

_RETRY_AFTER_MS = 1000
_RENEWALS_PER_LEASE = 3
_MAX_PORT = 65535
_ROLES = frozenset(('prefill', 'decode', 'both'))
_TYPE_BY_MEMBER: Mapping[str, type] = MappingProxyType(
    {'upstream_id': str, 'incarnation': int, 'service': str}
)

_log = get_logger('upstreams')


class AnnounceService:
    """Accepts the announcements of upstreams."""

    def __init__(self, settings: SharedSettings, upstreams: Upstreams) -> None:
        """Authenticate with ``settings`` and record in ``upstreams``."""
        self._settings = settings
        self._upstreams = upstreams

    def announce(self, exchange: Exchange) -> None:
        """Apply an announcement or a renewal; reply with the lease."""
        members = _parse_body(exchange)
        service = self._authenticated(exchange, members)
        record = _parse_record(members, service)
        current = self._upstreams.announce(record)
        if current.incarnation != record.incarnation or (
            current.state != UpstreamState.READY
        ):
            raise HttpError(
                http.HTTPStatus.CONFLICT,
                'outdated_incarnation',
                f'Incarnation {current.incarnation} of this upstream is '
                f'{current.state.name.lower()}; announce with a greater one.',
            )
        _reply(
            exchange,
            {
                'state': current.state.name.lower(),
                'incarnation': current.incarnation,
                'lease_ms': service.lease,
                'renew_every_ms': service.lease // _RENEWALS_PER_LEASE,
            },
        )

    def leave(self, exchange: Exchange) -> None:
        """Mark an upstream as leaving; reply once other entries have it."""
        members = _parse_body(exchange)
        self._authenticated(exchange, members)
        upstream_id = members['upstream_id']
        replicated = self._upstreams.leave(upstream_id, members['incarnation'])
        _log.info(
            'An upstream is leaving.', upstream=upstream_id, spread=replicated
        )
        if not replicated:
            raise HttpError(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'leave_not_spread',
                'This entry sends the upstream no new work, but could not '
                'reach other entries yet; send the leave again.',
                retry_after=_RETRY_AFTER_MS,
            )
        _reply(exchange, {'state': 'leaving'})

    def _authenticated(
        self, exchange: Exchange, members: Mapping[str, Any]
    ) -> settings_pb2.ServiceSettings:
        if self._settings.revision() == 0:
            raise HttpError(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'no_settings',
                'The entry has no shared settings yet; announce again.',
                retry_after=_RETRY_AFTER_MS,
            )
        service = self._settings.service(members['service'])
        digest = hashlib.sha256(exchange.bearer_key().encode()).hexdigest()
        expected = '' if service is None else service.announce_key_sha256
        # An unknown service gets the same response as a wrong key.
        if service is None or not hmac.compare_digest(digest, expected):
            raise HttpError(
                http.HTTPStatus.UNAUTHORIZED,
                'invalid_announce_key',
                'The bearer key is not the announce key of this service; '
                'send the key that the operators gave for it.',
            )
        return service


def _parse_body(exchange: Exchange) -> dict[str, Any]:
    try:
        members = json.loads(exchange.read_body())
    except (ValueError, RecursionError) as exc:
        raise _invalid('The body is not JSON; send a JSON object.') from exc
    if not isinstance(members, dict):
        raise _invalid('The body is not a JSON object; send one.')
    for name, kind in _TYPE_BY_MEMBER.items():
        member = members.get(name)
        if not isinstance(member, kind) or isinstance(member, bool):
            raise _invalid(f'"{name}" must be of type {kind.__name__}.')
    if not members['upstream_id'] or members['incarnation'] < 1:
        raise _invalid(
            '"upstream_id" must not be empty, "incarnation" must be positive.'
        )
    return members


def _parse_record(
    members: Mapping[str, Any], service: settings_pb2.ServiceSettings
) -> UpstreamRecord:
    models = members.get('models', [])
    if not isinstance(models, list):
        raise _invalid('"models" must be a list of strings.')
    role = members.get('role', 'both')
    if not isinstance(role, str) or role not in _ROLES:
        raise _invalid('"role" must be prefill, decode or both.')
    memory = members.get('memory_tokens', 0)
    if not isinstance(memory, int) or memory < 0:
        raise _invalid('"memory_tokens" must be a non-negative integer.')
    return UpstreamRecord(
        members['upstream_id'],
        members['incarnation'],
        UpstreamState.READY,
        0,
        members['service'],
        UpstreamKind(service.kind),
        _parse_address(members.get('address')),
        str(members.get('data_centre', '')),
        memory,
        tuple(str(model) for model in models),
        role,
    )


def _parse_address(text: Any) -> Address:
    host, _, port = str(text).rpartition(':')
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError as exc:
        raise _invalid('"address" must be an IP address and a port.') from exc
    if not 0 < number <= _MAX_PORT:
        raise _invalid('"address" must contain a port from 1 to 65535.')
    return Address(host, number)


def _invalid(message: str) -> HttpError:
    return HttpError(
        http.HTTPStatus.BAD_REQUEST, 'invalid_announcement', message
    )


def _reply(exchange: Exchange, members: Mapping[str, Any]) -> None:
    exchange.reply(http.HTTPStatus.OK, json.dumps(members).encode())
