"""Retries of what is safe to repeat, with a budget and backoff."""

import random
from typing import NamedTuple

from verbenathread.schema import settings_pb2
from verbenathread.types import (
    Millis,
    Outcome,
    Refusal,
    RefusalReason,
)

_MAX_BACKOFF: Millis = 5000
# Retries that an entry with little traffic may make before its requests earn
# more: the failure of one engine breaks all of its streams at once.
_INITIAL_BUDGET = 10.0
_MAX_BUDGET = 50.0


class Retry(NamedTuple):
    """Try again after a delay."""

    delay: Millis


class RetryPolicy:
    """Limits the retries of one entry to a share of its first attempts."""

    def __init__(
        self, policy: settings_pb2.PolicySettings, rng: random.Random
    ) -> None:
        """Start with the initial budget; ``rng`` draws the jitter."""
        self.policy = policy
        self._rng = rng
        self._budget = _INITIAL_BUDGET

    def record_first_attempt(self) -> None:
        """Count a first attempt, which adds a share of a retry."""
        earned = self._budget + self.policy.retry_share
        self._budget = min(_MAX_BUDGET, earned)

    def decide(
        self,
        deadline: Millis,
        attempts: int,
        outcome: Outcome,
        now: Millis,
        *,
        repeatable: bool,
    ) -> Retry | Refusal:
        """Return a retry, or a refusal with the reason for none.

        ``attempts`` is the number made so far. A request that may have run
        is retried only if it is ``repeatable``; one that did not run always
        may be.
        """
        if outcome is Outcome.UNKNOWN and not repeatable:
            return _refused(
                'The outcome is unknown; check it before repeating.'
            )
        if attempts >= self.policy.attempts:
            return _refused('Every attempt failed; retry later.')
        delay = self.backoff(attempts)
        if now + delay >= deadline:
            return _refused('No time is left for another attempt.')
        if self._budget < 1:
            return _refused('The retry budget is used up; retry later.')
        self._budget -= 1
        return Retry(delay)

    def backoff(self, attempts: int) -> Millis:
        """Return a delay with full jitter; its maximum doubles each time."""
        maximum = self.policy.retry_base * 2 ** (attempts - 1)
        return self._rng.randint(0, min(maximum, _MAX_BACKOFF))


def _refused(message: str) -> Refusal:
    return Refusal(RefusalReason.RETRY_BUDGET, message, _MAX_BACKOFF)
