"""Estimates, for each engine, the cost of running a prompt there.

Designed for many short prompts (5 k tokens, first event due in 0.3 s) beside
few long ones (130 k tokens, each as much prefill as 70 short ones). A prefill
blocks decoding on its engine for its whole duration, so an estimate covers
the delay of the new request and of the requests already running. Short
prompts fill the engines from the start of a common order and long prompts
from its end, so that the two share engines only when the fleet is full.
"""

import math
from typing import NamedTuple

from verbenathread.membership.hashing import hash64
from verbenathread.serving import engine_time
from verbenathread.serving.fleet_load import (
    LONG_PROMPT_TOKENS,
    EngineLoad,
    FleetLoad,
)
from verbenathread.serving.types import EngineModel, Prompt, Worker
from verbenathread.types import Millis, NodeId

# Value of a late answer, as a share of the value of one in time.
_LATE_VALUE_SHARE = 0.25
# The value of an answer has a fixed part and one proportional to the prompt:
# 1.3 in total at 5 k tokens and 15 at 133 k.
_BASE_VALUE = 0.8
TOKENS_PER_VALUE = 9000
# Costs per position in the common order, of another data centre and per
# request already running. They only break ties. The last position of a large
# fleet costs _MAX_RANK_COST, or short prompts would fill each engine to its
# last slot before they use one further on.
_RANK_COST = 0.001
_MAX_RANK_COST = 0.02
_REMOTE_COST = 0.004
_CONCURRENCY_COST = 0.0005
# Engines reserved for short prompts while none is in progress.
_MIN_SHORT_POOL = 2
# Slots reserved for short prompts, as a multiple of those in progress: more
# arrive while other engines prefill a long prompt, and need slots.
_SHORT_POOL_HEADROOM = 1.5
# Typical duration of a short prompt's answer, ms: 32 events of 60 ms.
_SHORT_ANSWER_TIME = 2000
_SHORT_ANSWER_VALUE = 1.3
# Longest pause that streams in the short-prompt pool tolerate: their target
# pause less one iteration.
_SHORT_POOL_PAUSE: Millis = 190
# Cost of an engine outside the pool for a short prompt: that of a wait of
# about 100 ms.
_OUTSIDE_POOL_COST = 0.02
# Gateways that place requests within a few ms of each other pick the same
# slot, so the last slot of an engine is avoided while others have free ones.
_LAST_SLOT_COST = 0.03
# Largest cost by which a gateway's own order shifts an engine, so that gateways
# choose differently among equal engines. It grows with the fleet, as more of
# them choose at the same time.
_MIN_SPREAD_COST = 0.006
_SPREAD_COST_PER_ENGINE = 0.0003
_MAX_SPREAD_COST = 0.03
_SPREAD_BUCKETS = 1024
# Share of an answer's value charged for a wait up to the target. A forecast
# fails when a longer prompt arrives later, which is less likely the sooner
# the prefill ends.
_WAIT_COST_SHARE = 0.04
# Scale of lateness when no time is left, as for a stream that is resumed on
# another engine.
_MIN_LATENESS_SCALE: Millis = 250
# Share of the target latency beyond which a forecast counts as late; forecasts
# of the first event can be off by 20 % and more.
_ON_TIME_SHARE = 0.8
# Wait in ms that costs a helper as much as one unit of value.
_WAIT_MS_PER_VALUE = 1000


class GenerationRequest(NamedTuple):
    """A generation to place on an engine."""

    prompt: Prompt
    # Time left until the first event is late, and the longest pause between
    # events that is still in time.
    target_latency: Millis
    target_pause: Millis
    # Longest acceptable forecast time to the first event, since the caller
    # disconnects if none arrives in time.
    first_event_timeout: Millis
    data_centre: str


def answer_value(tokens: int) -> float:
    """Return the value of the answer to a prompt of this size."""
    return _BASE_VALUE + tokens / TOKENS_PER_VALUE


class Estimate(NamedTuple):
    """Forecast and cost of running one part of a prompt on an engine."""

    worker: Worker
    # Memory not needed by known requests; 0 if no slot is free.
    free_tokens: int
    # It prefills parts of fewer prompts than it has slots.
    can_help: bool
    # Time until the part is prefilled, and the value that the requests
    # already there would lose.
    prefill_in: float
    delay_cost: float
    # Time of one decode iteration that includes the new request.
    iteration: float
    # Breaks ties between equal engines.
    preference_cost: float
    # Cost of using the engine as a helper.
    helper_cost: float


class _EngineState(NamedTuple):
    """What the estimates of one engine have in common for all part counts."""

    worker: Worker
    load: EngineLoad
    request_count: int
    # Time until all queued prefills are done, and the delay seen beyond that.
    queued: Millis
    unreported: Millis
    in_short_pool: bool
    free_tokens: int
    can_help: bool
    preference_cost: float
    # The requests that are not late yet. For those without a first event, the
    # delay that it bears; for streams, the pause; each with the value lost.
    waiting: tuple[tuple[Millis, float], ...]
    running: tuple[tuple[Millis, float], ...]


class EngineEstimator:
    """Estimates the engines of a service for one request."""

    def __init__(
        self,
        request: GenerationRequest,
        engine: EngineModel,
        workers: list[Worker],
        fleet: FleetLoad,
        now: Millis,
        node_id: NodeId,
    ) -> None:
        self._node_id = node_id
        self._request = request
        self._engine = engine
        self._workers = workers
        self._now = now
        self._rank_cost = min(_RANK_COST, _MAX_RANK_COST / max(1, len(workers)))
        spread_cost = _SPREAD_COST_PER_ENGINE * len(workers)
        self._spread_cost = min(
            _MAX_SPREAD_COST, max(_MIN_SPREAD_COST, spread_cost)
        )
        self._is_long = request.prompt.tokens > LONG_PROMPT_TOKENS
        loads = [fleet.load(worker.worker_id) for worker in workers]
        short_count = sum([load.short_count for load in loads])
        # The first engines of the common order are reserved for short
        # prompts: enough for those in progress, with headroom.
        self._short_pool_size = _MIN_SHORT_POOL + math.ceil(
            _SHORT_POOL_HEADROOM * short_count / engine.slots
        )
        # Short prompts that arrive per ms at one engine of the pool, assuming
        # answers of typical duration.
        self._short_arrival_rate = (
            short_count / _SHORT_ANSWER_TIME / self._short_pool_size
        )
        self._states = [
            self._state(rank, worker, load)
            for rank, (worker, load) in enumerate(
                zip(workers, loads, strict=True)
            )
        ]

    def estimate(self, part_count: int) -> list[Estimate]:
        """Return an estimate of each engine for one of ``part_count`` parts."""
        tokens = self._request.prompt.tokens
        part_tokens = tokens // part_count
        prefill = engine_time.prefill_ms(self._engine, tokens, part_count)
        return [
            self._estimate(state, part_tokens, state.load.pace * prefill)
            for state in self._states
        ]

    def _estimate(
        self, state: _EngineState, part_tokens: int, prefill: float
    ) -> Estimate:
        load = state.load
        iteration = load.pace * engine_time.iteration_ms(
            self._engine,
            state.request_count + 1,
            load.context_tokens + part_tokens,
        )
        prefill_in = state.queued + prefill + state.unreported
        delay_cost = _lost_value(state.waiting, prefill)
        delay_cost += _lost_value(state.running, prefill_in + iteration)
        if state.in_short_pool and prefill_in > _SHORT_POOL_PAUSE:
            delay_cost += self._short_pool_cost(prefill)
        if state.request_count:
            # The iteration in progress has to end first.
            prefill_in += iteration / 2
        helper_cost = (
            delay_cost + prefill_in / _WAIT_MS_PER_VALUE + state.preference_cost
        )
        return Estimate(
            state.worker,
            state.free_tokens,
            state.can_help,
            prefill_in,
            delay_cost,
            iteration,
            state.preference_cost,
            helper_cost,
        )

    def _state(
        self, rank: int, worker: Worker, load: EngineLoad
    ) -> _EngineState:
        engine = self._engine
        count = len(load.send_by_id)
        free_tokens = engine.memory_tokens - load.context_tokens
        if count >= min(worker.slots, engine.slots):
            free_tokens = 0
        waiting = []
        running = []
        for send in load.send_by_id.values():
            if send.is_late:
                continue
            lost = answer_value(send.prompt_tokens) * (1 - _LATE_VALUE_SHARE)
            if send.first_event_at > self._now:
                waiting.append((send.due_at - send.first_event_at, lost))
            else:
                running.append((send.target_pause, lost))
        return _EngineState(
            worker=worker,
            load=load,
            request_count=count,
            queued=max(0, load.prefill_until - self._now),
            unreported=load.unreported_delay(self._now),
            in_short_pool=self._is_long and self._in_short_pool(rank),
            free_tokens=free_tokens,
            can_help=len(load.reserved_by_id) < engine.slots,
            preference_cost=self._preference_cost(rank, worker, count),
            waiting=tuple(waiting),
            running=tuple(running),
        )

    def _preference_cost(self, rank: int, worker: Worker, count: int) -> float:
        """Return the cost that breaks ties between equal engines."""
        preference_cost = rank * self._rank_cost + count * _CONCURRENCY_COST
        if count >= min(worker.slots, self._engine.slots) - 1:
            preference_cost += _LAST_SLOT_COST
        share = (
            gateway_order(self._node_id, worker)
            % _SPREAD_BUCKETS
            / _SPREAD_BUCKETS
        )
        preference_cost += share * self._spread_cost
        if not self._is_long and not self._in_short_pool(rank):
            preference_cost += _OUTSIDE_POOL_COST
        if worker.data_centre != self._request.data_centre:
            preference_cost += _REMOTE_COST
        return preference_cost

    def _short_pool_cost(self, prefill: float) -> float:
        """Return the expected loss of short prompts that have yet to arrive."""
        arrivals = self._short_arrival_rate * prefill
        return arrivals * _SHORT_ANSWER_VALUE * (1 - _LATE_VALUE_SHARE)

    def _in_short_pool(self, rank: int) -> bool:
        if self._is_long:
            # For long prompts the order is reversed.
            rank = len(self._workers) - 1 - rank
        return rank < self._short_pool_size


def _lost_value(borne: tuple[tuple[Millis, float], ...], delay: float) -> float:
    """Return the value of the requests that bear less than ``delay``."""
    lost: float = 0
    for limit, lost_value in borne:
        if delay > limit:
            lost += lost_value
    return lost


def gateway_order(node_id: NodeId, worker: Worker) -> int:
    """Return the sort key of a worker in one gateway's own order."""
    return hash64(f'{node_id} {worker.worker_id}')


def lateness_cost(first_event_in: float, target: Millis) -> float:
    """Return the expected loss as a share of the answer's value."""
    on_time = target * _ON_TIME_SHARE
    if first_event_in <= on_time:
        return _WAIT_COST_SHARE * first_event_in / max(1, on_time)
    over = min(
        1, (first_event_in - on_time) / max(_MIN_LATENESS_SCALE, on_time)
    )
    return _WAIT_COST_SHARE * (1 + over) + over * (1 - _LATE_VALUE_SHARE)
