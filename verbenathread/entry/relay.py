"""Relays one model request, over as many attempts as it takes.

Tokens are numbered by position across all attempts: a chunk that was relayed
before is dropped, and a gap fails the attempt. After a failed attempt another
engine resumes from the next token.
"""

import itertools
import uuid
from contextlib import closing
from functools import partial
from typing import NamedTuple, Protocol

from verbenathread.clock import Clock
from verbenathread.entry.engine_client import (
    Batch,
    EngineClient,
    Finish,
    GenerateRequest,
    Owner,
    TokenChunk,
    TokenStream,
)
from verbenathread.entry.engine_errors import (
    EngineBrokenError,
    EngineNotRunError,
    EngineRejectedError,
)
from verbenathread.entry.error_responses import (
    HttpError,
    RunState,
    refusal_error,
)
from verbenathread.entry.interfaces import Reservations, Upstreams
from verbenathread.entry.model_call import ModelCall
from verbenathread.entry.reaper import Reaper
from verbenathread.entry.request_state import CallerDisconnect, Deadline
from verbenathread.entry.retry_budgets import RetryBudgets
from verbenathread.entry.stream_poller import StreamPoller
from verbenathread.observability.logs import get_logger
from verbenathread.observability.metrics import EntryMetrics
from verbenathread.schema import settings_pb2
from verbenathread.types import (
    Outcome,
    Refusal,
    Reservation,
    UpstreamRecord,
    Work,
)

_GATEWAY_TIMEOUT = 504
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_LENGTH_REASON = 'length'
# Output tokens between progress reports to the scheduler.
_PROGRESS_TOKENS = 32

_log = get_logger('relay')


class CallerDisconnectedError(Exception):
    """The caller disconnected, so the answer is no longer needed."""


class Sink(Protocol):
    """Receives the relayed tokens."""

    def write(self, chunks: list[TokenChunk]) -> None:
        """Write chunks whose positions are contiguous."""

    def write_nonblocking(self, chunks: list[TokenChunk]) -> bool:
        """Write what the socket accepts; return False if a flush is needed."""

    def flush(self) -> None:
        """Write what :meth:`write_nonblocking` left, waiting if necessary."""

    def count_retry(self) -> None:
        """Count a retry."""


class RelayDependencies(NamedTuple):
    """Dependencies shared by all relays."""

    client: EngineClient
    reservations: Reservations
    upstreams: Upstreams
    reaper: Reaper
    poller: StreamPoller
    retries: RetryBudgets
    metrics: EntryMetrics
    owner: Owner
    clock: Clock


class ModelRequest(NamedTuple):
    """One admitted request."""

    call: ModelCall
    work: Work
    policy: settings_pb2.PolicySettings
    deadline: Deadline
    disconnect: CallerDisconnect


class Relay:
    """Runs attempts until the answer is complete or retries are exhausted."""

    def __init__(
        self, dependencies: RelayDependencies, request: ModelRequest, sink: Sink
    ) -> None:
        """Relay one request into ``sink``."""
        self._deps = dependencies
        self._request = request
        self._sink = sink
        self._position = 0
        # Position in the last progress report; low at first, so that the first
        # batch is reported.
        self._reported_position = -_PROGRESS_TOKENS
        self._finish: Finish | None = None
        self._texts: list[str] = []
        # True once an engine may have started on the request.
        self._may_have_run = False

    @property
    def run_state(self) -> RunState:
        """Return the run state to report in an error."""
        if self._may_have_run:
            return RunState.MAY_HAVE_RUN
        return RunState.NOT_RUN

    @property
    def position(self) -> int:
        """Return the number of tokens relayed so far."""
        return self._position

    def run(self) -> Finish:
        """Relay all tokens into the sink; return how the answer finished.

        Raises :class:`HttpError` or :class:`CallerDisconnectedError`.
        """
        work = self._request.work
        self._deps.retries.record_first_attempt(
            work.service, self._request.policy
        )
        for attempts in itertools.count(1):
            try:
                return self._attempt()
            except (EngineNotRunError, EngineBrokenError) as exc:
                error = exc
            _log.info(
                'An attempt failed.',
                request=work.request_id,
                fault=str(error),
                position=self._position,
            )
            self._check_active()
            if self._position >= work.most_output_tokens:
                break
            self._wait_to_retry(attempts, error)
            self._sink.count_retry()
        return self._finish_at_limit()

    def _attempt(self) -> Finish:
        reservation = self._reserve()
        engines = self._engines(reservation)
        if not engines:
            self._release(reservation, failed=True)
            raise EngineNotRunError('The chosen engine is gone.')
        self._deps.reaper.track(reservation.attempt_id, engines[0])
        try:
            finish = self._send_and_relay(reservation, engines)
        except (EngineNotRunError, EngineRejectedError) as exc:
            self._deps.reaper.untrack(reservation.attempt_id)
            self._release(reservation, failed=True)
            if isinstance(exc, EngineRejectedError):
                raise _rejection_error(exc, self.run_state) from exc
            raise
        except BaseException:
            self._deps.reaper.cancel(reservation, engines, self._position)
            raise
        self._deps.reaper.untrack(reservation.attempt_id)
        self._release(reservation, failed=False)
        return finish

    def _reserve(self) -> Reservation:
        attempt_id = uuid.uuid4().hex
        work = self._request.work
        disconnect = self._request.disconnect
        waiting = self._deps.metrics.waiting.track_inprogress()
        abandon = partial(self._deps.reservations.abandon, work)
        with waiting, disconnect.callback(abandon):
            reservation = self._deps.reservations.reserve(work, attempt_id)
        if isinstance(reservation, Refusal):
            self._check_caller()
            raise refusal_error(reservation, self.run_state)
        if disconnect.happened:
            self._release(reservation, failed=False)
            raise CallerDisconnectedError
        return reservation

    def _engines(self, reservation: Reservation) -> tuple[UpstreamRecord, ...]:
        engines = []
        for upstream_id in reservation.upstream_ids:
            record = self._deps.upstreams.get(upstream_id)
            if record is None:
                return ()
            engines.append(record)
        return tuple(engines)

    def _send_and_relay(
        self, reservation: Reservation, engines: tuple[UpstreamRecord, ...]
    ) -> Finish:
        request = self._generate_request(reservation, engines)
        # From here on the engine may have started, unless it reports that it
        # did not.
        had_run = self._may_have_run
        self._may_have_run = True
        try:
            stream = self._deps.client.generate(
                engines[0].address, request, reservation.start_by
            )
            return self._relay_stream(stream, reservation)
        except (EngineNotRunError, EngineRejectedError):
            self._may_have_run = had_run
            raise

    def _relay_stream(
        self, stream: TokenStream, reservation: Reservation
    ) -> Finish:
        self._deps.reservations.report_started(reservation)
        with (
            closing(stream),
            self._request.disconnect.callback(stream.interrupt),
        ):
            return self._relay(stream, reservation)

    def _generate_request(
        self, reservation: Reservation, engines: tuple[UpstreamRecord, ...]
    ) -> GenerateRequest:
        request = self._request
        return GenerateRequest(
            reservation.attempt_id,
            request.work.request_id,
            request.call.shared_members,
            request.work.most_output_tokens,
            reservation.priority,
            self._deps.owner,
            # Each engine of a group reserves an equal share.
            -(-reservation.memory_tokens // len(engines)),
            tuple(str(engine.address) for engine in engines[1:]),
            self._position,
            ''.join(self._texts),
            request.deadline.remaining(),
        )

    def _relay(self, stream: TokenStream, reservation: Reservation) -> Finish:
        while True:
            try:
                finish = self._relay_batch(stream, reservation)
            except EngineBrokenError:
                self._check_active()
                raise
            self._check_caller()
            if finish is not None:
                self._check_complete(finish)
                return finish

    def _relay_batch(
        self, stream: TokenStream, reservation: Reservation
    ) -> Finish | None:
        """Relay tokens until the answer ends or the caller reads slowly."""
        batch = stream.read(self._request.deadline.expires_at)
        self._sink.write(self._new_chunks(batch))
        self._record_progress(batch, reservation)
        if batch.finish is not None or not self._position:
            return batch.finish
        sock = stream.unframed_socket()
        if sock is None:
            return None
        step = partial(self._relay_available, stream, reservation)
        self._deps.poller.poll(sock, step, self._request.deadline.expires_at)
        self._sink.flush()
        return self._finish

    def _relay_available(
        self, stream: TokenStream, reservation: Reservation
    ) -> bool:
        """Relay available tokens, in the poller's thread.

        Returns False to hand the stream back to the worker thread.
        """
        batch = stream.read_nonblocking()
        if batch is None:
            return True
        sent = self._sink.write_nonblocking(self._new_chunks(batch))
        self._record_progress(batch, reservation)
        return sent and batch.finish is None

    def _new_chunks(self, batch: Batch) -> list[TokenChunk]:
        """Return the chunks not relayed yet and advance the position."""
        new: list[TokenChunk] = []
        for chunk in batch.chunks:
            end = chunk.position + chunk.token_count
            if end <= self._position:
                # The engine repeated tokens that were relayed before.
                continue
            if chunk.position != self._position:
                self._sink.write(new)
                raise EngineBrokenError(
                    f'A token is missing at position {self._position}.'
                )
            new.append(chunk)
            self._texts.append(chunk.text)
            self._position = end
        return new

    def _record_progress(self, batch: Batch, reservation: Reservation) -> None:
        self._finish = batch.finish
        if self._position - self._reported_position >= _PROGRESS_TOKENS:
            self._reported_position = self._position
            self._deps.reservations.report_progress(
                reservation, self._reported_position
            )

    def _check_complete(self, finish: Finish) -> None:
        if finish.output_tokens != self._position:
            raise EngineBrokenError(
                f'The answer ended at token {self._position} '
                f'of {finish.output_tokens}.'
            )

    def _finish_at_limit(self) -> Finish:
        """Return the finish of an answer whose final record was lost.

        All tokens up to the length limit were relayed.
        """
        return Finish(
            _LENGTH_REASON, self._request.work.prompt_tokens, self._position
        )

    def _wait_to_retry(
        self, attempts: int, error: EngineNotRunError | EngineBrokenError
    ) -> None:
        """Wait for the retry delay; raise if no further attempt is allowed."""
        work = self._request.work
        outcome = Outcome.UNKNOWN
        if isinstance(error, EngineNotRunError):
            outcome = Outcome.NOT_RUN
        retry = self._deps.retries.next_retry(
            work.service, attempts, outcome, work.deadline
        )
        if isinstance(retry, Refusal):
            _log.info('Not retrying the request.', reason=retry.message)
            raise self._exhausted_error(error, retry)
        # The engine's Retry-After is ignored: another engine is tried next.
        self._request.disconnect.wait(retry.delay)
        self._check_caller()

    def _check_active(self) -> None:
        """Raise if the caller disconnected or the deadline passed."""
        self._check_caller()
        if self._request.deadline.expired():
            raise HttpError(
                _GATEWAY_TIMEOUT,
                'time_limit',
                'The time limit passed before the answer was complete; '
                'send the request again with a longer X-Time-Limit-Ms.',
                run_state=self.run_state,
            )

    def _check_caller(self) -> None:
        if self._request.disconnect.happened:
            raise CallerDisconnectedError

    def _release(self, reservation: Reservation, *, failed: bool) -> None:
        self._deps.reservations.release(
            reservation, output_tokens=self._position, failed=failed
        )

    def _exhausted_error(self, error: Exception, refusal: Refusal) -> HttpError:
        if self._may_have_run:
            return HttpError(
                _BAD_GATEWAY,
                'attempts_exhausted',
                f'{error} No attempts are left; send the request again.',
                run_state=RunState.MAY_HAVE_RUN,
                retry_after=refusal.retry_after,
            )
        return HttpError(
            _UNAVAILABLE,
            'no_upstream',
            f'{error} Send the request again later.',
            retry_after=refusal.retry_after,
        )


def _rejection_error(
    error: EngineRejectedError, run_state: RunState
) -> HttpError:
    return HttpError(
        error.status, 'rejected_by_engine', str(error), run_state=run_state
    )
