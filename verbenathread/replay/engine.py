"""A small stand-in for a model engine, in virtual time.

It batches continuously: each step carries one chunk of the most urgent
prefill and one token of every stream that decodes. It honours priorities at
the end of a chunk, caches prefixes in the memory that is free, and cancels.
"""

import itertools
from collections import OrderedDict
from typing import NamedTuple, Protocol

from verbenathread.replay.events import EventLoop
from verbenathread.scheduling.messages import EngineHold
from verbenathread.scheduling.prefixes import BLOCK_TOKENS, covered_tokens
from verbenathread.types import NodeId, UpstreamId

_EPSILON = 1e-6
# Order of a prefill in its last chunk, before every priority.
_LAST_CHUNK = -1000


class EngineRates(NamedTuple):
    """Speed and memory of an engine."""

    memory_tokens: int = 400000
    # Prefill of a short prompt, in tokens per ms.
    prefill: float = 20
    # Prompt at which attention doubles the prefill of the last token.
    attention_tokens: int = 500000
    chunk_tokens: int = 512
    # Least time of a step, and what each decoding stream adds, in ms.
    step_base: float = 15
    step_stream: float = 0.2
    # Prefill over a group costs this much more than on one engine.
    group_overhead: float = 1.25

    def slower(self) -> 'EngineRates':
        """Return an engine with half the prefill rate and memory."""
        return self._replace(
            memory_tokens=self.memory_tokens // 2, prefill=self.prefill / 2
        )

    def work(self, tokens: int) -> float:
        """Return the prefill of a prompt in short-prompt tokens."""
        return tokens + tokens * tokens / (2 * self.attention_tokens)

    def step(self, streams: int, *, prefilling: bool) -> float:
        """Return ms of one step."""
        least = self.step_base
        if prefilling:
            least = max(least, self.chunk_tokens / self.prefill)
        return least + self.step_stream * streams


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
    parts: int = 1


class Listener(Protocol):
    """Who is told of a job's progress."""

    def prefilled(self, attempt_id: str) -> None:
        """Take the end of the prefill: the first token."""

    def finished(self, attempt_id: str) -> None:
        """Take the last token."""

    def broken(self, attempt_id: str) -> None:
        """Take the loss of the engine."""


class _Run:
    """A job inside the engine."""

    def __init__(self, job: Job, listener: Listener, work: float) -> None:
        self.job = job
        self.listener = listener
        self.left = work
        self.ends_at: float = 0
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
        self._run_by_attempt: dict[str, _Run] = {}
        self._prefilling: list[tuple[int, int, _Run]] = []
        self._decoding: dict[str, _Run] = {}
        # Tokens that every stream has decoded since the start.
        self._decoded: float = 0
        self._at: float = 0
        self._wake = 0
        self._numbers = itertools.count()

    def used_tokens(self) -> int:
        """Return the memory that attempts may come to use."""
        return sum(
            run.job.memory_tokens for run in self._run_by_attempt.values()
        )

    def submit(self, job: Job, listener: Listener) -> None:
        """Take a job; a dead engine breaks the connection."""
        if not self.alive:
            listener.broken(job.attempt_id)
            return
        self._advance()
        cached = self.cache.covered(job.prefix_hashes)
        cached = min(cached, job.prompt_tokens - 1)
        work = self.rates.work(job.prompt_tokens) - self.rates.work(cached)
        if job.parts > 1:
            work *= self.rates.group_overhead / job.parts
        run = _Run(job, listener, work)
        self._run_by_attempt[job.attempt_id] = run
        used = self.used_tokens()
        if used > self.rates.memory_tokens:
            self.overcommits += 1
        self.cache.shrink(self.rates.memory_tokens - used)
        self._enter(run)
        self._schedule()

    def decode(self, attempt_id: str) -> None:
        """Generate the output of a job that is prefilled."""
        run = self._run_by_attempt.get(attempt_id)
        if run is None:
            return
        self._advance()
        run.ends_at = self._decoded + run.job.output_tokens - 1
        self._decoding[attempt_id] = run
        self._schedule()

    def end(self, attempt_id: str) -> None:
        """Cancel a job, or free the part of a group that has ended."""
        run = self._run_by_attempt.pop(attempt_id, None)
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
        self._schedule()

    def die(self) -> None:
        """Lose everything; each connection breaks."""
        self.alive = False
        runs = tuple(self._run_by_attempt.values())
        self._run_by_attempt.clear()
        self._prefilling.clear()
        self._decoding.clear()
        self.cache = PrefixCache()
        for run in runs:
            run.listener.broken(run.job.attempt_id)

    def listing(self) -> list[EngineHold]:
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
            for run in self._run_by_attempt.values()
        ]

    def output_so_far(self, attempt_id: str) -> int:
        """Return the tokens generated for one job."""
        run = self._decoding.get(attempt_id)
        if run is None:
            return 0
        self._advance()
        left = max(0, run.ends_at - self._decoded)
        return max(1, int(run.job.output_tokens - left))

    def _enter(self, run: _Run) -> None:
        """Queue the prefill; what runs now ends its chunk first."""
        if not self._prefilling:
            self._prefilling.append(
                (run.job.priority, next(self._numbers), run)
            )
            return
        head = self._prefilling[0][2]
        chunk = self.rates.chunk_tokens
        if head.left <= chunk:
            # The last chunk runs to its end.
            self._prefilling[0] = (_LAST_CHUNK, 0, head)
        self._prefilling.append((run.job.priority, next(self._numbers), run))
        self._prefilling.sort(key=lambda queued: queued[:2])
        if self._prefilling[0][2] is run:
            rest = head.left % chunk
            head.left -= rest
            run.left += rest

    def _step(self) -> float:
        return self.rates.step(
            len(self._decoding), prefilling=bool(self._prefilling)
        )

    def _advance(self) -> None:
        """Bring every job to the present."""
        elapsed = self._loop.now - self._at
        self._at = self._loop.now
        if elapsed <= 0:
            return
        steps = elapsed / self._step()
        self._decoded += steps
        if self._prefilling:
            head = self._prefilling[0][2]
            head.left -= steps * self.rates.chunk_tokens

    def _schedule(self) -> None:
        """Wake up at the next end of a prefill or of a stream."""
        self._wake += 1
        steps = [run.ends_at - self._decoded for run in self._decoding.values()]
        if self._prefilling:
            steps.append(self._prefilling[0][2].left / self.rates.chunk_tokens)
        if steps:
            delay = max(0, min(steps)) * self._step()
            self._loop.call_later(delay, self._woken, self._wake)

    def _woken(self, wake: int) -> None:
        if wake != self._wake or not self.alive:
            return
        self._advance()
        done = [
            run
            for run in self._decoding.values()
            if run.ends_at - self._decoded <= _EPSILON
        ]
        for run in done:
            self.end(run.job.attempt_id)
            run.listener.finished(run.job.attempt_id)
        if self._prefilling and self._prefilling[0][2].left <= _EPSILON:
            first = self._prefilling.pop(0)[2]
            first.is_prefilled = True
            first.listener.prefilled(first.job.attempt_id)
        self._schedule()


class PrefixCache:
    """Prefixes in free memory; the least recently used go first."""

    def __init__(self) -> None:
        """Start empty."""
        self._size_by_hash: OrderedDict[int, int] = OrderedDict()
        self._total = 0

    def covered(self, prefix_hashes: tuple[int, ...]) -> int:
        """Return the leading tokens that are cached."""
        return covered_tokens(prefix_hashes, self._size_by_hash)

    def hashes(self) -> tuple[int, ...]:
        """Return what is cached."""
        return tuple(self._size_by_hash)

    def add(self, prefix_hashes: tuple[int, ...], room: int) -> None:
        """Cache the prefixes of a prompt, as far as ``room`` goes."""
        # The shortest is touched last, since longer ones are of no use
        # without it.
        for position in reversed(range(len(prefix_hashes))):
            prefix = prefix_hashes[position]
            if prefix not in self._size_by_hash:
                # Each hash covers as much again as the ones before it.
                size = BLOCK_TOKENS << max(0, position - 1)
                self._size_by_hash[prefix] = size
                self._total += size
            self._size_by_hash.move_to_end(prefix)
        self.shrink(room)

    def shrink(self, room: int) -> None:
        """Drop prefixes until the rest fits."""
        while self._size_by_hash and self._total > room:
            _, size = self._size_by_hash.popitem(last=False)
            self._total -= size
