"""How long an ask will wait at an engine, from its owner's ledger."""

from collections.abc import Iterable

from verbenathread.scheduling.holds import Hold, HoldBook, memory_outlook
from verbenathread.scheduling.queueing import Waiting, WaitQueue, rank
from verbenathread.scheduling.tuning import Tuning
from verbenathread.scheduling.usage import ClassUse
from verbenathread.types import LengthClass, Millis


class Outlook:
    """The load of one engine at one moment."""

    def __init__(
        self,
        holds: HoldBook,
        queue: WaitQueue,
        use: ClassUse,
        tuning: Tuning,
        now: Millis,
    ) -> None:
        """Look at the ledger's parts as they are."""
        self._holds = holds
        self._queue = queue
        self._use = use
        self._tuning = tuning
        self._now = now

    def wait(self, waiting: Waiting, needed: int) -> float:
        """Return expected ms until the engine begins the prompt.

        ``needed`` is the memory that must be free for it.
        """
        prefill: float = 0
        for hold in self._holds:
            if hold.level <= waiting.level:
                prefill += hold.prefill_left(self._now)
        missing = needed - self._holds.free
        own_rank = rank(waiting)
        for other in self._queue:
            if rank(other) >= own_rank:
                continue
            prefill += other.prefill
        memory = memory_outlook(self._holds, missing, self._now)
        memory_wait = memory.wait
        if memory.surplus < 0:
            # What waits before it must come and go first.
            memory_wait += self._queue_time(waiting)
        if self._tuning.slow_memory_release:
            memory_wait = self._slowed(memory_wait, waiting.level)
        return max(self._slowed(prefill, waiting.level), memory_wait)

    def service(self, waiting: Waiting) -> float:
        """Return expected ms of prefill beside more urgent classes."""
        return self._slowed(waiting.prefill, waiting.level)

    def drain(self) -> Millis:
        """Return expected ms until the queue is half as long."""
        queued = sum(waiting.prefill for waiting in self._queue)
        return int(queued / 2)

    def _queue_time(self, waiting: Waiting) -> float:
        """Return ms that the queue before an ask fills all memory for."""
        filled: float = 0
        for other in self._queue:
            if other is waiting or other.length == LengthClass.SHORT:
                continue
            if other.since > waiting.since:
                continue
            time = other.prefill + other.output
            filled += time * other.ask.memory_tokens
        return filled / self._holds.memory_tokens

    def _slowed(self, prefill: float, level: int) -> float:
        return prefill / (1 - self._use.share_above(level, self._now))


class Gate:
    """How much more prefill the engine should get now, by length class."""

    def __init__(
        self, holds: Iterable[Hold], tuning: Tuning, now: Millis
    ) -> None:
        """Count what is granted and has no first token yet."""
        self._tuning = tuning
        # Long prompts are held back by their memory alone.
        self._window_by_class = (tuning.short_window, tuning.middle_window, 0)
        self._prefill: list[float] = [0 for _ in LengthClass]
        self._short_only = False
        self.is_shut = False
        for hold in holds:
            if hold.first_token_at is not None:
                continue
            self._prefill[hold.length] += hold.prefill_left(now)

    def is_open(self, length: LengthClass) -> bool:
        """Tell whether a prompt of this class may go to the engine."""
        if self.is_shut:
            return False
        if length == LengthClass.SHORT:
            return self._in_window(length)
        if self._short_only:
            return False
        return self._in_window(length)

    def count(self, waiting: Waiting) -> None:
        """Count one that is granted."""
        self._prefill[waiting.length] += waiting.prefill

    def close_for_longer(self) -> None:
        """Let only short ones pass one that waits for memory."""
        self._short_only = True
        self.is_shut = not self._tuning.class_priority

    def _in_window(self, length: LengthClass) -> bool:
        window = self._window_by_class[length]
        return not window or self._prefill[length] < window


def backlog_by_class(
    holds: Iterable[Hold], queue: Iterable[Waiting], now: Millis
) -> tuple[Millis, Millis, Millis]:
    """Return expected prefill not yet done, by length class, in ms."""
    backlog: list[float] = [0 for _ in LengthClass]
    for hold in holds:
        backlog[hold.length] += hold.prefill_left(now)
    for waiting in queue:
        backlog[waiting.length] += waiting.prefill
    short, middle, long = backlog
    return int(short), int(middle), int(long)
