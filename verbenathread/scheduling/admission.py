"""Admission control at one entry, before a request reaches any engine."""

from collections.abc import Sequence

from verbenathread.scheduling.groups import group_size
from verbenathread.scheduling.length_classes import length_class
from verbenathread.scheduling.limits import AccountLimiter
from verbenathread.schema import settings_pb2
from verbenathread.types import (
    LengthClass,
    Millis,
    Refusal,
    RefusalReason,
    UpstreamRecord,
    Work,
)

_NO_UPSTREAM_RETRY_AFTER: Millis = 1000
_EXPIRED_RETRY_AFTER: Millis = 1


def memory_needed(work: Work) -> int:
    """Return the maximum memory that a request may use, in tokens."""
    return work.prompt_tokens + work.most_output_tokens


class Admission:
    """Refuses requests that can't be served or exceed an account's limits."""

    def __init__(self, limiter: AccountLimiter) -> None:
        """Enforce the limits of each account with ``limiter``."""
        self.limiter = limiter

    def admit(
        self,
        work: Work,
        limits: settings_pb2.AccountSettings,
        policy: settings_pb2.PolicySettings,
        records: Sequence[UpstreamRecord],
        now: Millis,
    ) -> Refusal | None:
        """Return None if the request is admitted, else the refusal."""
        refusal = self._unservable(work, policy, records, now)
        if refusal is not None:
            return refusal
        return self.limiter.admit(
            work.account,
            limits,
            memory_needed(work),
            now,
            is_long=_is_long(work, policy),
        )

    def finish(
        self,
        work: Work,
        policy: settings_pb2.PolicySettings,
        output_tokens: int,
        now: Millis,
    ) -> None:
        """Record the end of an admitted request, whatever its outcome."""
        self.limiter.finish(
            work.account,
            max(0, work.most_output_tokens - output_tokens),
            now,
            is_long=_is_long(work, policy),
        )

    def _unservable(
        self,
        work: Work,
        policy: settings_pb2.PolicySettings,
        records: Sequence[UpstreamRecord],
        now: Millis,
    ) -> Refusal | None:
        if not records:
            return Refusal(
                RefusalReason.NO_UPSTREAM,
                'No engine serves this model now; retry later.',
                _NO_UPSTREAM_RETRY_AFTER,
            )
        if work.deadline <= now:
            return Refusal(
                RefusalReason.DEADLINE,
                'The time limit has passed; allow more time.',
                _EXPIRED_RETRY_AFTER,
            )
        engine_tokens = records[0].memory_tokens
        size = group_size(memory_needed(work), engine_tokens, policy)
        if size < 1 or size > len(records):
            return Refusal(
                RefusalReason.TOO_LONG,
                'The prompt and its maximum output do not fit in the memory of'
                ' all engines; shorten them.',
                0,
            )
        return None


def _is_long(work: Work, policy: settings_pb2.PolicySettings) -> bool:
    return length_class(work.prompt_tokens, policy) == LengthClass.LONG
