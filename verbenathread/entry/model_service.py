"""POST /v1/chat/completions, POST /v1/completions and GET /v1/models."""

import http
import json
from typing import NamedTuple

from verbenathread.clock import MS_PER_SECOND, Clock, seconds
from verbenathread.entry.access import (
    Account,
    authenticate,
    authorize_service,
    request_deadline,
)
from verbenathread.entry.completion_format import (
    EVENT_STREAM_TYPE,
    CompletionFormat,
    error_event,
)
from verbenathread.entry.disconnect_watcher import DisconnectWatcher
from verbenathread.entry.engine_client import Finish, TokenChunk
from verbenathread.entry.error_responses import HttpError, refusal_error
from verbenathread.entry.exchange import Exchange
from verbenathread.entry.interfaces import Admissions, SharedSettings
from verbenathread.entry.model_call import (
    ModelCall,
    ParseResult,
    parse_call,
)
from verbenathread.entry.relay import (
    CallerDisconnectedError,
    ModelRequest,
    Relay,
    RelayDependencies,
)
from verbenathread.entry.request_state import CallerDisconnect, Deadline
from verbenathread.entry.trace_recorder import TraceRecorder
from verbenathread.observability.metrics import EntryMetrics, length_label
from verbenathread.scheduling.estimates import OutputEstimator, TokenEstimator
from verbenathread.schema import settings_pb2
from verbenathread.types import UpstreamKind, Work

# Time after the deadline in which the timeout error can still be written.
_FINAL_RESPONSE_MS = 2000


class ModelDependencies(NamedTuple):
    """Dependencies of :class:`ModelService`."""

    settings: SharedSettings
    admissions: Admissions
    relay: RelayDependencies
    disconnect_watcher: DisconnectWatcher
    metrics: EntryMetrics
    prompt_estimator: TokenEstimator
    output_estimator: OutputEstimator
    recorder: TraceRecorder
    clock: Clock


class _AnswerSink:
    """Streams tokens to the caller, or buffers them for a single response."""

    def __init__(
        self,
        dependencies: ModelDependencies,
        exchange: Exchange,
        answer: CompletionFormat,
        work: Work,
    ) -> None:
        self._deps = dependencies
        self._exchange = exchange
        self._answer = answer
        self._work = work
        self._texts: list[str] = []
        self._first = True
        self._unsent = b''

    def write(self, chunks: list[TokenChunk]) -> None:
        """Write chunks whose positions are contiguous."""
        if not chunks:
            return
        if self._first:
            self._first = False
            self._count_first_token()
        if not self._answer.call.stream:
            self._collect(chunks)
            return
        block = self._answer.stream_chunks(chunks)
        if not self._exchange.response_started:
            block = self._open() + block
        self._exchange.write(block)

    def write_nonblocking(self, chunks: list[TokenChunk]) -> bool:
        """Write what the socket accepts; return False if a flush is needed."""
        if not chunks:
            return True
        if not self._answer.call.stream:
            self._collect(chunks)
            return True
        block = self._answer.stream_chunks(chunks)
        self._unsent = self._exchange.write_nonblocking(block)
        return not self._unsent

    def flush(self) -> None:
        """Write what :meth:`write_nonblocking` left, waiting if necessary."""
        unsent = self._unsent
        self._unsent = b''
        if unsent:
            self._exchange.write_remaining(unsent)

    def count_retry(self) -> None:
        """Count a retry in the metrics."""
        self._deps.metrics.retries.labels(self._work.service).inc()

    def finish(self, finish: Finish) -> None:
        """Write the end of the stream, or the whole buffered response."""
        if not self._answer.call.stream:
            content = self._answer.full_body(''.join(self._texts), finish)
            self._exchange.reply(http.HTTPStatus.OK, content)
            return
        block = self._answer.stream_end(finish)
        if not self._exchange.response_started:
            block = self._open() + block
        self._exchange.write(block)

    def fail(self, error: HttpError) -> None:
        """Report within a started stream that it cannot be completed."""
        content = error.body(self._exchange.request_id)
        self._exchange.close_after_response()
        self._exchange.write(error_event(content))

    def _collect(self, chunks: list[TokenChunk]) -> None:
        for chunk in chunks:
            self._texts.append(chunk.text)

    def _open(self) -> bytes:
        self._exchange.start_stream(http.HTTPStatus.OK, EVENT_STREAM_TYPE)
        return self._answer.stream_start()

    def _count_first_token(self) -> None:
        elapsed = self._deps.clock.now() - self._work.arrival
        label = length_label(self._work.prompt_tokens)
        self._deps.metrics.first_token.labels(
            self._work.service, label
        ).observe(seconds(elapsed))


class ModelService:
    """Serves the model endpoints."""

    def __init__(self, dependencies: ModelDependencies) -> None:
        """Serve requests with the given dependencies."""
        self._deps = dependencies

    def list_models(self, exchange: Exchange) -> None:
        """Reply with the models that the account may call."""
        settings = self._deps.settings
        account = authenticate(settings, exchange)
        models = []
        for name in settings.service_names():
            service = settings.service(name)
            if service is None or service.kind != UpstreamKind.ENGINE.value:
                continue
            if not account.may_call(name):
                continue
            models.append(
                {
                    'id': name,
                    'object': 'model',
                    'created': 0,
                    'owned_by': 'verbenathread',
                }
            )
        content = json.dumps({'object': 'list', 'data': models}).encode()
        exchange.reply(http.HTTPStatus.OK, content)

    def complete(self, exchange: Exchange, *, chat: bool) -> None:
        """Run one completion on an engine and relay its output."""
        account = authenticate(self._deps.settings, exchange)
        call = _unwrap(parse_call(exchange.read_body(), chat=chat))
        service = authorize_service(
            self._deps.settings,
            account,
            call.model,
            UpstreamKind.ENGINE.value,
        )
        deadline = request_deadline(exchange, service, self._deps.clock)
        exchange.set_write_deadline(deadline.expires_at + _FINAL_RESPONSE_MS)
        work = self._build_work(exchange, account, call, service, deadline)
        disconnect = CallerDisconnect()
        request = ModelRequest(
            call,
            work,
            self._deps.settings.policy(call.model),
            deadline,
            disconnect,
        )
        refusal = self._deps.admissions.admit(work, account.settings)
        if refusal is not None:
            raise refusal_error(refusal)
        with self._deps.disconnect_watcher.watching(
            exchange.sock, disconnect.set
        ):
            self._serve(exchange, request)

    def _build_work(
        self,
        exchange: Exchange,
        account: Account,
        call: ModelCall,
        service: settings_pb2.ServiceSettings,
        deadline: Deadline,
    ) -> Work:
        max_tokens = service.most_output_tokens
        if call.max_tokens is not None:
            max_tokens = min(max_tokens, call.max_tokens)
        return Work(
            exchange.request_id,
            account.name,
            call.model,
            self._deps.prompt_estimator.tokens(
                call.model, call.prompt_bytes, service.bytes_per_token
            ),
            max_tokens,
            self._deps.output_estimator.expected(
                account.name, call.model, max_tokens
            ),
            deadline.expires_at,
            exchange.arrival,
            call.prefix_hashes,
        )

    def _serve(self, exchange: Exchange, request: ModelRequest) -> None:
        answer = CompletionFormat.for_call(
            request.call,
            exchange.request_id,
            self._deps.clock.wall() // MS_PER_SECOND,
        )
        sink = _AnswerSink(self._deps, exchange, answer, request.work)
        relay = Relay(self._deps.relay, request, sink)
        outcome = 'failed'
        try:
            finish = relay.run()
            sink.finish(finish)
            outcome = 'completed'
            self._update_estimators(request, finish)
        except CallerDisconnectedError as exc:
            outcome = 'caller_gone'
            raise ConnectionAbortedError('The caller disconnected.') from exc
        except HttpError as error:
            outcome = error.code
            if not exchange.response_started:
                raise
            sink.fail(error)
        finally:
            self._deps.admissions.finish(request.work, relay.position)
            self._deps.recorder.record(request.work, relay.position)
            self._deps.metrics.requests.labels(
                request.work.service, outcome
            ).inc()

    def _update_estimators(self, request: ModelRequest, finish: Finish) -> None:
        work = request.work
        service = self._deps.settings.service(work.service)
        if service is None:
            return
        self._deps.prompt_estimator.observe(
            work.service,
            request.call.prompt_bytes,
            finish.prompt_tokens,
            service.bytes_per_token,
        )
        self._deps.output_estimator.observe(
            work.account, work.service, finish.output_tokens
        )


def _unwrap(parsed: ParseResult) -> ModelCall:
    if parsed.is_error():
        raise parsed.error
    return parsed.ok
