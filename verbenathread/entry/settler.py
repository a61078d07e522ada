"""Records the outcomes of claimed calls, with retries until confirmed."""

from collections import deque
from typing import NamedTuple

from verbenathread.clock import Clock, seconds
from verbenathread.entry.interfaces import Claims
from verbenathread.entry.retry_thread import RetryThread
from verbenathread.exceptions import VerbenathreadError
from verbenathread.observability.logs import get_logger
from verbenathread.schema import control_pb2
from verbenathread.types import Millis

# Times in ms.
_CALL_TIMEOUT = 2000
_FIRST_CALL_TIMEOUT = 250
_MIN_BACKOFF = 50
_MAX_BACKOFF = 5000
# Maximum outcomes queued while control is unreachable. The claims of those
# that are dropped become unknown.
_MAX_PENDING = 10_000
_FINAL_CODES = frozenset(
    (
        control_pb2.OK,
        control_pb2.CONFLICT,
        control_pb2.INVALID,
        control_pb2.DENIED,
        control_pb2.NOT_FOUND,
    )
)

_log = get_logger('claims')


class _Pending(NamedTuple):
    request: control_pb2.SettleRequest
    # By then control has marked the claim as unknown.
    expires_at: Millis


class Settler(RetryThread):
    """Settles claims; a thread retries those that control has not confirmed."""

    def __init__(self, claims: Claims, clock: Clock) -> None:
        """Create the thread, which does not run before :meth:`start`."""
        super().__init__('settler', clock)
        self._claims = claims
        self._pending: deque[_Pending] = deque()

    def settle(
        self, request: control_pb2.SettleRequest, keep_for: Millis
    ) -> None:
        """Record an outcome, with retries for ``keep_for`` ms.

        The first attempt is synchronous, with a short timeout, so that a
        caller who sends the call again finds the outcome. The thread makes
        the retries.
        """
        expires_at = self._clock.now() + keep_for
        if self._try_settle(_Pending(request, expires_at), _FIRST_CALL_TIMEOUT):
            return
        with self._changed:
            if len(self._pending) >= _MAX_PENDING:
                _log.error('Queue of unrecorded outcomes full; dropping one.')
                return
            self._pending.append(_Pending(request, expires_at))
            self._changed.notify_all()

    def _run(self) -> None:
        backoff = _MIN_BACKOFF
        while True:
            with self._changed:
                while not self._pending and not self._stopping:
                    self._changed.wait()
                if self._stopping:
                    return
                pending = self._pending[0]
            if self._try_settle(pending, _CALL_TIMEOUT):
                backoff = _MIN_BACKOFF
                self._remove_first()
                continue
            with self._changed:
                self._changed.wait(seconds(backoff))
            backoff = min(backoff * 2, _MAX_BACKOFF)

    def _try_settle(self, pending: _Pending, limit: Millis) -> bool:
        """Return whether no further attempt is needed."""
        if self._clock.now() > pending.expires_at:
            _log.warning('Recording an outcome timed out.')
            return True
        try:
            reply = self._claims.settle(pending.request, limit)
        except (VerbenathreadError, OSError):
            return False
        except Exception:
            _log.exception('Recording an outcome failed.')
            return False
        return reply.answer.code in _FINAL_CODES

    def _remove_first(self) -> None:
        with self._changed:
            self._pending.popleft()
            self._changed.notify_all()
