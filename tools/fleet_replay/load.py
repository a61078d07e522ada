"""The load of a fleet replay: kinds of request, their waves and sizes."""

import random
from collections.abc import Iterator, Mapping, Sequence
from types import MappingProxyType
from typing import NamedTuple

from verbenathread.serving.types import EngineModel
from verbenathread.types import Millis

# Engine of a deployment of 172 workers, at the share of its size that the
# users play.
ENGINE = EngineModel(
    slots=5,
    memory_tokens=232_000,
    stride=68,
    step_ms=1.02,
    sequence_ms=0.00226,
    context_ms=0.00431,
    prefill_tokens_per_ms=206,
    attention_ms=0.138,
)
_MS_PER_SECOND = 1000
_MIN_TOKENS = 40
# Answers have at most this many times the mean number of events.
_MAX_EVENTS_FACTOR = 2.5
_HINT_SIGMA = 0.5
# Bounds of the factor by which the value of an answer grows with its prompt.
_BASE_VALUE_SHARE = 0.3
_MAX_VALUE_FACTOR = 4


class Kind(NamedTuple):
    """One kind of request."""

    name: str
    per_second: float
    tokens: float
    tokens_sigma: float
    max_tokens: int
    events: float
    events_sigma: float
    target_latency: Millis
    target_pause: Millis
    deadline: Millis
    # Value of an answer in time and of a late one.
    worth: float
    late_worth: float


KINDS = (
    Kind(
        name='short',
        per_second=122,
        tokens=4960,
        tokens_sigma=0.9,
        max_tokens=23_800,
        events=22.6,
        events_sigma=0.7,
        target_latency=421,
        target_pause=250,
        deadline=10_000,
        worth=1.3,
        late_worth=0.33,
    ),
    Kind(
        name='middle',
        per_second=9.6,
        tokens=45_000,
        tokens_sigma=0.5,
        max_tokens=110_000,
        events=13.6,
        events_sigma=0.6,
        target_latency=1532,
        target_pause=600,
        deadline=10_000,
        worth=2.9,
        late_worth=0.73,
    ),
    Kind(
        name='long',
        per_second=4.59,
        tokens=190_000,
        tokens_sigma=0.55,
        max_tokens=600_000,
        events=11.3,
        events_sigma=0.5,
        target_latency=3055,
        target_pause=1000,
        deadline=15_000,
        worth=18,
        late_worth=4.5,
    ),
)


class Wave(NamedTuple):
    """Factors on the rate of each kind until a moment."""

    until: Millis
    factor_by_kind: Mapping[str, float]


def factors(short: float, middle: float, long: float) -> Mapping[str, float]:
    """Return the factor of each kind."""
    return MappingProxyType({'short': short, 'middle': middle, 'long': long})


WAVES = (
    Wave(2300, factors(1, 1, 1)),
    Wave(11_800, factors(0.35, 1.3, 2.8)),
    Wave(13_000, factors(1, 1, 1)),
    Wave(22_500, factors(2.5, 0.5, 0.05)),
    Wave(23_000, factors(1, 1, 1)),
    Wave(32_500, factors(0.35, 1.3, 2.7)),
    Wave(34_000, factors(1, 1, 1)),
)


class Call:
    """One request and what its caller gets."""

    def __init__(self, kind: Kind, arrived: float, rng: random.Random) -> None:
        """Draw the size of a request of ``kind``."""
        self.kind = kind
        self.arrived = arrived
        tokens = _draw(rng, kind.tokens, kind.tokens_sigma)
        self.tokens = max(_MIN_TOKENS, min(kind.max_tokens, int(tokens)))
        events = round(_draw(rng, kind.events, kind.events_sigma))
        self.events = max(1, min(int(_MAX_EVENTS_FACTOR * kind.events), events))
        # The caller's estimate, which is often far off.
        hint = rng.lognormvariate(0, _HINT_SIGMA)
        self.expected_output = int(self.events * ENGINE.stride * hint)
        self.first_event: float | None = None
        self.longest_pause: float = 0
        self._last_event: float = 0
        self.is_refused = False
        self.is_broken = False

    def in_time(self) -> bool:
        """Return whether the answer is worth its full value."""
        if self.first_event is None or self.is_broken:
            return False
        return (
            self.first_event <= self.kind.target_latency
            and self.longest_pause <= self.kind.target_pause
        )

    def record_event(self, now: float) -> None:
        """Record an event of the answer, the first one or a later one."""
        if self.first_event is None:
            self.first_event = now - self.arrived
        else:
            self.longest_pause = max(self.longest_pause, now - self._last_event)
        self._last_event = now

    def value(self) -> float:
        """Return the value of a full answer."""
        size = _BASE_VALUE_SHARE + (1 - _BASE_VALUE_SHARE) * (
            self.tokens / self.kind.tokens
        )
        return self.kind.worth * min(_MAX_VALUE_FACTOR, size)


def draw_calls(
    waves: Sequence[Wave], rate: float, rng: random.Random
) -> Iterator[Call]:
    """Yield the requests of all kinds; ``rate`` scales their number."""
    for kind in KINDS:
        begin: float = 0
        for wave in waves:
            per_ms = kind.per_second * rate / _MS_PER_SECOND
            per_ms *= wave.factor_by_kind[kind.name]
            arrived = begin + rng.expovariate(per_ms)
            while arrived < wave.until:
                yield Call(kind, arrived, rng)
                arrived += rng.expovariate(per_ms)
            begin = wave.until


def _draw(rng: random.Random, mean: float, sigma: float) -> float:
    return mean * rng.lognormvariate(-sigma * sigma / 2, sigma)
