"""Rate limits per client account across all entries, without a round trip.

Each entry counts its own admissions at once, and those of the other entries
when their usage arrives by gossip, in one token bucket per limit. Usage that
arrives late puts the bucket into debt, so that the long-term rate equals the
limit. A second, local bucket bounds what one entry admits between two usage
reports. So over any window the entries together admit at most::

    rate * (window + burst + LOCAL_SHARE_FACTOR * (burst + lag))

plus one request per entry, where ``lag`` is the age of the received usage.
An entry that receives no usage from the others keeps to its even share.
"""

from collections.abc import Iterable
from typing import NamedTuple

from verbenathread.clock import MS_PER_SECOND
from verbenathread.schema import settings_pb2
from verbenathread.types import Millis, NodeId, Refusal, RefusalReason

# Capacity of the request bucket, as a time at its rate.
BURST: Millis = 3000
# The same for tokens: one long prompt uses the rate of several seconds.
TOKEN_BURST: Millis = 10000
# One entry may use up to this many times its even share of the rate.
LOCAL_SHARE_FACTOR = 3
# Without usage for this time, the other entries count as unreachable.
USAGE_STALE_AFTER: Millis = 5000
_MIN_RETRY: Millis = 100


class AccountUsage(NamedTuple):
    """Total admitted by one entry for an account since the entry started."""

    account: str
    requests: float
    tokens: float
    # Long prompts in progress.
    long_running: int


class TokenBucket:
    """Token bucket that refills at a rate and may go into debt."""

    def __init__(self, rate: float, now: Millis, burst: Millis) -> None:
        """Start full; ``rate`` is per second, ``burst`` is ms of that rate."""
        self.rate = rate
        self._capacity = max(1, rate * burst / MS_PER_SECOND)
        self._available = self._capacity
        self._updated_at = now

    def available(self, now: Millis) -> float:
        """Return what may be spent now; a negative amount is debt."""
        refilled = (now - self._updated_at) * self.rate / MS_PER_SECOND
        self._available = min(self._capacity, self._available + refilled)
        self._updated_at = now
        return self._available

    def spend(self, amount: float, now: Millis) -> None:
        """Take ``amount`` out; a negative amount is put back."""
        self._available = self.available(now) - amount

    def wait(self, now: Millis) -> Millis:
        """Return ms until at least one may be spent."""
        missing = 1 - self.available(now)
        return max(0, int(missing * MS_PER_SECOND / self.rate) + 1)


class _RateLimit:
    """One rate limit of one account, as enforced by this entry."""

    def __init__(
        self, rate: float, entries: int, burst: Millis, now: Millis
    ) -> None:
        self.rate = rate
        self.entries = entries
        local = min(rate, rate * LOCAL_SHARE_FACTOR / entries)
        self._fleet = TokenBucket(rate, now, burst)
        self._local = TokenBucket(local, now, burst)

    def wait(self, now: Millis, *, is_isolated: bool) -> Millis:
        """Return ms until the next request may be admitted; 0 is now."""
        share = 1 if is_isolated else LOCAL_SHARE_FACTOR
        self._local.rate = min(self.rate, self.rate * share / self.entries)
        waits = [
            bucket.wait(now)
            for bucket in (self._fleet, self._local)
            if bucket.available(now) < 1
        ]
        return max(waits, default=0)

    def spend(self, amount: float, now: Millis) -> None:
        """Count an admission of this entry."""
        self._fleet.spend(amount, now)
        # Only the fleet's bucket goes into debt: it refills at the full rate.
        self._local.spend(min(amount, self._local.available(now)), now)

    def record_remote(self, amount: float, now: Millis) -> None:
        """Count admissions of another entry."""
        self._fleet.spend(amount, now)


class _AccountState:
    """Limits of one account, and what this entry admitted for it."""

    def __init__(
        self, limits: settings_pb2.AccountSettings, entries: int, now: Millis
    ) -> None:
        self.limits = limits
        self.entries = entries
        self.requests = _RateLimit(
            limits.requests_per_second, entries, BURST, now
        )
        self.tokens = _RateLimit(
            limits.tokens_per_second, entries, TOKEN_BURST, now
        )
        self.own = AccountUsage('', 0, 0, 0)

    def allows_long(self, others: int) -> bool:
        """Return whether one more long prompt may run.

        ``others`` is the number that run through the other entries.
        """
        limit = self.limits.long_prompts
        own_limit = max(1, -(-limit * LOCAL_SHARE_FACTOR // self.entries))
        own = self.own.long_running
        return others + own < limit and own < own_limit


class AccountLimiter:
    """Decides at one entry whether accounts are within their limits."""

    def __init__(self, entries: int, now: Millis) -> None:
        """Share each limit among ``entries`` entries."""
        self._entries = entries
        self._state_by_account: dict[str, _AccountState] = {}
        self._usage_received_at: Millis = now
        self._usage_by_entry: dict[NodeId, dict[str, AccountUsage]] = {}

    def admit(
        self,
        name: str,
        limits: settings_pb2.AccountSettings,
        tokens: int,
        now: Millis,
        *,
        is_long: bool,
    ) -> Refusal | None:
        """Count one request, or refuse it with the time to retry after."""
        state = self._state(name, limits, now)
        is_isolated = (
            self._entries > 1
            and now - self._usage_received_at > USAGE_STALE_AFTER
        )
        wait = max(
            state.requests.wait(now, is_isolated=is_isolated),
            state.tokens.wait(now, is_isolated=is_isolated),
        )
        if is_long and not state.allows_long(self._others_long(name)):
            wait = max(wait, MS_PER_SECOND)
        if wait:
            return Refusal(
                RefusalReason.ACCOUNT_LIMIT,
                'The account is over its limit; send more slowly.',
                max(wait, _MIN_RETRY),
            )
        state.requests.spend(1, now)
        state.tokens.spend(tokens, now)
        own = state.own
        state.own = own._replace(
            requests=own.requests + 1,
            tokens=own.tokens + tokens,
            long_running=own.long_running + is_long,
        )
        return None

    def finish(
        self, name: str, unspent: int, now: Millis, *, is_long: bool
    ) -> None:
        """Record the end of an admitted request; return unspent tokens."""
        state = self._state_by_account.get(name)
        if state is None:
            return
        state.tokens.spend(-unspent, now)
        own = state.own
        state.own = own._replace(
            tokens=own.tokens - unspent,
            long_running=max(0, own.long_running - is_long),
        )

    def usage(self) -> list[AccountUsage]:
        """Return the usage of this entry, to be gossiped."""
        return [
            state.own._replace(account=name)
            for name, state in self._state_by_account.items()
        ]

    def record_usage(
        self, entry_id: NodeId, usages: Iterable[AccountUsage], now: Millis
    ) -> None:
        """Count the admissions that another entry reports."""
        self._usage_received_at = now
        last_by_account = self._usage_by_entry.get(entry_id)
        if last_by_account is None:
            # A first report does not say when its totals were admitted, so
            # they are only the baseline for the next one.
            last_by_account = {usage.account: usage for usage in usages}
            self._usage_by_entry[entry_id] = last_by_account
        for usage in usages:
            last = last_by_account.get(usage.account)
            if usage == last:
                continue
            last_by_account[usage.account] = usage
            state = self._state_by_account.get(usage.account)
            if state is None:
                continue
            if last is None:
                last = AccountUsage(usage.account, 0, 0, 0)
            if last.requests <= usage.requests:
                state.requests.record_remote(
                    usage.requests - last.requests, now
                )
                state.tokens.record_remote(usage.tokens - last.tokens, now)

    def forget_entry(self, entry_id: NodeId) -> None:
        """Remove the usage of an entry that is gone."""
        self._usage_by_entry.pop(entry_id, None)

    def _others_long(self, name: str) -> int:
        """Return the number of long prompts of the other entries."""
        running = 0
        for usage_by_account in self._usage_by_entry.values():
            usage = usage_by_account.get(name)
            if usage is not None:
                running += usage.long_running
        return running

    def _state(
        self, name: str, limits: settings_pb2.AccountSettings, now: Millis
    ) -> _AccountState:
        current = self._state_by_account.get(name)
        if current is not None:
            same_limits = current.limits == limits
            if same_limits and current.entries == self._entries:
                return current
        state = _AccountState(limits, self._entries, now)
        if current is not None:
            state.own = current.own
        self._state_by_account[name] = state
        return state
