"""Choice of engines by one entry, from delayed reports and its own sends."""

import bisect
import random
from collections.abc import Collection, Sequence
from typing import NamedTuple

from verbenathread.scheduling.length_classes import length_class
from verbenathread.scheduling.messages import EngineReport
from verbenathread.scheduling.prefixes import PrefixIndex
from verbenathread.scheduling.tuning import CURRENT, Tuning
from verbenathread.schema import settings_pb2
from verbenathread.types import (
    LengthClass,
    Millis,
    UpstreamId,
    UpstreamRecord,
    Work,
)

# Age of the engine state in a report when it arrives.
REPORT_LAG: Millis = 1000
_US_PER_MS = 1000
# Prefill time of 1,000 tokens that is assumed before the first report.
_DEFAULT_PREFILL_US = 50000
# Tokens whose prefill time a load report states.
_REPORTED_PREFILL_TOKENS = 1000
# Wait for memory at an engine with none free; less in proportion to the share
# of the required memory that is free.
_MEMORY_WAIT_PENALTY: Millis = 2000
# Each running request slows the prefill of the others by this share.
_SLOWDOWN_PER_RUNNING = 0.008
# A more urgent prompt waits for the end of the chunk that is being prefilled.
_CHUNK_WAIT: Millis = 15
_LONG = LengthClass.LONG
# Number of engines to add that have a prefix of the prompt cached.
_MAX_CACHE_HOLDERS = 2


class _UnreportedSend(NamedTuple):
    """A request sent by this entry that no load report includes yet."""

    request_id: str
    sent_at: Millis
    length: LengthClass
    prefill_ms: float
    memory_tokens: int


class _EngineState(NamedTuple):
    """Last report of one engine, and the sends that it doesn't include."""

    report: EngineReport | None
    received_at: Millis
    sends: tuple[_UnreportedSend, ...]


_UNKNOWN_STATE = _EngineState(None, 0, ())


class Router:
    """Orders a few sampled engines by the expected wait of a prompt.

    Random sampling (the power of two choices, Mitzenmacher 2001) keeps
    entries with the same delayed reports from all choosing the same engine.
    """

    def __init__(
        self,
        policy: settings_pb2.PolicySettings,
        rng: random.Random,
        tuning: Tuning = CURRENT,
        prefixes: PrefixIndex | None = None,
    ) -> None:
        """Start without reports; ``rng`` draws the samples."""
        self.policy = policy
        self.sampled_count = 0
        self._rng = rng
        self._tuning = tuning
        self._prefixes = prefixes or PrefixIndex()
        self._state_by_id: dict[UpstreamId, _EngineState] = {}

    def choose(
        self,
        work: Work,
        records: Sequence[UpstreamRecord],
        now: Millis,
        failed: Collection[UpstreamId] = (),
        min_engines: int = 1,
    ) -> list[UpstreamId]:
        """Return sampled engines, the one with the shortest wait first.

        ``records`` are the engines of the service, sorted by identifier;
        those in ``failed`` are left out. A group needs at least
        ``min_engines``, and gets a larger sample.
        """
        sample_size = (
            self.policy.candidates + len(failed) + 2 * (min_engines - 1)
        )
        sample = [
            record
            for record in self._with_holders(
                work, records, self._sample(records, sample_size)
            )
            if record.upstream_id not in failed
        ]
        scored = [
            (self._expected_wait(work, record, now), record.upstream_id)
            for record in sample
        ]
        return [upstream_id for _, upstream_id in sorted(scored)]

    def record_report(self, report: EngineReport, now: Millis) -> None:
        """Store a load report, and drop the sends that it includes."""
        state = self._state_by_id.get(report.upstream_id, _UNKNOWN_STATE)
        fresh = tuple(
            sent for sent in state.sends if sent.sent_at > now - REPORT_LAG
        )
        self._state_by_id[report.upstream_id] = _EngineState(report, now, fresh)

    def record_sent(
        self, upstream_id: UpstreamId, work: Work, now: Millis
    ) -> None:
        """Count a send until a report includes it."""
        state = self._state_by_id.get(upstream_id, _UNKNOWN_STATE)
        sent = _UnreportedSend(
            work.request_id,
            now,
            length_class(work.prompt_tokens, self.policy),
            self._prefill(state, work.prompt_tokens),
            work.prompt_tokens + work.most_output_tokens,
        )
        self._state_by_id[upstream_id] = state._replace(
            sends=(*state.sends, sent)
        )

    def record_done(self, upstream_id: UpstreamId, work: Work) -> None:
        """Stop counting a send that has ended or was never made."""
        state = self._state_by_id.get(upstream_id, _UNKNOWN_STATE)
        rest = tuple(
            sent for sent in state.sends if sent.request_id != work.request_id
        )
        self._state_by_id[upstream_id] = state._replace(sends=rest)

    def forget(self, upstream_id: UpstreamId) -> None:
        """Remove the state of an engine that is gone."""
        self._state_by_id.pop(upstream_id, None)

    def _sample(
        self, records: Sequence[UpstreamRecord], sample_size: int
    ) -> list[UpstreamRecord]:
        count = min(len(records), sample_size)
        self.sampled_count += count
        drawn = self._rng.sample(range(len(records)), count)
        return [records[position] for position in drawn]

    def _expected_wait(
        self, work: Work, record: UpstreamRecord, now: Millis
    ) -> float:
        """Return the expected ms until the first token."""
        state = self._state_by_id.get(record.upstream_id, _UNKNOWN_STATE)
        length = length_class(work.prompt_tokens, self.policy)
        prefill = self._prefill(state, work.prompt_tokens)
        cached = self._cached(work, record)
        free = record.memory_tokens
        wait: float = 0
        if state.report is not None:
            free = state.report.free_tokens
            backlog = sum(state.report.backlog_by_class[: length + 1])
            wait += max(0, backlog - (now - state.received_at))
            wait += state.report.running * _SLOWDOWN_PER_RUNNING * prefill
            if sum(state.report.backlog_by_class[length + 1 :]) > 0:
                wait += _CHUNK_WAIT
        for sent in state.sends:
            free -= sent.memory_tokens
            if sent.length <= length:
                wait += max(0, sent.prefill_ms - (now - sent.sent_at))
        required = work.prompt_tokens + work.most_output_tokens
        if required > free:
            wait += _MEMORY_WAIT_PENALTY * (required - free) / required
        return wait + prefill - self._prefill(state, cached)

    def _cached(self, work: Work, record: UpstreamRecord) -> int:
        """Return the number of leading tokens that the engine has cached."""
        if not self._has_affinity(work):
            return 0
        return self._prefixes.cached_tokens(
            record.upstream_id, work.prefix_hashes
        )

    def _has_affinity(self, work: Work) -> bool:
        length = length_class(work.prompt_tokens, self.policy)
        return self._tuning.cache_affinity and length != _LONG

    def _with_holders(
        self,
        work: Work,
        records: Sequence[UpstreamRecord],
        sample: list[UpstreamRecord],
    ) -> list[UpstreamRecord]:
        """Add some engines that have a prefix of the prompt cached."""
        if not self._has_affinity(work):
            return sample
        holders = self._prefixes.holders(work.prefix_hashes)
        drawn = self._rng.sample(holders, min(_MAX_CACHE_HOLDERS, len(holders)))
        sampled = {record.upstream_id for record in sample}
        for upstream_id in drawn:
            position = bisect.bisect_left(
                records, upstream_id, key=_upstream_id
            )
            if upstream_id in sampled or position == len(records):
                continue
            if records[position].upstream_id == upstream_id:
                sample.append(records[position])
        return sample

    def _prefill(self, state: _EngineState, tokens: int) -> float:
        reported_us = _DEFAULT_PREFILL_US
        if state.report is not None:
            reported_us = state.report.prefill_us
        return tokens * reported_us / _REPORTED_PREFILL_TOKENS / _US_PER_MS


def _upstream_id(record: UpstreamRecord) -> UpstreamId:
    return record.upstream_id
