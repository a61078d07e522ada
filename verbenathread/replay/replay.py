"""Runs a trace through the real scheduling code in virtual time."""

import random
from collections.abc import Mapping, Sequence
from typing import Any

from verbenathread.replay.deployment import (
    NO_FAULTS,
    Deployment,
    Faults,
    entry_id_at,
)
from verbenathread.replay.entry import Entry, EntryComponents
from verbenathread.replay.event_loop import EventLoop
from verbenathread.replay.fleet import Fleet
from verbenathread.replay.gossip import Gossip
from verbenathread.replay.policies import ChooserInputs, Policy
from verbenathread.replay.results import (
    ReplayResult,
    RequestResult,
    Violations,
)
from verbenathread.replay.trace import TraceRequest
from verbenathread.scheduling.admission import Admission
from verbenathread.scheduling.estimates import OutputEstimator
from verbenathread.scheduling.limits import AccountLimiter
from verbenathread.scheduling.outliers import OutlierTracker
from verbenathread.scheduling.prefixes import PrefixIndex
from verbenathread.scheduling.retries import RetryPolicy
from verbenathread.schema import settings_pb2
from verbenathread.types import Millis

# Time in ms after the last deadline for cancels to be confirmed and leases to
# expire.
_SETTLE_TIME: Millis = 10000
_MS_PER_SECOND = 1000
# Lowest rate limits of an account.
_MIN_REQUESTS_PER_SECOND = 5
_MIN_TOKENS_PER_SECOND = 100000
# Limit of the long prompts that an account has in progress.
_MAX_LONG_PROMPTS = 32


def default_policy() -> settings_pb2.PolicySettings:
    """Return the policy settings with the defaults of the schema."""
    policy = settings_pb2.PolicySettings()
    for field in settings_pb2.PolicySettings.DESCRIPTOR.fields:
        options: Any = field.GetOptions()
        rule = options.Extensions[settings_pb2.rule]
        # Every policy field is numeric.
        number = float(rule.default_text)
        is_whole = field.cpp_type == field.CPPTYPE_UINT32
        setattr(policy, field.name, int(number) if is_whole else number)
    return policy


class Replay:
    """Simulation of one trace under one policy."""

    def __init__(
        self,
        deployment: Deployment,
        policy: Policy,
        limits_by_account: Mapping[str, settings_pb2.AccountSettings],
        seed: int = 1,
    ) -> None:
        """Create the fleet; ``seed`` seeds every random generator."""
        self._loop = EventLoop()
        self._settings = default_policy()
        self._fleet = Fleet(
            deployment, self._settings, policy.tuning, self._loop
        )
        self._gossip = Gossip(self._fleet, random.Random(f'{seed}/gossip'))
        for position in range(deployment.entries):
            entry_id = entry_id_at(position)
            rng = random.Random(f'{seed}/{entry_id}')
            prefixes = PrefixIndex()
            components = EntryComponents(
                chooser=policy.make_chooser(
                    ChooserInputs(position, self._settings, rng, prefixes)
                ),
                admission=Admission(AccountLimiter(deployment.entries, 0)),
                retries=RetryPolicy(self._settings, rng),
                outliers=OutlierTracker(),
                outputs=OutputEstimator(),
                policy=self._settings,
                tuning=policy.tuning,
                limits_by_account=dict(limits_by_account),
            )
            entry = Entry(entry_id, components, self._fleet)
            self._fleet.entry_by_id[entry_id] = entry
            if policy.tuning.cache_affinity:
                self._gossip.prefixes_by_entry[entry_id] = prefixes

    def run(
        self, trace: Sequence[TraceRequest], faults: Faults = NO_FAULTS
    ) -> ReplayResult:
        """Run the trace until every request and every lease has ended."""
        for number, request in enumerate(trace):
            self._loop.call_at(request.arrival, self._arrive, number, request)
        last_limit = max(
            (traced.arrival + traced.time_limit for traced in trace),
            default=0,
        )
        end = last_limit + _SETTLE_TIME
        self._gossip.start(end, faults.reports_missing)
        for position, time in faults.engine_deaths:
            self._loop.call_at(time, self._fleet.kill_engine, position)
        for position, time in faults.entry_deaths:
            self._loop.call_at(time, self._fleet.kill_entry, position)
        self._loop.run(end)
        results = sorted(self._fleet.results)
        return ReplayResult(
            tuple(results),
            self._violations(len(trace), results),
            sum(result.attempts for result in results),
            max((traced.arrival for traced in trace), default=0),
        )

    def _arrive(self, number: int, request: TraceRequest) -> None:
        """Deliver a request to its entry, or to the next one alive."""
        entries = sorted(self._fleet.entry_by_id)
        rotated = entries[request.entry :] + entries[: request.entry]
        for entry_id in rotated:
            entry = self._fleet.entry_by_id[entry_id]
            if entry.alive:
                entry.arrive(number, request)
                return

    def _violations(
        self, requests: int, results: Sequence[RequestResult]
    ) -> Violations:
        past_limit = sum(
            result.ended_after > result.request.time_limit for result in results
        )
        engines = self._fleet.engine_by_id.values()
        leftover = sum(engine.used_tokens() > 0 for engine in engines)
        leftover += sum(
            ledger.free_tokens != ledger.memory_tokens
            for ledger in self._fleet.ledgers()
        )
        return Violations(
            past_limit=past_limit,
            memory_over=sum(engine.overcommits for engine in engines),
            holds_left=leftover,
            run_twice=self._fleet.run_twice,
            unanswered=abs(requests - len(results)),
        )


def limits_for(
    trace: Sequence[TraceRequest], multiple: float = 1e6
) -> dict[str, settings_pb2.AccountSettings]:
    """Return limits that are a multiple of each account's mean rate.

    The default multiple is too large to limit the rates.
    """
    duration = max((request.arrival for request in trace), default=1)
    count_by_account: dict[str, int] = {}
    tokens_by_account: dict[str, int] = {}
    for request in trace:
        name = request.account
        count_by_account[name] = count_by_account.get(name, 0) + 1
        tokens = request.prompt_tokens + request.most_output_tokens
        tokens_by_account[name] = tokens_by_account.get(name, 0) + tokens
    return {
        name: settings_pb2.AccountSettings(
            requests_per_second=max(
                _MIN_REQUESTS_PER_SECOND,
                count * _MS_PER_SECOND / duration * multiple,
            ),
            tokens_per_second=max(
                _MIN_TOKENS_PER_SECOND,
                tokens_by_account[name] * _MS_PER_SECOND / duration * multiple,
            ),
            long_prompts=_MAX_LONG_PROMPTS,
            weight=1,
        )
        for name, count in count_by_account.items()
    }
