"""The queue of one engine: levels of urgency and fair shares."""

from collections.abc import Iterator
from typing import NamedTuple

from verbenathread.scheduling.estimates import PrefillCost
from verbenathread.scheduling.length_classes import length_class, size_level
from verbenathread.scheduling.messages import ReservationRequest
from verbenathread.scheduling.tuning import Tuning
from verbenathread.schema import settings_pb2
from verbenathread.types import LengthClass, Millis


class Waiting(NamedTuple):
    """One ask in the queue."""

    ask: ReservationRequest
    length: LengthClass
    # Expected prefill in ms.
    prefill: float
    since: Millis
    # Lower is more urgent, here and at the engine.
    level: int = 0
    # Expected ms of generation.
    output: float = 0
    # Virtual finish of the account's share; smaller goes first.
    finish: float = 0


def make_waiting(
    ask: ReservationRequest,
    cost: PrefillCost,
    policy: settings_pb2.PolicySettings,
    tuning: Tuning,
    now: Millis,
) -> Waiting:
    """Return the queue's view of an ask that arrives now."""
    prefill = cost.prefill(ask.work.prompt_tokens)
    if ask.group:
        prefill /= len(ask.group)
    length = length_class(ask.work.prompt_tokens, policy)
    level = int(length)
    if tuning.size_priority:
        level = size_level(ask.work.prompt_tokens, policy)
    if not tuning.class_priority:
        level = 0
    output = cost.output(ask.work.expected_output_tokens)
    return Waiting(ask, length, prefill, now, level, output)


def rank(waiting: Waiting) -> tuple[int, float, Millis, str]:
    """Return the sort key of one ask; lower goes first."""
    level = waiting.level
    return level, waiting.finish, waiting.since, waiting.ask.attempt_id


class WaitQueue:
    """Asks in the order in which memory goes to them.

    Between accounts the order is self-clocked fair queueing by weight
    (Golestani 1994), where that is on; between levels shorter goes first.
    """

    def __init__(self, tuning: Tuning) -> None:
        """Start empty."""
        self._tuning = tuning
        self._by_attempt: dict[str, Waiting] = {}
        self._finish_by_account: dict[str, float] = {}
        self._virtual: float = 0

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._by_attempt)

    def __iter__(self) -> Iterator[Waiting]:
        """Go over all that wait, in the order of their arrival."""
        return iter(self._by_attempt.values())

    def get(self, attempt_id: str) -> Waiting | None:
        """Return one that waits, or None."""
        return self._by_attempt.get(attempt_id)

    def placed(self, waiting: Waiting) -> Waiting:
        """Return an ask with the place that it would get now."""
        if not self._tuning.fair_queueing:
            return waiting
        account = waiting.ask.work.account
        start = max(self._virtual, self._finish_by_account.get(account, 0))
        finish = start + waiting.prefill / waiting.ask.weight
        return waiting._replace(finish=finish)

    def add(self, waiting: Waiting) -> None:
        """Put an ask that is placed into the queue."""
        account = waiting.ask.work.account
        self._finish_by_account[account] = waiting.finish
        self._by_attempt[waiting.ask.attempt_id] = waiting

    def remove(self, attempt_id: str) -> Waiting | None:
        """Take one out, if it waits."""
        waiting = self._by_attempt.pop(attempt_id, None)
        if not self._by_attempt:
            # Nobody competes, so no account owes anything.
            self._finish_by_account.clear()
            self._virtual = 0
        elif waiting is not None:
            self._virtual = max(self._virtual, waiting.finish)
        return waiting

    def ordered(self) -> list[Waiting]:
        """Return all that wait, the most urgent first."""
        return sorted(self._by_attempt.values(), key=rank)
