"""Simulated model engine that runs in virtual time.

The engine uses continuous batching: each step processes one chunk of the
prefill with the highest priority and decodes one token of every active
stream. A prefill is preempted only at the end of a chunk. Free memory caches
prefixes, and jobs can be cancelled.
"""

import itertools
from collections import OrderedDict
from typing import NamedTuple, Protocol

from verbenathread.replay.event_loop import EventLoop
from verbenathread.scheduling.messages import EngineHold
from verbenathread.scheduling.prefixes import BLOCK_TOKENS, covered_tokens
from verbenathread.types import NodeId, UpstreamId

# Rounding error that is allowed in steps and in tokens of work.
_TOLERANCE = 1e-6
# Sorts a prefill in its last chunk before every other priority.
_LAST_CHUNK_PRIORITY = -1000


class EngineRates(NamedTuple):
    """Speed and memory size of an engine."""

    memory_tokens: int = 400000
    # Prefill rate of a short prompt, in tokens per ms.
    prefill_rate: float = 20
    # Prompt length at which attention doubles the cost of the last token.
    attention_double_tokens: int = 500000
    chunk_tokens: int = 512
    # Minimum time of a step, and the time that each decoding stream adds.
    min_step_ms: float = 15
    step_ms_per_stream: float = 0.2
    # Cost of a prefill on a group, relative to a single engine.
    group_overhead: float = 1.25

    def halved(self) -> 'EngineRates':
        """Return a copy with half the prefill rate and memory."""
        return self._replace(
            memory_tokens=self.memory_tokens // 2,
            prefill_rate=self.prefill_rate / 2,
        )

    def prefill_work(self, tokens: int) -> float:
        """Return the cost of a prefill, in tokens of a short prompt.

        The quadratic term is the cost of attention.
        """
        return tokens + tokens * tokens / (2 * self.attention_double_tokens)

    def step_ms(self, streams: int, *, prefilling: bool) -> float:
        """Return the time of one step in ms."""
        shortest = self.min_step_ms
        if prefilling:
            shortest = max(shortest, self.chunk_tokens / self.prefill_rate)
        return shortest + self.step_ms_per_stream * streams


class Job(NamedTuple):
    """One attempt, or the share of it that one engine runs."""

    attempt_id: str
    request_id: str
    entry_id: NodeId
    prompt_tokens: int
    output_tokens: int
    memory_tokens: int
    priority: int
    prefix_hashes: tuple[int, ...] = ()
    # Number of engines that the prompt is split over.
    group_size: int = 1


class JobListener(Protocol):
    """Receives the progress of a job."""

    def prefilled(self, attempt_id: str) -> None:
        """Handle the end of the prefill, which yields the first token."""

    def finished(self, attempt_id: str) -> None:
        """Handle the last token."""

    def broken(self, attempt_id: str) -> None:
        """Handle the loss of the engine."""


class _RunningJob:
    """A job in progress on an engine."""

    def __init__(self, job: Job, listener: JobListener, work: float) -> None:
        self.job = job
        self.listener = listener
        # In tokens of a short prompt, as from EngineRates.prefill_work.
        self.remaining_work = work
        # Step of the engine in which the last token is decoded.
        self.finish_step: float = 0
        self.is_prefilled = False


class Engine:
    """Simulated engine with a prefill queue, streams and a prefix cache."""

    def __init__(
        self, upstream_id: UpstreamId, rates: EngineRates, loop: EventLoop
    ) -> None:
        """Create an idle engine."""
        self.upstream_id = upstream_id
        self.rates = rates
        self.alive = True
        self.overcommits = 0
        self.cache = PrefixCache()
        self._loop = loop
        self._job_by_attempt: dict[str, _RunningJob] = {}
        self._prefilling: list[tuple[int, int, _RunningJob]] = []
        self._decoding: dict[str, _RunningJob] = {}
        # Steps so far; every decoding stream gains one token per step.
        self._decode_steps: float = 0
        self._advanced_to: float = 0
        self._wake_number = 0
        self._queue_numbers = itertools.count()

    def used_tokens(self) -> int:
        """Return the memory reserved by the attempts in progress."""
        return sum(
            run.job.memory_tokens for run in self._job_by_attempt.values()
        )

    def submit(self, job: Job, listener: JobListener) -> None:
        """Start a job; an engine that has died reports it as broken."""
        if not self.alive:
            listener.broken(job.attempt_id)
            return
        self._advance()
        cached = self.cache.cached_tokens(job.prefix_hashes)
        cached = min(cached, job.prompt_tokens - 1)
        work = self.rates.prefill_work(
            job.prompt_tokens
        ) - self.rates.prefill_work(cached)
        if job.group_size > 1:
            work *= self.rates.group_overhead / job.group_size
        run = _RunningJob(job, listener, work)
        self._job_by_attempt[job.attempt_id] = run
        used = self.used_tokens()
        if used > self.rates.memory_tokens:
            self.overcommits += 1
        self.cache.shrink(self.rates.memory_tokens - used)
        self._queue_prefill(run)
        self._schedule_wake()

    def decode(self, attempt_id: str) -> None:
        """Start to decode a job whose prefill has ended."""
        run = self._job_by_attempt.get(attempt_id)
        if run is None:
            return
        self._advance()
        run.finish_step = self._decode_steps + run.job.output_tokens - 1
        self._decoding[attempt_id] = run
        self._schedule_wake()

    def end(self, attempt_id: str) -> None:
        """Remove a job that was cancelled or has ended, and free its memory."""
        run = self._job_by_attempt.pop(attempt_id, None)
        if run is None:
            return
        self._advance()
        self._decoding.pop(attempt_id, None)
        self._prefilling = [
            queued for queued in self._prefilling if queued[2] is not run
        ]
        if run.is_prefilled:
            free_tokens = self.rates.memory_tokens - self.used_tokens()
            self.cache.add(run.job.prefix_hashes, free_tokens)
        self._schedule_wake()

    def die(self) -> None:
        """Stop the engine; every job in progress is reported as broken."""
        self.alive = False
        runs = tuple(self._job_by_attempt.values())
        self._job_by_attempt.clear()
        self._prefilling.clear()
        self._decoding.clear()
        self.cache = PrefixCache()
        for run in runs:
            run.listener.broken(run.job.attempt_id)

    def holds(self) -> list[EngineHold]:
        """Return the memory that each attempt holds."""
        self._advance()
        return [
            EngineHold(
                run.job.attempt_id,
                run.job.memory_tokens,
                run.job.prompt_tokens,
                self.output_so_far(run.job.attempt_id),
                run.job.entry_id,
            )
            for run in self._job_by_attempt.values()
        ]

    def output_so_far(self, attempt_id: str) -> int:
        """Return the number of tokens generated for an attempt."""
        run = self._decoding.get(attempt_id)
        if run is None:
            return 0
        self._advance()
        remaining = max(0, run.finish_step - self._decode_steps)
        return max(1, int(run.job.output_tokens - remaining))

    def _queue_prefill(self, run: _RunningJob) -> None:
        """Queue a prefill; the current one finishes its chunk first."""
        if not self._prefilling:
            self._prefilling.append(
                (run.job.priority, next(self._queue_numbers), run)
            )
            return
        head = self._prefilling[0][2]
        chunk = self.rates.chunk_tokens
        if head.remaining_work <= chunk:
            # A prefill in its last chunk is not preempted.
            self._prefilling[0] = (_LAST_CHUNK_PRIORITY, 0, head)
        self._prefilling.append(
            (run.job.priority, next(self._queue_numbers), run)
        )
        self._prefilling.sort(key=lambda queued: queued[:2])
        if self._prefilling[0][2] is run:
            # The new prefill starts once the current chunk has ended, so the
            # work that is left of that chunk is moved to it.
            chunk_rest = head.remaining_work % chunk
            head.remaining_work -= chunk_rest
            run.remaining_work += chunk_rest

    def _step_ms(self) -> float:
        return self.rates.step_ms(
            len(self._decoding), prefilling=bool(self._prefilling)
        )

    def _advance(self) -> None:
        """Advance every job to the current time."""
        elapsed = self._loop.now - self._advanced_to
        self._advanced_to = self._loop.now
        if elapsed <= 0:
            return
        steps = elapsed / self._step_ms()
        self._decode_steps += steps
        if self._prefilling:
            head = self._prefilling[0][2]
            head.remaining_work -= steps * self.rates.chunk_tokens

    def _schedule_wake(self) -> None:
        """Schedule a wake-up for the next end of a prefill or a stream."""
        self._wake_number += 1
        steps = [
            run.finish_step - self._decode_steps
            for run in self._decoding.values()
        ]
        if self._prefilling:
            steps.append(
                self._prefilling[0][2].remaining_work / self.rates.chunk_tokens
            )
        if steps:
            delay = max(0, min(steps)) * self._step_ms()
            self._loop.call_later(delay, self._on_wake, self._wake_number)

    def _on_wake(self, wake_number: int) -> None:
        if wake_number != self._wake_number or not self.alive:
            return
        self._advance()
        done = [
            run
            for run in self._decoding.values()
            if run.finish_step - self._decode_steps <= _TOLERANCE
        ]
        for run in done:
            self.end(run.job.attempt_id)
            run.listener.finished(run.job.attempt_id)
        if (
            self._prefilling
            and self._prefilling[0][2].remaining_work <= _TOLERANCE
        ):
            first = self._prefilling.pop(0)[2]
            first.is_prefilled = True
            first.listener.prefilled(first.job.attempt_id)
        self._schedule_wake()


class PrefixCache:
    """LRU cache of prompt prefixes, kept in free memory."""

    def __init__(self) -> None:
        """Create an empty cache."""
        self._tokens_by_hash: OrderedDict[int, int] = OrderedDict()
        self._total_tokens = 0

    def cached_tokens(self, prefix_hashes: tuple[int, ...]) -> int:
        """Return the number of leading tokens that are cached."""
        return covered_tokens(prefix_hashes, self._tokens_by_hash)

    def hashes(self) -> tuple[int, ...]:
        """Return the hashes of the cached prefixes."""
        return tuple(self._tokens_by_hash)

    def add(self, prefix_hashes: tuple[int, ...], free_tokens: int) -> None:
        """Cache the prefixes of a prompt, within ``free_tokens``."""
        # The shortest prefix is marked as used last, so that it is evicted
        # last: longer ones can't be used without it.
        for position in reversed(range(len(prefix_hashes))):
            prefix = prefix_hashes[position]
            if prefix not in self._tokens_by_hash:
                # Each hash covers as many tokens as all those before it.
                size = BLOCK_TOKENS << max(0, position - 1)
                self._tokens_by_hash[prefix] = size
                self._total_tokens += size
            self._tokens_by_hash.move_to_end(prefix)
        self.shrink(free_tokens)

    def shrink(self, free_tokens: int) -> None:
        """Evict prefixes until the rest fit ``free_tokens``."""
        while self._tokens_by_hash and self._total_tokens > free_tokens:
            _, size = self._tokens_by_hash.popitem(last=False)
            self._total_tokens -= size
