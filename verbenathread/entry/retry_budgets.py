"""Retry budgets of this entry, one for each service.

Worker threads share the budgets, so a lock guards them.
"""

import random
import threading

from verbenathread.clock import Clock
from verbenathread.scheduling.retries import Retry, RetryPolicy
from verbenathread.schema import settings_pb2
from verbenathread.types import Millis, Outcome, Refusal


class RetryBudgets:
    """Decides whether and when a request may be retried."""

    def __init__(self, clock: Clock, rng: random.Random | None = None) -> None:
        """Start each service with a small budget; ``rng`` draws jitter."""
        self._clock = clock
        self._rng = rng or random.Random()
        self._lock = threading.Lock()
        self._policy_by_service: dict[str, RetryPolicy] = {}

    def record_first_attempt(
        self, service: str, policy: settings_pb2.PolicySettings
    ) -> None:
        """Count a first attempt, which adds to the budget of retries."""
        with self._lock:
            self._retry_policy(service, policy).record_first_attempt()

    def next_retry(
        self,
        service: str,
        attempts: int,
        outcome: Outcome,
        deadline: Millis,
    ) -> Retry | Refusal:
        """Return when to retry an idempotent request, or why not.

        ``attempts`` is the number of attempts made so far.
        """
        with self._lock:
            return self._policy_by_service[service].decide(
                deadline,
                attempts,
                outcome,
                self._clock.now(),
                repeatable=True,
            )

    def _retry_policy(
        self, service: str, policy: settings_pb2.PolicySettings
    ) -> RetryPolicy:
        retry_policy = self._policy_by_service.get(service)
        if retry_policy is None:
            retry_policy = RetryPolicy(policy, self._rng)
            self._policy_by_service[service] = retry_policy
        retry_policy.policy = policy
        return retry_policy
