"""Choice of engines by one entry, from late load reports and own sends."""

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

# A report tells of the engine as it was this long ago.
REPORT_LAG: Millis = 1000
_US_PER_MS = 1000
_FIRST_PREFILL_US = 50000
_TOKENS_PER_SAMPLE = 1000
# Expected wait for memory where the report shows too little.
_MEMORY_WAIT: Millis = 2000
# Each running request slows the prefill of the others by this share.
_RUNNING_SHARE = 0.008
# A more urgent prompt waits for the end of a chunk of one that runs.
_CHUNK_WAIT: Millis = 15
_LONG = LengthClass.LONG
# Engines drawn among those that have the prompt's beginning cached.
_HOLDERS = 2


class _Sent(NamedTuple):
    """One send of this entry that no report shows yet."""

    request_id: str
    at: Millis
    length: LengthClass
    prefill: float
    memory_tokens: int


class _Seen(NamedTuple):
    """What this entry knows of one engine."""

    report: EngineReport | None
    noted_at: Millis
    sent: tuple[_Sent, ...]


_UNSEEN = _Seen(None, 0, ())


class Router:
    """Orders a few sampled engines by the wait that a prompt should expect.

    A sample of some engines (the power of two choices, Mitzenmacher 2001)
    keeps entries with equal, late reports from all choosing the same one.
    """

    def __init__(
        self,
        policy: settings_pb2.PolicySettings,
        rng: random.Random,
        tuning: Tuning = CURRENT,
        prefixes: PrefixIndex | None = None,
    ) -> None:
        """Know nothing of any engine; ``rng`` decides the samples."""
        self.policy = policy
        self.sampled_count = 0
        self._rng = rng
        self._tuning = tuning
        self._prefixes = prefixes or PrefixIndex()
        self._seen_by_id: dict[UpstreamId, _Seen] = {}

    def choose(
        self,
        work: Work,
        records: Sequence[UpstreamRecord],
        now: Millis,
        failed: Collection[UpstreamId] = (),
        min_engines: int = 1,
    ) -> list[UpstreamId]:
        """Return sampled engines, the one with the least wait first.

        ``records`` are the engines of the service by their identifier; those
        in ``failed`` are passed over. A group needs at least
        ``least`` engines, and gets a sample of more.
        """
        wanted = self.policy.candidates + len(failed) + 2 * (min_engines - 1)
        sample = [
            record
            for record in self._with_holders(
                work, records, self._sample(records, wanted)
            )
            if record.upstream_id not in failed
        ]
        scored = [
            (self._expected(work, record, now), record.upstream_id)
            for record in sample
        ]
        return [upstream_id for _, upstream_id in sorted(scored)]

    def record_report(self, report: EngineReport, now: Millis) -> None:
        """Take a load report; an older one than the last is ignored."""
        seen = self._seen_by_id.get(report.upstream_id, _UNSEEN)
        fresh = tuple(sent for sent in seen.sent if sent.at > now - REPORT_LAG)
        self._seen_by_id[report.upstream_id] = _Seen(report, now, fresh)

    def record_sent(
        self, upstream_id: UpstreamId, work: Work, now: Millis
    ) -> None:
        """Count a send that no report shows yet."""
        seen = self._seen_by_id.get(upstream_id, _UNSEEN)
        sent = _Sent(
            work.request_id,
            now,
            length_class(work.prompt_tokens, self.policy),
            self._prefill(seen, work.prompt_tokens),
            work.prompt_tokens + work.most_output_tokens,
        )
        self._seen_by_id[upstream_id] = seen._replace(sent=(*seen.sent, sent))

    def record_done(self, upstream_id: UpstreamId, work: Work) -> None:
        """Stop counting a send that has ended or never went out."""
        seen = self._seen_by_id.get(upstream_id, _UNSEEN)
        rest = tuple(
            sent for sent in seen.sent if sent.request_id != work.request_id
        )
        self._seen_by_id[upstream_id] = seen._replace(sent=rest)

    def forget(self, upstream_id: UpstreamId) -> None:
        """Drop what is known of an engine that is gone."""
        self._seen_by_id.pop(upstream_id, None)

    def _sample(
        self, records: Sequence[UpstreamRecord], wanted: int
    ) -> list[UpstreamRecord]:
        count = min(len(records), wanted)
        self.sampled_count += count
        drawn = self._rng.sample(range(len(records)), count)
        return [records[position] for position in drawn]

    def _expected(
        self, work: Work, record: UpstreamRecord, now: Millis
    ) -> float:
        """Return expected ms before the first token."""
        seen = self._seen_by_id.get(record.upstream_id, _UNSEEN)
        length = length_class(work.prompt_tokens, self.policy)
        prefill = self._prefill(seen, work.prompt_tokens)
        cached = self._cached(work, record)
        free = record.memory_tokens
        wait: float = 0
        if seen.report is not None:
            free = seen.report.free_tokens
            backlog = sum(seen.report.backlog_by_class[: length + 1])
            wait += max(0, backlog - (now - seen.noted_at))
            wait += seen.report.running * _RUNNING_SHARE * prefill
            if sum(seen.report.backlog_by_class[length + 1 :]) > 0:
                wait += _CHUNK_WAIT
        for sent in seen.sent:
            free -= sent.memory_tokens
            if sent.length <= length:
                wait += max(0, sent.prefill - (now - sent.at))
        needed = work.prompt_tokens + work.most_output_tokens
        if needed > free:
            wait += _MEMORY_WAIT * (needed - free) / needed
        return wait + prefill - self._prefill(seen, cached)

    def _cached(self, work: Work, record: UpstreamRecord) -> int:
        """Return the leading tokens that the engine has cached."""
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
        """Add a few engines that have the beginning of the prompt cached."""
        if not self._has_affinity(work):
            return sample
        holders = self._prefixes.holders(work.prefix_hashes)
        drawn = self._rng.sample(holders, min(_HOLDERS, len(holders)))
        known = {record.upstream_id for record in sample}
        for upstream_id in drawn:
            place = bisect.bisect_left(records, upstream_id, key=_upstream_id)
            if upstream_id in known or place == len(records):
                continue
            if records[place].upstream_id == upstream_id:
                sample.append(records[place])
        return sample

    def _prefill(self, seen: _Seen, tokens: int) -> float:
        sample_us = _FIRST_PREFILL_US
        if seen.report is not None:
            sample_us = seen.report.prefill_us
        return tokens * sample_us / _TOKENS_PER_SAMPLE / _US_PER_MS


def _upstream_id(record: UpstreamRecord) -> UpstreamId:
    return record.upstream_id
