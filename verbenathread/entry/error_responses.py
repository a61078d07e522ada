"""Error responses to callers, in the format that client libraries parse."""

import enum
import http
import json
from types import MappingProxyType

from verbenathread.clock import MS_PER_SECOND
from verbenathread.exceptions import VerbenathreadError
from verbenathread.types import Refusal, RefusalReason

JSON_TYPE = 'application/json'


class RunState(enum.Enum):
    """Whether a call took effect, as reported to the caller."""

    RUN = 'run'
    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'


class HttpError(VerbenathreadError):
    """A final error response; the message says what the caller can do.

    ``retry_after`` is in ms, 0 if a retry would not help.
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        *,
        run_state: RunState = RunState.NOT_RUN,
        retry_after: int = 0,
    ) -> None:
        """Store the parts of the response."""
        super().__init__(message)
        self.status = status
        self.code = code
        self.run_state = run_state
        self.retry_after = retry_after

    def body(self, request_id: str = '') -> bytes:
        """Return the JSON body of the response."""
        error = {
            'message': str(self),
            'type': _error_type(self.status),
            'param': None,
            'code': self.code,
            'run_state': self.run_state.value,
            'retry_after_ms': self.retry_after or None,
            'request_id': request_id or None,
        }
        return json.dumps({'error': error}).encode()

    def headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers of the response except those of its content."""
        headers = [('X-Run-State', self.run_state.value)]
        if self.retry_after:
            headers.append(('Retry-After', str(ceil_seconds(self.retry_after))))
        if self.status == http.HTTPStatus.UNAUTHORIZED:
            headers.append(('WWW-Authenticate', 'Bearer'))
        return tuple(headers)


_STATUS_BY_REASON = MappingProxyType(
    {
        RefusalReason.ACCOUNT_LIMIT: http.HTTPStatus.TOO_MANY_REQUESTS,
        RefusalReason.TOO_LONG: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    }
)


def refusal_error(
    refusal: Refusal, run_state: RunState = RunState.NOT_RUN
) -> HttpError:
    """Return the error response for a refusal by the scheduler."""
    status = _STATUS_BY_REASON.get(
        refusal.reason, http.HTTPStatus.SERVICE_UNAVAILABLE
    )
    return HttpError(
        status,
        refusal.reason.value,
        refusal.message,
        run_state=run_state,
        retry_after=refusal.retry_after,
    )


def ceil_seconds(duration: int) -> int:
    """Return ``duration`` ms in seconds, rounded up and at least one."""
    return max(1, -(-duration // MS_PER_SECOND))


def status_line(status: int) -> bytes:
    """Return status code and reason phrase of the status line."""
    return f'{status} {http.HTTPStatus(status).phrase}'.encode()


def _error_type(status: int) -> str:
    if status == http.HTTPStatus.UNAUTHORIZED:
        return 'authentication_error'
    if status == http.HTTPStatus.TOO_MANY_REQUESTS:
        return 'rate_limit_error'
    if status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
        return 'invalid_request_error'
    return 'server_error'
