"""Places a generation on an engine and, for long prompts, on helpers.

A prompt may be prefilled in parts by several engines at once. The placement
with the lowest estimated cost over all allowed numbers of parts is chosen.
"""

import functools
import math
from collections.abc import Iterable
from typing import NamedTuple

from verbenathread.serving import engine_time
from verbenathread.serving.estimates import (
    TOKENS_PER_VALUE,
    EngineEstimator,
    Estimate,
    GenerationRequest,
    answer_value,
    gateway_order,
    lateness_cost,
)
from verbenathread.serving.fleet_load import (
    LONG_PROMPT_TOKENS,
    FleetLoad,
    PromptPart,
)
from verbenathread.serving.types import EngineModel, Prompt, Worker
from verbenathread.types import Millis, NodeId

# Tokens left free on an engine that reserves memory: engines round up to whole
# blocks.
_MEMORY_MARGIN = 512
# Numbers of parts to try; an engine accepts at most 16 helpers.
_PART_COUNTS = (2, 3, 4, 6, 8, 12, 17)
# Shorter parts save no time, since each part also waits for an iteration of
# its engine.
_MIN_PART_TIME: Millis = 40
# Cost per part, in the unit of answer_value: each part adds an engine whose
# failure breaks the stream.
_PART_COST = 0.006


class PlacingGateway(NamedTuple):
    """The gateway that places the request."""

    node_id: NodeId
    # It has not received the other gateways' sends yet.
    is_warming_up: bool


_UNNAMED_GATEWAY = PlacingGateway('', is_warming_up=False)


class Placement(NamedTuple):
    """The chosen engine, with its forecast and cost."""

    worker: Worker
    first_event_in: Millis
    cost: float
    # Helpers that prefill a part of the prompt or reserve memory for it.
    parts: tuple[PromptPart, ...] = ()


class NoCapacity(NamedTuple):
    """No engine can take the request now."""

    # Forecast time until the first running request ends; None if none runs or
    # the prompt exceeds the memory of all engines.
    free_in: Millis | None


def place(
    request: GenerationRequest,
    engine: EngineModel,
    workers: Iterable[Worker],
    fleet: FleetLoad,
    now: Millis,
    gateway: PlacingGateway = _UNNAMED_GATEWAY,
) -> Placement | NoCapacity:
    """Return the placement with the lowest cost.

    Gateways that receive each other's sends share one common order of the
    engines. A gateway that is warming up uses an order of its own, since
    gateways that start together would otherwise fill the same engines.
    """
    ordered = sorted(workers, key=_common_order)
    if gateway.is_warming_up:
        ordered.sort(key=functools.partial(gateway_order, gateway.node_id))
    if request.prompt.tokens > LONG_PROMPT_TOKENS:
        # Ties go to the first engine: this keeps long prompts away from short
        # ones.
        ordered.reverse()
    search = _PlacementSearch(
        request, engine, ordered, fleet, now, gateway.node_id
    )
    best: Placement | None = None
    for part_count in _part_counts(request.prompt, engine, len(ordered)):
        placement = search.place_in_parts(part_count)
        if placement is None:
            continue
        if best is None or placement.cost < best.cost:
            best = placement
    return best or search.no_capacity()


def _part_counts(
    prompt: Prompt, engine: EngineModel, max_parts: int
) -> Iterable[int]:
    """Yield the numbers of parts to try for a prompt."""
    yield 1
    total = engine_time.prefill_ms(engine, prompt.tokens)
    for part_count in _PART_COUNTS:
        if part_count <= max_parts and total / part_count >= _MIN_PART_TIME:
            yield part_count


class _PlacementSearch:
    """Searches for the best placement of one request."""

    def __init__(
        self,
        request: GenerationRequest,
        engine: EngineModel,
        workers: list[Worker],
        fleet: FleetLoad,
        now: Millis,
        node_id: NodeId,
    ) -> None:
        self._request = request
        self._engine = engine
        self._workers = workers
        self._fleet = fleet
        self._now = now
        self._value = answer_value(request.prompt.tokens)
        self._estimator = EngineEstimator(
            request, engine, workers, fleet, now, node_id
        )

    def place_in_parts(self, part_count: int) -> Placement | None:
        """Return the best placement in ``part_count`` parts, if any."""
        estimates = self._estimator.estimate(part_count)
        primary = self._choose_primary(estimates, part_count)
        if primary is None:
            return None
        others = [
            estimate
            for estimate in estimates
            if estimate is not primary and estimate.can_help
        ]
        helpers = self._choose_helpers(primary, others, part_count - 1)
        if helpers is None:
            return None
        prefill_in = max(
            (
                primary.prefill_in,
                *(estimate.prefill_in for estimate, _ in helpers),
            )
        )
        first_event_in = prefill_in + primary.iteration
        if first_event_in > self._request.first_event_timeout:
            return None
        cost = self._value * lateness_cost(
            first_event_in, self._request.target_latency
        )
        cost += (
            primary.delay_cost
            + primary.preference_cost
            + part_count * _PART_COST
        )
        cost += sum(estimate.delay_cost for estimate, _ in helpers)
        if cost > self._value:
            # Other requests would lose more than this one gains.
            return None
        chosen = tuple(
            PromptPart(estimate.worker.worker_id, tokens)
            for estimate, tokens in helpers
        )
        return Placement(primary.worker, int(first_event_in), cost, chosen)

    def no_capacity(self) -> NoCapacity:
        """Return when the first running request ends, by forecast.

        The time is None if waiting does not help.
        """
        prompt = self._request.prompt
        memory = self._engine.memory_tokens * len(self._workers)
        if required_tokens(prompt) > memory:
            return NoCapacity(None)
        ends = []
        for worker in self._workers:
            load = self._fleet.load(worker.worker_id)
            if load.send_by_id:
                ends.append(load.next_end())
        return NoCapacity(max(0, min(ends) - self._now) if ends else None)

    def _choose_primary(
        self, estimates: list[Estimate], part_count: int
    ) -> Estimate | None:
        """Return the engine that decodes the answer."""
        prompt = self._request.prompt
        target_latency = self._request.target_latency
        required = required_tokens(prompt)
        threshold = prompt.expected_output if part_count > 1 else required - 1
        best: Estimate | None = None
        lowest_cost = math.inf
        for estimate in estimates:
            if estimate.free_tokens <= threshold:
                continue
            cost = estimate.delay_cost + estimate.preference_cost
            if cost >= lowest_cost:
                continue
            if required > estimate.free_tokens:
                # The less it holds itself, the more helpers have to reserve.
                cost += (required - estimate.free_tokens) / TOKENS_PER_VALUE
            cost += self._value * lateness_cost(
                estimate.prefill_in + estimate.iteration, target_latency
            )
            if cost < lowest_cost:
                best = estimate
                lowest_cost = cost
        return best

    def _choose_helpers(
        self, primary: Estimate, others: list[Estimate], count: int
    ) -> list[tuple[Estimate, int]] | None:
        """Return the helpers and the tokens each reserves.

        Return None if there are too few helpers or too little memory.
        """
        missing = required_tokens(self._request.prompt) - primary.free_tokens
        helpers: list[tuple[Estimate, int]] = []
        if missing > 0:
            helpers = self._choose_memory_helpers(
                others, count, missing + _MEMORY_MARGIN
            )
            if not helpers:
                return None
        reserving_ids = {estimate.worker.worker_id for estimate, _ in helpers}
        for estimate in sorted(others, key=_helper_cost):
            if len(helpers) >= count:
                break
            if estimate.worker.worker_id not in reserving_ids:
                helpers.append((estimate, 0))
        return helpers if len(helpers) == count else None

    def _choose_memory_helpers(
        self, others: list[Estimate], count: int, missing: int
    ) -> list[tuple[Estimate, int]]:
        """Return helpers that reserve ``missing`` tokens, or an empty list."""
        helpers = []
        for estimate in sorted(others, key=_free_tokens, reverse=True)[:count]:
            reserved_tokens = min(
                missing, estimate.free_tokens - _MEMORY_MARGIN
            )
            if missing <= 0 or reserved_tokens <= 0:
                break
            helpers.append((estimate, reserved_tokens))
            missing -= reserved_tokens
        return [] if missing > 0 else helpers


def _helper_cost(estimate: Estimate) -> float:
    return estimate.helper_cost


def _free_tokens(estimate: Estimate) -> int:
    return estimate.free_tokens


def required_tokens(prompt: Prompt) -> int:
    """Return the memory that a generation needs, in tokens."""
    return prompt.tokens + prompt.expected_output


def _common_order(worker: Worker) -> str:
    # The same order on every gateway, independent of the data centre.
    return worker.worker_id
