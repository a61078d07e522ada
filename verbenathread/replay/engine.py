"""A small stand-in for a model engine, in virtual time.

It batches continuously: each step carries one chunk of the most urgent
prefill and one token of every stream that decodes. It honours priorities at
the end of a chunk, caches prefixes in the memory that is free, and cancels.
"""

import itertools
from collections import OrderedDict
from typing import NamedTuple, Protocol

from verbenathread.replay.event_loop import EventLoop
from verbenathread.scheduling.messages import EngineHold
from verbenathread.scheduling.prefixes import BLOCK_TOKENS, covered_tokens
from verbenathread.types import NodeId, UpstreamId

_TOLERANCE = 1e-6
# Order of a prefill in its last chunk, before every priority.
_LAST_CHUNK_PRIORITY = -1000


class EngineRates(NamedTuple):
    """Speed and memory of an engine."""

    memory_tokens: int = 400000
    # Prefill of a short prompt, in tokens per ms.
    prefill_rate: float = 20
    # Prompt at which attention doubles the prefill of the last token.
    attention_double_tokens: int = 500000
    chunk_tokens: int = 512
    # Least time of a step, and what each decoding stream adds, in ms.
    min_step_ms: float = 15
    step_ms_per_stream: float = 0.2
    # Prefill over a group costs this much more than on one engine.
    group_overhead: float = 1.25

    def halved(self) -> 'EngineRates':
        """Return an engine with half the prefill rate and memory."""
        return self._replace(
            memory_tokens=self.memory_tokens // 2,
            prefill_rate=self.prefill_rate / 2,
        )

    def prefill_work(self, tokens: int) -> float:
        """Return the prefill of a prompt in short-prompt tokens."""
        return tokens + tokens * tokens / (2 * self.attention_double_tokens)

    def step_ms(self, streams: int, *, prefilling: bool) -> float:
        """Return ms of one step."""
        least = self.min_step_ms
        if prefilling:
            least = max(least, self.chunk_tokens / self.prefill_rate)
        return least + self.step_ms_per_stream * streams


class Job(NamedTuple):
    """One attempt, or one engine's part of it."""

    attempt_id: str
    request_id: str
    entry_id: NodeId
    prompt_tokens: int
    output_tokens: int
    memory_tokens: int
    priority: int
    prefix_hashes: tuple[int, ...] = ()
    # Number of engines that share the prompt.
    group_size: int = 1


class JobListener(Protocol):
    """Who is told of a job's progress."""

    def prefilled(self, attempt_id: str) -> None:
        """Take the end of the prefill: the first token."""

    def finished(self, attempt_id: str) -> None:
        """Take the last token."""

    def broken(self, attempt_id: str) -> None:
        """Take the loss of the engine."""


class _RunningJob:
    """A job inside the engine."""

    def __init__(self, job: Job, listener: JobListener, work: float) -> None:
        self.job = job
        self.listener = listener
        self.remaining_work = work
        self.finish_step: float = 0
        self.is_prefilled = False


class Engine:
    """One engine of the fleet."""

    def __init__(
        self, upstream_id: UpstreamId, rates: EngineRates, loop: EventLoop
    ) -> None:
        """Start idle."""
        self.upstream_id = upstream_id
        self.rates = rates
        self.alive = True
        self.overcommits = 0
        self.cache = PrefixCache()
        self._loop = loop
        self._job_by_attempt: dict[str, _RunningJob] = {}
        self._prefilling: list[tuple[int, int, _RunningJob]] = []
        self._decoding: dict[str, _RunningJob] = {}
        # Tokens that every stream has decoded since the start.
        self._decode_steps: float = 0
        self._advanced_to: float = 0
        self._wake_number = 0
        self._queue_numbers = itertools.count()

    def used_tokens(self) -> int:
        """Return the memory that attempts may come to use."""
        return sum(
            run.job.memory_tokens for run in self._job_by_attempt.values()
        )

    def submit(self, job: Job, listener: JobListener) -> None:
        """Take a job; a dead engine breaks the connection."""
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
        """Generate the output of a job that is prefilled."""
        run = self._job_by_attempt.get(attempt_id)
        if run is None:
            return
        self._advance()
        run.finish_step = self._decode_steps + run.job.output_tokens - 1
        self._decoding[attempt_id] = run
        self._schedule_wake()

    def end(self, attempt_id: str) -> None:
        """Cancel a job, or free the part of a group that has ended."""
        run = self._job_by_attempt.pop(attempt_id, None)
        if run is None:
            return
        self._advance()
        self._decoding.pop(attempt_id, None)
        self._prefilling = [
            entry for entry in self._prefilling if entry[2] is not run
        ]
        if run.is_prefilled:
            room = self.rates.memory_tokens - self.used_tokens()
            self.cache.add(run.job.prefix_hashes, room)
        self._schedule_wake()

    def die(self) -> None:
        """Lose everything; each connection breaks."""
        self.alive = False
        runs = tuple(self._job_by_attempt.values())
        self._job_by_attempt.clear()
        self._prefilling.clear()
        self._decoding.clear()
        self.cache = PrefixCache()
        for run in runs:
            run.listener.broken(run.job.attempt_id)

    def holds(self) -> list[EngineHold]:
        """Return what the engine holds."""
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
        """Return the tokens generated for one job."""
        run = self._decoding.get(attempt_id)
        if run is None:
            return 0
        self._advance()
        left = max(0, run.finish_step - self._decode_steps)
        return max(1, int(run.job.output_tokens - left))

    def _queue_prefill(self, run: _RunningJob) -> None:
        """Queue the prefill; what runs now ends its chunk first."""
        if not self._prefilling:
            self._prefilling.append(
                (run.job.priority, next(self._queue_numbers), run)
            )
            return
        head = self._prefilling[0][2]
        chunk = self.rates.chunk_tokens
        if head.remaining_work <= chunk:
            # The last chunk runs to its end.
            self._prefilling[0] = (_LAST_CHUNK_PRIORITY, 0, head)
        self._prefilling.append(
            (run.job.priority, next(self._queue_numbers), run)
        )
        self._prefilling.sort(key=lambda queued: queued[:2])
        if self._prefilling[0][2] is run:
            rest = head.remaining_work % chunk
            head.remaining_work -= rest
            run.remaining_work += rest

    def _step_ms(self) -> float:
        return self.rates.step_ms(
            len(self._decoding), prefilling=bool(self._prefilling)
        )

    def _advance(self) -> None:
        """Bring every job to the present."""
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
        """Wake up at the next end of a prefill or of a stream."""
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

    def _on_wake(self, wake: int) -> None:
        if wake != self._wake_number or not self.alive:
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
    """Prefixes in free memory; the least recently used go first."""

    def __init__(self) -> None:
        """Start empty."""
        self._tokens_by_hash: OrderedDict[int, int] = OrderedDict()
        self._total_tokens = 0

    def cached_tokens(self, prefix_hashes: tuple[int, ...]) -> int:
        """Return the leading tokens that are cached."""
        return covered_tokens(prefix_hashes, self._tokens_by_hash)

    def hashes(self) -> tuple[int, ...]:
        """Return what is cached."""
        return tuple(self._tokens_by_hash)

    def add(self, prefix_hashes: tuple[int, ...], room: int) -> None:
        """Cache the prefixes of a prompt, as far as ``room`` goes."""
        # The shortest is touched last, since longer ones are of no use
        # without it.
        for position in reversed(range(len(prefix_hashes))):
            prefix = prefix_hashes[position]
            if prefix not in self._tokens_by_hash:
                # Each hash covers as much again as the ones before it.
                size = BLOCK_TOKENS << max(0, position - 1)
                self._tokens_by_hash[prefix] = size
                self._total_tokens += size
            self._tokens_by_hash.move_to_end(prefix)
        self.shrink(room)

    def shrink(self, room: int) -> None:
        """Drop prefixes until the rest fits."""
        while self._tokens_by_hash and self._total_tokens > room:
            _, size = self._tokens_by_hash.popitem(last=False)
            self._total_tokens -= size
