"""Tracks the load of every engine from the sends of all gateways.

A send is one generation that a gateway has sent to an engine. Gateways notify
each other when a send starts and ends, so the data lags by the delivery time
of a datagram. If the notice of an end is lost, the forecast end applies.
"""

from typing import NamedTuple

from verbenathread.serving import engine_time
from verbenathread.serving.types import EngineModel
from verbenathread.types import Millis

# A send whose end was not reported is dropped this long after its forecast
# end: the time of four typical answers to short prompts.
_SEND_EXPIRY: Millis = 8000
_MAX_PACE = 20.0
# A first event may be this much later than forecast on a known load: an
# iteration of a full engine takes 60 ms, and two may come first.
_LATENESS_TOLERANCE: Millis = 120
# Unreported load lasts about as long as the answer to a short prompt.
_UNREPORTED_HALF_LIFE: Millis = 1500
_HALF = 0.5


# Longer prompts are placed like long ones. The prefill of a prompt of this size
# takes about half of the shortest target pause in use, 250 ms.
LONG_PROMPT_TOKENS = 20_000


class PromptPart(NamedTuple):
    """The part of a prompt that a helper engine handles."""

    worker_id: str
    # Memory reserved there; 0 if it only prefills.
    reserved_tokens: int


class Send(NamedTuple):
    """One generation sent to an engine."""

    send_id: str
    prompt_tokens: int
    output_tokens: int
    # Longest pause between its events that is still in time.
    target_pause: Millis
    # Time after which its first event is late.
    due_at: Millis
    # Forecast times of the first event and of the end.
    first_event_at: Millis = 0
    end_at: Millis = 0
    # Prefill time on each of its engines.
    prefill_time: Millis = 0
    # Its first event or a pause in its stream is late, by forecast.
    is_late: bool = False
    # Helpers; the prompt is prefilled in equal parts by its engine and these.
    parts: tuple[PromptPart, ...] = ()

    @property
    def memory_tokens(self) -> int:
        """Return the memory it needs at its own engine when complete."""
        reserved_elsewhere = sum(part.reserved_tokens for part in self.parts)
        prompt = max(0, self.prompt_tokens - reserved_elsewhere)
        return prompt + self.output_tokens

    @property
    def is_short(self) -> bool:
        """Return whether its prompt is not long."""
        return self.prompt_tokens <= LONG_PROMPT_TOKENS


class EngineLoad:
    """The load of one engine."""

    def __init__(self) -> None:
        """Start idle, at the pace of a healthy engine."""
        self.send_by_id: dict[str, Send] = {}
        # Memory reserved here for sends to other engines of which this engine
        # prefills a part, by send id.
        self.reserved_by_id: dict[str, int] = {}
        # Requests in progress whose prompt is not long.
        self.short_count = 0
        # Tokens needed by its requests and reserved here; kept up to date, as
        # each placement reads them for every engine.
        self.context_tokens = 0
        # Forecast time at which all queued prefills are done.
        self.prefill_until: Millis = 0
        # Slowdown factor: 1 is healthy, 2 takes twice as long.
        self.pace = 1.0
        # Delay of a first event beyond its forecast, and when it was seen.
        self._unreported_delay: Millis = 0
        self._unreported_at: Millis = 0

    def add_send(self, send: Send) -> None:
        """Add a request, or replace the one with this id."""
        self.remove_send(send.send_id)
        self.send_by_id[send.send_id] = send
        self.context_tokens += send.memory_tokens
        self.short_count += send.is_short

    def remove_send(self, send_id: str) -> Send | None:
        """Remove a request and return it, if it is known."""
        send = self.send_by_id.pop(send_id, None)
        if send is not None:
            self.context_tokens -= send.memory_tokens
            self.short_count -= send.is_short
        return send

    def reserve(self, send_id: str, tokens: int) -> None:
        """Set the memory that is reserved for a send to another engine."""
        self.release(send_id)
        self.reserved_by_id[send_id] = tokens
        self.context_tokens += tokens

    def release(self, send_id: str) -> None:
        """Release the memory reserved for a send to another engine."""
        self.context_tokens -= self.reserved_by_id.pop(send_id, 0)

    def delay_prefills(self, delay: float, now: Millis) -> None:
        """Delay the queued prefills by one that is processed first."""
        for send in tuple(self.send_by_id.values()):
            if send.first_event_at <= now:
                continue
            first_event_at = int(send.first_event_at + delay)
            self.send_by_id[send.send_id] = send._replace(
                first_event_at=first_event_at,
                end_at=int(send.end_at + delay),
                is_late=send.is_late or first_event_at > send.due_at,
            )
        self.mark_late(max(0, self.prefill_until - now) + delay, now)

    def cancel_prefill(self, remaining: Millis, now: Millis) -> None:
        """Remove the rest of a prefill, or all if the engine is idle."""
        self.prefill_until = max(now, self.prefill_until - remaining)
        if not self.send_by_id and not self.reserved_by_id:
            self.prefill_until = 0

    def mark_late(self, pause: float, now: Millis) -> None:
        """Mark the streams that a pause of all decoding makes late."""
        for send in tuple(self.send_by_id.values()):
            if send.first_event_at <= now and pause > send.target_pause:
                self.send_by_id[send.send_id] = send._replace(is_late=True)

    def record_first_event(
        self, forecast: Millis, actual: Millis, now: Millis
    ) -> None:
        """Compare the time to a first event with its forecast.

        A late first event shows load that was not reported to this gateway,
        for example because it is partitioned from the other gateways.
        """
        current = self.unreported_delay(now)
        self._unreported_at = now
        lateness = actual - forecast
        if lateness > _LATENESS_TOLERANCE:
            self._unreported_delay = max(current, lateness)
        else:
            self._unreported_delay = current // 2

    def unreported_delay(self, now: Millis) -> Millis:
        """Return the estimated delay caused by load that was not reported."""
        if not self._unreported_delay:
            return 0
        age = now - self._unreported_at
        return int(
            self._unreported_delay * _HALF ** (age / _UNREPORTED_HALF_LIFE)
        )

    def next_end(self) -> Millis:
        """Return the earliest forecast end of its requests."""
        return min(send.end_at for send in self.send_by_id.values())


class FleetLoad:
    """The loads of all engines, by worker id."""

    def __init__(self) -> None:
        """Start without any load."""
        self.load_by_id: dict[str, EngineLoad] = {}

    def load(self, worker_id: str) -> EngineLoad:
        """Return the load of a worker; empty if none is recorded."""
        load = self.load_by_id.get(worker_id)
        if load is None:
            load = EngineLoad()
            self.load_by_id[worker_id] = load
        return load

    def record_send(
        self,
        worker_id: str,
        engine: EngineModel,
        send: Send,
        now: Millis,
    ) -> Send:
        """Add a send and return it with its forecast filled in."""
        load = self.load(worker_id)
        prefill = engine_time.prefill_ms(
            engine, send.prompt_tokens, 1 + len(send.parts)
        )
        prefilled_at = self._add_prefill(load, prefill, now)
        for part in send.parts:
            helper_load = self.load(part.worker_id)
            helper_load.delay_prefills(prefill * helper_load.pace, now)
            prefilled_at = max(
                prefilled_at, self._add_prefill(helper_load, prefill, now)
            )
            helper_load.reserve(send.send_id, part.reserved_tokens)
        iteration = load.pace * engine_time.iteration_ms(
            engine,
            len(load.send_by_id) + 1,
            load.context_tokens + send.memory_tokens,
        )
        first_event_at = int(prefilled_at + iteration)
        decode = engine_time.decode_ms(engine, send.output_tokens, iteration)
        forecast_send = send._replace(
            prefill_time=int(prefill),
            first_event_at=first_event_at,
            end_at=int(first_event_at + decode),
            is_late=first_event_at > send.due_at,
        )
        load.mark_late(load.prefill_until - now + iteration, now)
        load.add_send(forecast_send)
        return forecast_send

    def record_end(self, worker_id: str, send_id: str, now: Millis) -> None:
        """Remove a send that has ended."""
        load = self.load_by_id.get(worker_id)
        if load is None:
            return
        send = load.remove_send(send_id)
        if send is None:
            return
        # Its prefill stops if it had not finished.
        remaining = send.prefill_time if now < send.first_event_at else 0
        load.cancel_prefill(remaining, now)
        for part in send.parts:
            helper_load = self.load(part.worker_id)
            helper_load.release(send_id)
            helper_load.cancel_prefill(remaining, now)

    def record_pace(self, worker_id: str, pace: float) -> None:
        """Set the slowdown factor of an engine relative to a healthy one."""
        self.load(worker_id).pace = min(_MAX_PACE, max(1, pace))

    def drop_expired(self, now: Millis) -> None:
        """Drop sends whose end notice must have been lost."""
        for worker_id, load in tuple(self.load_by_id.items()):
            for send in tuple(load.send_by_id.values()):
                if now > send.end_at + _SEND_EXPIRY:
                    self.record_end(worker_id, send.send_id, now)

    def retain(self, worker_ids: frozenset[str]) -> None:
        """Drop the loads of all workers except these."""
        for worker_id in tuple(self.load_by_id):
            if worker_id not in worker_ids:
                self.load_by_id.pop(worker_id)

    def _add_prefill(
        self, load: EngineLoad, prefill: float, now: Millis
    ) -> Millis:
        """Queue a prefill at an engine and return its forecast end."""
        start = max(now, load.prefill_until)
        load.prefill_until = int(start + prefill * load.pace)
        return load.prefill_until
