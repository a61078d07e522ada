"""Limits per client account over all entries, without a round trip.

Each entry counts its own admissions at once and those of the others as their
usage arrives by gossip, in one bucket per limit. Late usage puts the bucket
into debt, so that the rate over time is the limit. What one entry may admit
between two reports is bounded by a second, local bucket; so over any window
the entries together admit at most::

    rate * (window + burst + LOCAL_SHARE * (burst + lag))

plus one request per entry, where ``lag`` is the age of the usage heard. An
entry that hears nothing from the others keeps to its even share.
"""

from collections.abc import Iterable
from typing import NamedTuple

from verbenathread.clock import MS_PER_SECOND
from verbenathread.schema import settings_pb2
from verbenathread.types import Millis, NodeId, Refusal, RefusalReason

# A bucket holds the rate of this time.
BURST: Millis = 3000
# The same for tokens; one long prompt takes the rate of several seconds.
TOKEN_BURST: Millis = 10000
# An entry alone may use this many times its even share of the rate.
LOCAL_SHARE_FACTOR = 3
# Usage older than this means that the other entries are not heard.
USAGE_STALE_AFTER: Millis = 5000
_LEAST_RETRY: Millis = 100


class AccountUsage(NamedTuple):
    """What one entry admitted for an account since it started."""

    account: str
    requests: float
    tokens: float
    long_running: int


class Bucket:
    """Tokens that come back at a rate; spending may run into debt."""

    def __init__(self, rate: float, now: Millis, burst: Millis) -> None:
        """Start full; ``rate`` is by second, ``burst`` in ms of the rate."""
        self.rate = rate
        self._most = max(1, rate * burst / MS_PER_SECOND)
        self._level = self._most
        self._at = now

    def level(self, now: Millis) -> float:
        """Return what may be spent now; below zero is debt."""
        back = (now - self._at) * self.rate / MS_PER_SECOND
        self._level = min(self._most, self._level + back)
        self._at = now
        return self._level

    def spend(self, amount: float, now: Millis) -> None:
        """Take ``amount``; a negative one gives back."""
        self._level = self.level(now) - amount

    def wait(self, now: Millis) -> Millis:
        """Return ms until there is one to spend."""
        missing = 1 - self.level(now)
        return max(0, int(missing * MS_PER_SECOND / self.rate) + 1)


class _Limit:
    """One rate of one account as this entry sees it."""

    def __init__(
        self, rate: float, entries: int, burst: Millis, now: Millis
    ) -> None:
        self.rate = rate
        self.entries = entries
        local = min(rate, rate * LOCAL_SHARE_FACTOR / entries)
        self._fleet = Bucket(rate, now, burst)
        self._local = Bucket(local, now, burst)

    def wait(self, now: Millis, *, alone: bool) -> Millis:
        """Return ms until the next may go; 0 for now."""
        share = 1 if alone else LOCAL_SHARE_FACTOR
        self._local.rate = min(self.rate, self.rate * share / self.entries)
        waits = [
            bucket.wait(now)
            for bucket in (self._fleet, self._local)
            if bucket.level(now) < 1
        ]
        return max(waits, default=0)

    def spend(self, amount: float, now: Millis) -> None:
        """Count what this entry admits."""
        self._fleet.spend(amount, now)
        # Debt is paid off in the fleet's bucket, at the whole rate.
        self._local.spend(min(amount, self._local.level(now)), now)

    def hear(self, amount: float, now: Millis) -> None:
        """Count what another entry admitted."""
        self._fleet.spend(amount, now)


class _Account:
    """One account: its limits and what this entry admitted for it."""

    def __init__(
        self, limits: settings_pb2.AccountSettings, entries: int, now: Millis
    ) -> None:
        self.limits = limits
        self.entries = entries
        self.requests = _Limit(limits.requests_per_second, entries, BURST, now)
        self.tokens = _Limit(
            limits.tokens_per_second, entries, TOKEN_BURST, now
        )
        self.own = AccountUsage('', 0, 0, 0)

    def long_room(self, others: int) -> bool:
        """Tell whether one more long prompt may run beside the others'."""
        most = self.limits.long_prompts
        own_most = max(1, -(-most * LOCAL_SHARE_FACTOR // self.entries))
        own = self.own.long_running
        return others + own < most and own < own_most


class AccountLimiter:
    """Decides at this entry whether an account is within its limits."""

    def __init__(self, entries: int, now: Millis) -> None:
        """Know that ``entries`` entries share each limit."""
        self._entries = entries
        self._account_by_name: dict[str, _Account] = {}
        self._heard_at: Millis = now
        self._heard_by_entry: dict[NodeId, dict[str, AccountUsage]] = {}

    def admit(
        self,
        name: str,
        limits: settings_pb2.AccountSettings,
        tokens: int,
        now: Millis,
        *,
        is_long: bool,
    ) -> Refusal | None:
        """Count one request, or refuse it and say when to come back."""
        account = self._account(name, limits, now)
        alone = self._entries > 1 and now - self._heard_at > USAGE_STALE_AFTER
        wait = max(
            account.requests.wait(now, alone=alone),
            account.tokens.wait(now, alone=alone),
        )
        if is_long and not account.long_room(self._others_long(name)):
            wait = max(wait, MS_PER_SECOND)
        if wait:
            return Refusal(
                RefusalReason.ACCOUNT_LIMIT,
                'The account is over its limit; send more slowly.',
                max(wait, _LEAST_RETRY),
            )
        account.requests.spend(1, now)
        account.tokens.spend(tokens, now)
        own = account.own
        account.own = own._replace(
            requests=own.requests + 1,
            tokens=own.tokens + tokens,
            long_running=own.long_running + is_long,
        )
        return None

    def finish(
        self, name: str, unspent: int, now: Millis, *, is_long: bool
    ) -> None:
        """Note the end of an admitted request; give back unspent tokens."""
        account = self._account_by_name.get(name)
        if account is None:
            return
        account.tokens.spend(-unspent, now)
        own = account.own
        account.own = own._replace(
            tokens=own.tokens - unspent,
            long_running=max(0, own.long_running - is_long),
        )

    def usage(self) -> list[AccountUsage]:
        """Return the usage of this entry, to be gossiped."""
        return [
            account.own._replace(account=name)
            for name, account in self._account_by_name.items()
        ]

    def record_usage(
        self, entry_id: NodeId, usages: Iterable[AccountUsage], now: Millis
    ) -> None:
        """Count what another entry says that it admitted."""
        self._heard_at = now
        heard = self._heard_by_entry.get(entry_id)
        if heard is None:
            # What it admitted before this entry listened is not known.
            heard = {usage.account: usage for usage in usages}
            self._heard_by_entry[entry_id] = heard
        for usage in usages:
            last = heard.get(usage.account)
            if usage == last:
                continue
            heard[usage.account] = usage
            account = self._account_by_name.get(usage.account)
            if account is None:
                continue
            if last is None:
                last = AccountUsage(usage.account, 0, 0, 0)
            if last.requests <= usage.requests:
                account.requests.hear(usage.requests - last.requests, now)
                account.tokens.hear(usage.tokens - last.tokens, now)

    def forget_entry(self, entry_id: NodeId) -> None:
        """Drop the usage of an entry that is gone."""
        self._heard_by_entry.pop(entry_id, None)

    def _others_long(self, name: str) -> int:
        """Return the long prompts that the other entries run."""
        running = 0
        for heard in self._heard_by_entry.values():
            usage = heard.get(name)
            if usage is not None:
                running += usage.long_running
        return running

    def _account(
        self, name: str, limits: settings_pb2.AccountSettings, now: Millis
    ) -> _Account:
        known = self._account_by_name.get(name)
        if known is not None:
            same_limits = known.limits == limits
            if same_limits and known.entries == self._entries:
                return known
        account = _Account(limits, self._entries, now)
        if known is not None:
            account.own = known.own
        self._account_by_name[name] = account
        return account
