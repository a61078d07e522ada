"""A simulated engine: passes of decode steps with reads between them."""

import itertools
from collections.abc import Callable, Sequence
from typing import Protocol

from tools.fleet_replay.load import Call
from verbenathread.serving import engine_time
from verbenathread.serving.fleet_load import LONG_PROMPT_TOKENS
from verbenathread.serving.types import EngineModel

# Most tokens that an engine reads beside one decode step.
_CHUNK = 2048
# Reading time below which a read counts as done; hides rounding.
_DONE_MS = 1e-6


class Timer(Protocol):
    """Virtual time."""

    def now(self) -> float:
        """Return the time in ms."""

    def later(self, delay: float, action: Callable[[], None]) -> None:
        """Run ``action`` after ``delay`` ms."""


class Generation:
    """A call that engines work for."""

    def __init__(
        self, call: Call, part_count: int, on_end: Callable[[], None]
    ) -> None:
        """Read the prompt in equal parts; call ``on_end`` at the end."""
        self.call = call
        # Parts that are still to be read, and the time to read each.
        self.unread_parts = part_count
        self.read_time: float = 0
        self.primary: SimulatedEngine | None = None
        self.sent_events = 0
        self._on_end = on_end
        self._is_ended = False

    def part_is_read(self) -> None:
        """Begin to write once all parts are read."""
        self.unread_parts -= 1
        if not self.unread_parts and self.primary is not None:
            self.primary.begin_writing(self)

    def end(self, *, is_broken: bool = False) -> None:
        """End the answer, whole or broken off."""
        if not self._is_ended:
            self._is_ended = True
            self.call.is_broken = is_broken
            self._on_end()


class _Read:
    """A prompt, or a part of one, that an engine reads."""

    def __init__(self, order: tuple[float, ...], generation: Generation):
        self.order = order
        self.generation = generation
        self.left = generation.read_time


class SimulatedEngine:
    """Admits requests to its slots, reads their prompts and writes."""

    def __init__(self, timer: Timer, model: EngineModel) -> None:
        """Start idle."""
        self.arrivals = 0
        self._timer = timer
        self._model = model
        self._writers: list[Generation] = []
        self._waiting: list[Generation] = []
        self._reads: list[_Read] = []
        self._admitted = 0
        self._is_running = False
        self._is_down = False
        self._numbers = itertools.count()

    def submit(self, generation: Generation) -> None:
        """Take a request as the engine that writes its answer."""
        self.arrivals += 1
        if self._is_down:
            generation.end(is_broken=True)
            return
        generation.primary = self
        self._waiting.append(generation)
        self._admit()
        self._start_pass()

    def help_read(self, generation: Generation) -> None:
        """Read a part of another engine's prompt, before all others."""
        order = (-1, self._timer.now(), next(self._numbers))
        self._reads.append(_Read(order, generation))
        self._start_pass()

    def begin_writing(self, generation: Generation) -> None:
        """Write the answer from the next pass on."""
        self._writers.append(generation)
        self._start_pass()

    def crash(self) -> None:
        """Lose all requests and take no others."""
        self._is_down = True
        lost = [*self._writers, *self._waiting]
        lost.extend(read.generation for read in self._reads)
        self._writers.clear()
        self._waiting.clear()
        self._reads.clear()
        for generation in lost:
            generation.end(is_broken=True)

    def _admit(self) -> None:
        self._waiting.sort(key=_admission_order)
        while self._waiting and self._admitted < self._model.slots:
            generation = self._waiting.pop(0)
            self._admitted += 1
            order = (*_admission_order(generation), next(self._numbers))
            self._reads.append(_Read(order, generation))

    def _start_pass(self) -> None:
        if self._is_running or self._is_down:
            return
        if not self._writers and not self._reads:
            return
        self._is_running = True
        writers = tuple(self._writers)
        finished, duration = self._read_some()
        if writers:
            context = sum(writer.call.tokens for writer in writers)
            duration += engine_time.iteration_ms(
                self._model, len(writers), context
            )
        self._timer.later(duration, lambda: self._end_pass(writers, finished))

    def _read_some(self) -> tuple[list[_Read], float]:
        """Return the reads that end in this pass, and the time of all."""
        if not self._reads:
            return [], 0
        self._reads.sort(key=_read_order)
        # Without writers nothing waits for the end of the pass.
        budget = self._reads[0].left
        if self._writers:
            rate = self._model.prefill_tokens_per_ms
            budget = self._model.stride * _CHUNK / rate
        spent: float = 0
        finished = []
        for read in self._reads:
            done = min(read.left, budget - spent)
            read.left -= done
            spent += done
            if read.left <= _DONE_MS:
                finished.append(read)
            if spent >= budget:
                break
        for read in finished:
            self._reads.remove(read)
        return finished, spent

    def _end_pass(
        self, writers: Sequence[Generation], finished: Sequence[_Read]
    ) -> None:
        self._is_running = False
        if self._is_down:
            return
        for writer in writers:
            self._write(writer)
        for read in finished:
            read.generation.part_is_read()
        self._admit()
        self._start_pass()

    def _write(self, generation: Generation) -> None:
        if generation not in self._writers:
            return
        generation.call.record_event(self._timer.now())
        generation.sent_events += 1
        if generation.sent_events >= generation.call.events:
            self._writers.remove(generation)
            self._admitted -= 1
            generation.end()


def _admission_order(generation: Generation) -> tuple[float, float]:
    call = generation.call
    return int(call.tokens > LONG_PROMPT_TOKENS), call.arrived


def _read_order(read: _Read) -> tuple[float, ...]:
    return read.order
