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
    CallerGoneError,
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

# Time in ms beyond the deadline to write the answer that says so.
_FINAL_ANSWER_MS = 2000


class ModelDependencies(NamedTuple):
    """What serving a model request needs."""

    settings: SharedSettings
    admissions: Admissions
    relay: RelayDependencies
    watch: DisconnectWatcher
    metrics: EntryMetrics
    prompts: TokenEstimator
    outputs: OutputEstimator
    recorder: TraceRecorder
    clock: Clock


class _AnswerSink:
    """Passes pieces to the caller, or gathers them for a whole answer."""

    def __init__(
        self,
        parts: ModelDependencies,
        exchange: Exchange,
        answer: CompletionFormat,
        work: Work,
    ) -> None:
        self._parts = parts
        self._exchange = exchange
        self._answer = answer
        self._work = work
        self._texts: list[str] = []
        self._first = True
        self._unsent = b''

    def write(self, pieces: list[TokenChunk]) -> None:
        """Take pieces that follow one another without a gap."""
        if not pieces:
            return
        if self._first:
            self._first = False
            self._count_first_token()
        if not self._answer.call.stream:
            self._collect(pieces)
            return
        block = self._answer.stream_chunks(pieces)
        if not self._exchange.response_started:
            block = self._open() + block
        self._exchange.write(block)

    def write_nonblocking(self, pieces: list[TokenChunk]) -> bool:
        """Take pieces without waiting; False if some wait for a flush."""
        if not pieces:
            return True
        if not self._answer.call.stream:
            self._collect(pieces)
            return True
        block = self._answer.stream_chunks(pieces)
        self._unsent = self._exchange.write_nonblocking(block)
        return not self._unsent

    def flush(self) -> None:
        """Send what :meth:`pieces_ready` left, waiting for a slow reader."""
        rest = self._unsent
        self._unsent = b''
        if rest:
            self._exchange.write_remaining(rest)

    def count_retry(self) -> None:
        """Count another attempt."""
        self._parts.metrics.retries.labels(self._work.service).inc()

    def finish(self, finish: Finish) -> None:
        """Send what the answer ends with."""
        if not self._answer.call.stream:
            content = self._answer.full_body(''.join(self._texts), finish)
            self._exchange.reply(http.HTTPStatus.OK, content)
            return
        block = self._answer.stream_end(finish)
        if not self._exchange.response_started:
            block = self._open() + block
        self._exchange.write(block)

    def fail(self, error: HttpError) -> None:
        """Say in the midst of a stream that it can't be finished."""
        content = error.body(self._exchange.request_id)
        self._exchange.close_after_response()
        self._exchange.write(error_event(content))

    def _collect(self, pieces: list[TokenChunk]) -> None:
        for piece in pieces:
            self._texts.append(piece.text)

    def _open(self) -> bytes:
        self._exchange.start_stream(http.HTTPStatus.OK, EVENT_STREAM_TYPE)
        return self._answer.stream_start()

    def _count_first_token(self) -> None:
        took = self._parts.clock.now() - self._work.arrival
        label = length_label(self._work.prompt_tokens)
        self._parts.metrics.first_token.labels(
            self._work.service, label
        ).observe(seconds(took))


class ModelService:
    """Serves the requests for models."""

    def __init__(self, parts: ModelDependencies) -> None:
        """Serve with ``parts``."""
        self._parts = parts

    def list_models(self, exchange: Exchange) -> None:
        """Answer with the models that the account may call."""
        settings = self._parts.settings
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
        """Relay one request to an engine and its answer to the caller."""
        account = authenticate(self._parts.settings, exchange)
        call = _unwrap(parse_call(exchange.read_body(), chat=chat))
        service = authorize_service(
            self._parts.settings,
            account,
            call.model,
            UpstreamKind.ENGINE.value,
        )
        deadline = request_deadline(exchange, service, self._parts.clock)
        exchange.set_write_deadline(deadline.expires_at + _FINAL_ANSWER_MS)
        work = self._build_work(exchange, account, call, service, deadline)
        gone = CallerDisconnect()
        request = ModelRequest(
            call,
            work,
            self._parts.settings.policy(call.model),
            deadline,
            gone,
        )
        refusal = self._parts.admissions.admit(work, account.settings)
        if refusal is not None:
            raise refusal_error(refusal)
        with self._parts.watch.watching(exchange.sock, gone.set):
            self._serve(exchange, request)

    def _build_work(
        self,
        exchange: Exchange,
        account: Account,
        call: ModelCall,
        service: settings_pb2.ServiceSettings,
        deadline: Deadline,
    ) -> Work:
        most = service.most_output_tokens
        if call.max_tokens is not None:
            most = min(most, call.max_tokens)
        return Work(
            exchange.request_id,
            account.name,
            call.model,
            self._parts.prompts.tokens(
                call.model, call.prompt_bytes, service.bytes_per_token
            ),
            most,
            self._parts.outputs.expected(account.name, call.model, most),
            deadline.expires_at,
            exchange.arrival,
            call.prefix_hashes,
        )

    def _serve(self, exchange: Exchange, request: ModelRequest) -> None:
        answer = CompletionFormat.for_call(
            request.call,
            exchange.request_id,
            self._parts.clock.wall() // MS_PER_SECOND,
        )
        sink = _AnswerSink(self._parts, exchange, answer, request.work)
        relay = Relay(self._parts.relay, request, sink)
        outcome = 'failed'
        try:
            finish = relay.run()
            sink.finish(finish)
            outcome = 'completed'
            self._update_estimators(request, finish)
        except CallerGoneError as exc:
            outcome = 'caller_gone'
            raise ConnectionAbortedError('The caller hung up.') from exc
        except HttpError as error:
            outcome = error.code
            if not exchange.response_started:
                raise
            sink.fail(error)
        finally:
            self._parts.admissions.done(request.work, relay.position)
            self._parts.recorder.record(request.work, relay.position)
            self._parts.metrics.requests.labels(
                request.work.service, outcome
            ).inc()

    def _update_estimators(self, request: ModelRequest, finish: Finish) -> None:
        work = request.work
        service = self._parts.settings.service(work.service)
        if service is None:
            return
        self._parts.prompts.observe(
            work.service,
            request.call.prompt_bytes,
            finish.prompt_tokens,
            service.bytes_per_token,
        )
        self._parts.outputs.observe(
            work.account, work.service, finish.output_tokens
        )


def _unwrap(parsed: ParseResult) -> ModelCall:
    if parsed.is_error():
        raise parsed.error
    return parsed.ok
