"""What every engine has to do, from the sends of all gateways.

Each gateway tells the others of a send and of its end, so a view is about as
old as a datagram's way. A lost end is made up for by a forecast of it.
"""

from typing import NamedTuple

from verbenathread.serving import engine_time
from verbenathread.serving.types import EngineModel
from verbenathread.types import Millis

# A send whose end was not told is forgotten this long after its forecast
# end: four of the usual answers of a short prompt.
_FORGET_AFTER: Millis = 8000
_SLOWEST_PACE = 20.0
# A first event may be as much later than forecast without a reason: a pass of
# a full engine takes 60 ms, and two may lie between.
_SURPRISE: Millis = 120
# Unknown load lasts about as long as an answer to a short prompt.
_SURPRISE_HALF_LIFE: Millis = 1500
_HALF = 0.5


class PromptPart(NamedTuple):
    """What another engine does for a prompt."""

    worker_id: str
    # Memory set aside there; 0 where it only reads.
    reserved_tokens: int


class Send(NamedTuple):
    """One generation at an engine."""

    send_id: str
    prompt_tokens: int
    output_tokens: int
    # Longest pause between its events that is still in time.
    target_pause: Millis
    # When its first event is late.
    due_at: Millis
    # Forecast times of the first event and of the end.
    first_event_at: Millis = 0
    end_at: Millis = 0
    # How long each of its engines reads.
    prefill_time: Millis = 0
    # It is late already, by forecast.
    is_late: bool = False
    # The prompt is read in even parts by its engine and these.
    parts: tuple[PromptPart, ...] = ()

    @property
    def memory_tokens(self) -> int:
        """Return the memory that it needs at its engine in the end."""
        elsewhere = sum(part.reserved_tokens for part in self.parts)
        prompt = max(0, self.prompt_tokens - elsewhere)
        return prompt + self.output_tokens


class EngineLoad:
    """What one engine has to do."""

    def __init__(self) -> None:
        """Start idle, at the pace of a sound engine."""
        self.send_by_id: dict[str, Send] = {}
        # Prompts of other engines of which a part is read here, by send, and
        # the memory set aside for them.
        self.reserved_by_id: dict[str, int] = {}
        # When the prompts that wait there are read, by forecast.
        self.prefill_until: Millis = 0
        # 1 is sound; 2 takes twice as long.
        self.pace = 1.0
        # By how much a first event came later than forecast, and when.
        self._surprise: Millis = 0
        self._surprised_at: Millis = 0

    def context_tokens(self) -> int:
        """Return the tokens that its requests need and that it holds."""
        own = sum(send.memory_tokens for send in self.send_by_id.values())
        return own + sum(self.reserved_by_id.values())

    def count_short_prompts(self, max_tokens: int) -> int:
        """Return how many of its prompts have so many tokens at most."""
        sends = self.send_by_id.values()
        return sum(1 for send in sends if send.prompt_tokens <= max_tokens)

    def delay_prefills(self, delay: float, now: Millis) -> None:
        """Delay the prompts that wait here by one that is read before."""
        for send in tuple(self.send_by_id.values()):
            if send.first_event_at <= now:
                continue
            first_at = int(send.first_event_at + delay)
            self.send_by_id[send.send_id] = send._replace(
                first_event_at=first_at,
                end_at=int(send.end_at + delay),
                is_late=send.is_late or first_at > send.due_at,
            )
        self.mark_late(max(0, self.prefill_until - now) + delay, now)

    def cancel_prefill(self, remaining: Millis, now: Millis) -> None:
        """Forget what is read no more; all of it where nothing is left."""
        self.prefill_until = max(now, self.prefill_until - remaining)
        if not self.send_by_id and not self.reserved_by_id:
            self.prefill_until = 0

    def mark_late(self, pause: float, now: Millis) -> None:
        """Note which answers a pause of the writers makes late."""
        for send in tuple(self.send_by_id.values()):
            if send.first_event_at <= now and pause > send.target_pause:
                self.send_by_id[send.send_id] = send._replace(is_late=True)

    def record_first_event(
        self, forecast: Millis, actual: Millis, now: Millis
    ) -> None:
        """Compare a first event with its forecast.

        One that is late shows load that this gateway was not told of, as
        when it is cut off from the others.
        """
        left = self.unreported_delay(now)
        self._surprised_at = now
        over = actual - forecast
        if over > _SURPRISE:
            self._surprise = max(left, over)
        else:
            self._surprise = left // 2

    def unreported_delay(self, now: Millis) -> Millis:
        """Return how long load that nobody told of will take."""
        if not self._surprise:
            return 0
        age = now - self._surprised_at
        return int(self._surprise * _HALF ** (age / _SURPRISE_HALF_LIFE))

    def next_end(self) -> Millis:
        """Return when the first of its requests ends, by forecast."""
        return min(send.end_at for send in self.send_by_id.values())


class FleetLoad:
    """Loads by worker."""

    def __init__(self) -> None:
        """Know of no load."""
        self.load_by_id: dict[str, EngineLoad] = {}

    def load(self, worker_id: str) -> EngineLoad:
        """Return the load of a worker, empty when nothing is known."""
        found = self.load_by_id.get(worker_id)
        if found is None:
            found = EngineLoad()
            self.load_by_id[worker_id] = found
        return found

    def record_send(
        self,
        worker_id: str,
        engine: EngineModel,
        send: Send,
        now: Millis,
    ) -> Send:
        """Add a send, with its forecast filled in."""
        load = self.load(worker_id)
        reading = engine_time.prefill_ms(
            engine, send.prompt_tokens, 1 + len(send.parts)
        )
        read_at = self._read_until(load, reading, now)
        for part in send.parts:
            other = self.load(part.worker_id)
            other.delay_prefills(reading * other.pace, now)
            read_at = max(read_at, self._read_until(other, reading, now))
            other.reserved_by_id[send.send_id] = part.reserved_tokens
        one_pass = load.pace * engine_time.iteration_ms(
            engine,
            len(load.send_by_id) + 1,
            load.context_tokens() + send.memory_tokens,
        )
        first_at = int(read_at + one_pass)
        writing = engine_time.decode_ms(engine, send.output_tokens, one_pass)
        filled = send._replace(
            prefill_time=int(reading),
            first_event_at=first_at,
            end_at=int(first_at + writing),
            is_late=first_at > send.due_at,
        )
        load.mark_late(load.prefill_until - now + one_pass, now)
        load.send_by_id[send.send_id] = filled
        return filled

    def record_end(self, worker_id: str, send_id: str, now: Millis) -> None:
        """Remove a send that ended."""
        load = self.load_by_id.get(worker_id)
        if load is None:
            return
        send = load.send_by_id.pop(send_id, None)
        if send is None:
            return
        # What was not read by its end is not read any more.
        unread = send.prefill_time if now < send.first_event_at else 0
        load.cancel_prefill(unread, now)
        for part in send.parts:
            other = self.load(part.worker_id)
            other.reserved_by_id.pop(send_id, None)
            other.cancel_prefill(unread, now)

    def record_pace(self, worker_id: str, pace: float) -> None:
        """Take how much longer than a sound engine this one needs."""
        self.load(worker_id).pace = min(_SLOWEST_PACE, max(1, pace))

    def drop_expired(self, now: Millis) -> None:
        """Drop sends whose end must have been lost."""
        for worker_id, load in tuple(self.load_by_id.items()):
            for send in tuple(load.send_by_id.values()):
                if now > send.end_at + _FORGET_AFTER:
                    self.record_end(worker_id, send.send_id, now)

    def retain(self, worker_ids: frozenset[str]) -> None:
        """Drop the loads of workers that are no longer known."""
        for worker_id in tuple(self.load_by_id):
            if worker_id not in worker_ids:
                self.load_by_id.pop(worker_id)

    def _read_until(
        self, load: EngineLoad, reading: float, now: Millis
    ) -> Millis:
        """Add a prompt's part to what an engine reads; return its end."""
        start = max(now, load.prefill_until)
        load.prefill_until = int(start + reading * load.pace)
        return load.prefill_until
