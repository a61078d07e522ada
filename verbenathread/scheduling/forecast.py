"""How long an ask will wait at an engine, from its owner's ledger."""

from collections.abc import Iterable

from verbenathread.scheduling.holds import Hold, HoldBook, memory_outlook
from verbenathread.scheduling.queueing import Waiting, WaitQueue
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
        own_rank = self._queue.rank(waiting, self._now)
        for other in self._queue:
            if self._queue.rank(other, self._now) >= own_rank:
                continue
            prefill += other.prefill
        memory = memory_outlook(self._holds, missing, self._now)
        memory_wait = memory.wait
        if self._tuning.slowed_memory:
            memory_wait = self._slowed(memory_wait, waiting.level)
        return max(self._slowed(prefill, waiting.level), memory_wait)

    def service(self, waiting: Waiting) -> float:
        """Return expected ms of prefill beside more urgent classes."""
        return self._slowed(waiting.prefill, waiting.level)

    def drain(self) -> Millis:
        """Return expected ms until the queue is half as long."""
        queued = sum(waiting.prefill for waiting in self._queue)
        return int(queued / 2)

    def _slowed(self, prefill: float, level: int) -> float:
        return prefill / (1 - self._use.share_above(level, self._now))


class Gate:
    """How much more prefill the engine should get now, by length class."""

    def __init__(
        self, holds: Iterable[Hold], tuning: Tuning, now: Millis
    ) -> None:
        """Count what is granted and has no first token yet."""
        self._tuning = tuning
        self._prefill: list[float] = [0 for _ in LengthClass]
        self._count = [0 for _ in LengthClass]
        self._short_only = False
        self._shut = False
        for hold in holds:
            if hold.first_token_at is not None:
                continue
            self._prefill[hold.length] += hold.prefill_left(now)
            self._count[hold.length] += 1

    def is_open(self, length: LengthClass) -> bool:
        """Tell whether a prompt of this class may go to the engine."""
        if self._shut:
            return False
        if length == LengthClass.SHORT:
            return self._in_window(length)
        if self._short_only:
            return False
        if length == LengthClass.MIDDLE:
            return self._in_window(length)
        most = self._tuning.long_prefills
        return not most or self._count[length] < most

    def count(self, waiting: Waiting) -> None:
        """Count one that is granted."""
        self._prefill[waiting.length] += waiting.prefill
        self._count[waiting.length] += 1

    def close_for_longer(self) -> None:
        """Let only short ones pass one that waits for memory."""
        self._short_only = True
        self._shut = not self._tuning.by_class

    def _in_window(self, length: LengthClass) -> bool:
        window = self._tuning.middle_window
        if length == LengthClass.SHORT:
            window = self._tuning.short_window
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
