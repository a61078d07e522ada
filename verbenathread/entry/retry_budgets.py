"""Retries of this entry, within a budget for each service.

Worker threads share the budgets, so one lock guards them.
"""

import random
import threading

from verbenathread.clock import Clock
from verbenathread.scheduling.retries import Retry, RetryPolicy
from verbenathread.schema import settings_pb2
from verbenathread.types import Millis, Outcome, Refusal


class RetryBudgets:
    """Says whether and when the next attempt of a request may go out."""

    def __init__(self, clock: Clock, rng: random.Random | None = None) -> None:
        """Start every service with a small budget; ``rng`` is the jitter."""
        self._clock = clock
        self._rng = rng or random.Random()
        self._lock = threading.Lock()
        self._retries_by_service: dict[str, RetryPolicy] = {}

    def record_first_attempt(
        self, service: str, policy: settings_pb2.PolicySettings
    ) -> None:
        """Count a first attempt, which earns a share of a retry."""
        with self._lock:
            self._retries(service, policy).record_first_attempt()

    def next_retry(
        self,
        service: str,
        attempts: int,
        outcome: Outcome,
        deadline: Millis,
    ) -> Retry | Refusal:
        """Return when to try a repeatable request again, or why not.

        ``attempts`` is how many were made.
        """
        with self._lock:
            return self._retries_by_service[service].decide(
                deadline,
                attempts,
                outcome,
                self._clock.now(),
                repeatable=True,
            )

    def _retries(
        self, service: str, policy: settings_pb2.PolicySettings
    ) -> RetryPolicy:
        known = self._retries_by_service.get(service)
        if known is None:
            known = RetryPolicy(policy, self._rng)
            self._retries_by_service[service] = known
        known.policy = policy
        return known
