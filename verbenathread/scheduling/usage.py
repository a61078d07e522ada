"""What an engine's owner measures of the engine's prefill."""

import math

from verbenathread.scheduling.estimates import PrefillCost
from verbenathread.scheduling.holds import Hold
from verbenathread.scheduling.length_classes import LEVELS
from verbenathread.scheduling.queueing import Waiting
from verbenathread.types import LengthClass, Millis

_HALF_LIFE_MS = 20000.0
_MOST_USE = 0.9


class ClassUse:
    """Use of the engine's prefill, by length class and by level."""

    def __init__(self) -> None:
        """Start with no use."""
        self._granted: list[float] = [0 for _ in LengthClass]
        self._decayed: list[float] = [0 for _ in range(LEVELS)]
        self._decayed_at: Millis = 0

    def note(self, waiting: Waiting, now: Millis) -> None:
        """Count a grant of some ms of prefill."""
        self._decay(now)
        self._granted[waiting.length] += waiting.prefill
        self._decayed[waiting.level] += waiting.prefill

    def share_above(self, level: int, now: Millis) -> float:
        """Return the share that more urgent levels take, at most 0.9."""
        self._decay(now)
        above = sum(self._decayed[:level])
        return min(_MOST_USE, above * math.log(2) / _HALF_LIFE_MS)

    def granted_by_class(self) -> tuple[Millis, Millis, Millis]:
        """Return the prefill granted so far, by class, in ms."""
        short, middle, long = self._granted
        return int(short), int(middle), int(long)

    def _decay(self, now: Millis) -> None:
        elapsed = now - self._decayed_at
        if elapsed <= 0:
            return
        kept = 0.5 ** (elapsed / _HALF_LIFE_MS)
        self._decayed = [part * kept for part in self._decayed]
        self._decayed_at = now


class BusyMeter:
    """Busy periods of the engine's prefill, which teach its cost."""

    def __init__(self, cost: PrefillCost) -> None:
        """Teach ``cost`` after each busy period."""
        self._cost = cost
        self._outstanding = 0
        self._since: Millis = 0
        self._prompts: list[int] = []
        self._clean = True

    def begin(self, now: Millis) -> None:
        """Note that the engine took one attempt."""
        if not self._outstanding:
            self._since = now
            self._prompts = []
            self._clean = True
        self._outstanding += 1

    def prefilled(self, hold: Hold, now: Millis) -> None:
        """Note the first token of one attempt."""
        if hold.started_at is None:
            return
        if hold.ask.group or not hold.ask.work.service:
            # Its time is not that of the whole prompt on this engine.
            self._clean = False
        self._prompts.append(hold.ask.work.prompt_tokens)
        self._end(now)

    def dropped(self, hold: Hold, now: Millis) -> None:
        """Note that one attempt ended, perhaps before its first token."""
        if hold.started_at is None or hold.first_token_at is not None:
            return
        self._clean = False
        self._end(now)

    def _end(self, now: Millis) -> None:
        self._outstanding = max(0, self._outstanding - 1)
        if not self._outstanding and self._clean:
            self._cost.observe_busy_period(now - self._since, self._prompts)
