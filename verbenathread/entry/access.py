"""Who calls, what they may call, and how long it may take."""

import http
from typing import NamedTuple

from verbenathread.clock import Clock
from verbenathread.entry.error_responses import HttpError
from verbenathread.entry.exchange import Exchange
from verbenathread.entry.interfaces import SharedSettings
from verbenathread.entry.request_state import Deadline
from verbenathread.schema import settings_pb2

TIME_LIMIT_HEADER = 'X-Time-Limit-Ms'
_RETRY_AFTER_MS = 1000
_ANY = '*'


class Account(NamedTuple):
    """A client account that called with a key of its own."""

    name: str
    settings: settings_pb2.AccountSettings

    def may_call(self, service: str) -> bool:
        """Return whether the account may call the service."""
        allowed = [part.strip() for part in self.settings.services.split(',')]
        return _ANY in allowed or service in allowed


def authenticate(settings: SharedSettings, exchange: Exchange) -> Account:
    """Return the account that owns the bearer key, or refuse with 401."""
    if settings.revision() == 0:
        raise HttpError(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            'no_settings',
            'The entry has no shared settings yet; send the request again.',
            retry_after=_RETRY_AFTER_MS,
        )
    found = settings.account_by_key(exchange.bearer_key())
    if found is None:
        raise HttpError(
            http.HTTPStatus.UNAUTHORIZED,
            'invalid_api_key',
            'The bearer key belongs to no client account; '
            'send "Authorization: Bearer KEY" with a valid key.',
        )
    return Account(*found)


def authorize_service(
    settings: SharedSettings, account: Account, name: str, kind: str
) -> settings_pb2.ServiceSettings:
    """Return a service that the account may call, or refuse with 404."""
    service = settings.service(name)
    known = service is not None and service.kind == kind
    if not known or not account.may_call(name):
        raise HttpError(
            http.HTTPStatus.NOT_FOUND,
            'model_not_found' if kind == 'model' else 'service_not_found',
            f'There is no {kind} service of this name for this account; '
            'GET /v1/models lists the models.',
        )
    assert service is not None
    return service


def request_deadline(
    exchange: Exchange, service: settings_pb2.ServiceSettings, clock: Clock
) -> Deadline:
    """Return when the request must be over, from the caller or the service."""
    text = exchange.headers.get(TIME_LIMIT_HEADER.lower(), '').strip()
    limit = service.time_limit
    if text:
        if not text.isascii() or not text.isdigit() or int(text) == 0:
            raise HttpError(
                http.HTTPStatus.BAD_REQUEST,
                'invalid_time_limit',
                f'{TIME_LIMIT_HEADER} must be a whole number of ms above 0.',
            )
        limit = int(text)
    limit = min(limit, service.longest_time_limit)
    return Deadline(clock, exchange.arrival + limit)
