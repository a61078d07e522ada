"""Records the outcomes of claimed calls, again and again until answered."""

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
_FIRST_TIMEOUT = 250
_FIRST_WAIT = 50
_LONGEST_WAIT = 5000
# Most outcomes kept while control is away; their claims turn to unknown.
_MOST_PENDING = 10_000
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
    # After this the claim has turned to unknown by itself.
    until: Millis


class Settler(RetryThread):
    """One thread that settles claims while callers have their answers."""

    def __init__(self, claims: Claims, clock: Clock) -> None:
        """Start nothing before :meth:`start`."""
        super().__init__('settler', clock)
        self._claims = claims
        self._pending: deque[_Pending] = deque()

    def settle(
        self, request: control_pb2.SettleRequest, keep_for: Millis
    ) -> None:
        """Record an outcome, trying for ``keep_for`` ms.

        The first try is made here and bounded, so that a caller who sends the
        call again finds the outcome; later ones are made by the thread.
        """
        until = self._clock.now() + keep_for
        if self._try(_Pending(request, until), _FIRST_TIMEOUT):
            return
        with self._changed:
            if len(self._pending) >= _MOST_PENDING:
                _log.error('Too many outcomes are not recorded; one is lost.')
                return
            self._pending.append(_Pending(request, until))
            self._changed.notify_all()

    def _run(self) -> None:
        wait = _FIRST_WAIT
        while True:
            with self._changed:
                while not self._pending and not self._stopping:
                    self._changed.wait()
                if self._stopping:
                    return
                pending = self._pending[0]
            if self._try(pending, _CALL_TIMEOUT):
                wait = _FIRST_WAIT
                self._done()
                continue
            with self._changed:
                self._changed.wait(seconds(wait))
            wait = min(wait * 2, _LONGEST_WAIT)

    def _try(self, pending: _Pending, limit: Millis) -> bool:
        if self._clock.now() > pending.until:
            _log.warning('An outcome could not be recorded in time.')
            return True
        try:
            reply = self._claims.settle(pending.request, limit)
        except (VerbenathreadError, OSError):
            return False
        except Exception:
            _log.exception('Recording an outcome failed.')
            return False
        return reply.answer.code in _FINAL_CODES

    def _done(self) -> None:
        with self._changed:
            self._pending.popleft()
            self._changed.notify_all()
