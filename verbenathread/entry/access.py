"""Authentication, authorization and time limits of callers' requests."""

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
_ANY_SERVICE = '*'


class Account(NamedTuple):
    """The client account that sent a request."""

    name: str
    settings: settings_pb2.AccountSettings

    def may_call(self, service: str) -> bool:
        """Return whether the account may call the service."""
        allowed = [part.strip() for part in self.settings.services.split(',')]
        return _ANY_SERVICE in allowed or service in allowed


def authenticate(settings: SharedSettings, exchange: Exchange) -> Account:
    """Return the account that owns the bearer key.

    Raises :class:`HttpError`: 401 for an unknown key, 503 while the entry
    has no shared settings.
    """
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
    """Return the service called ``name``, or raise a 404 :class:`HttpError`.

    A service of another kind, or one that the account may not call, gets the
    same answer as one that does not exist.
    """
    service = settings.service(name)
    exists = service is not None and service.kind == kind
    if not exists or not account.may_call(name):
        raise HttpError(
            http.HTTPStatus.NOT_FOUND,
            'model_not_found' if kind == 'model' else 'service_not_found',
            f'This account has no {kind} service of this name; '
            'GET /v1/models lists the models.',
        )
    assert service is not None
    return service


def request_deadline(
    exchange: Exchange, service: settings_pb2.ServiceSettings, clock: Clock
) -> Deadline:
    """Return the deadline set by the caller, or else by the service.

    The service's longest time limit applies to both.
    """
    text = exchange.headers.get(TIME_LIMIT_HEADER.lower(), '').strip()
    limit = service.time_limit
    if text:
        if not text.isascii() or not text.isdigit() or int(text) == 0:
            raise HttpError(
                http.HTTPStatus.BAD_REQUEST,
                'invalid_time_limit',
                f'{TIME_LIMIT_HEADER} must be a positive integer, in ms.',
            )
        limit = int(text)
    limit = min(limit, service.longest_time_limit)
    return Deadline(clock, exchange.arrival + limit)
