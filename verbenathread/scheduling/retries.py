"""Retries: only what may be repeated, within a budget, after a backoff."""

import random
from typing import NamedTuple

from verbenathread.schema import settings_pb2
from verbenathread.types import (
    Millis,
    Outcome,
    Refusal,
    RefusalReason,
)

_LONGEST_BACKOFF: Millis = 5000
# Retries that a quiet entry may make before its traffic earns more: one
# engine's death breaks all of its streams at this entry at once.
_LEAST_BUDGET = 10.0
_MOST_BUDGET = 50.0


class Retry(NamedTuple):
    """Try again after a delay."""

    delay: Millis


class RetryPolicy:
    """Retries of one entry, as a share of its first attempts."""

    def __init__(
        self, policy: settings_pb2.PolicySettings, rng: random.Random
    ) -> None:
        """Start with a small budget; ``rng`` decides the jitter."""
        self.policy = policy
        self._rng = rng
        self._budget = _LEAST_BUDGET

    def record_first_attempt(self) -> None:
        """Count a first attempt, which earns a share of a retry."""
        earned = self._budget + self.policy.retry_share
        self._budget = min(_MOST_BUDGET, earned)

    def decide(
        self,
        deadline: Millis,
        attempts: int,
        outcome: Outcome,
        now: Millis,
        *,
        repeatable: bool,
    ) -> Retry | Refusal:
        """Return when to try again, or why not.

        ``attempts`` is how many were made. What may have run is repeated
        only if it is ``repeatable``; what did not run always may be.
        """
        if outcome is Outcome.UNKNOWN and not repeatable:
            return _refused('The outcome is unknown; look before repeating.')
        if attempts >= self.policy.attempts:
            return _refused('Every attempt failed; retry later.')
        delay = self.backoff(attempts)
        if now + delay >= deadline:
            return _refused('No time is left for another attempt.')
        if self._budget < 1:
            return _refused('Too many retries are in progress; retry later.')
        self._budget -= 1
        return Retry(delay)

    def backoff(self, attempts: int) -> Millis:
        """Return a delay with full jitter, doubling with each attempt."""
        most = self.policy.retry_base * 2 ** (attempts - 1)
        return self._rng.randint(0, min(most, _LONGEST_BACKOFF))


def _refused(message: str) -> Refusal:
    return Refusal(RefusalReason.RETRY_BUDGET, message, _LONGEST_BACKOFF)
