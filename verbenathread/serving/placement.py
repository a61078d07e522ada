"""Which worker gets a request, and which others read or hold a part of it.

The survey tells what each engine would do; the choice is the one at which the
least comes late, over all numbers of parts that a prompt may be read in.
"""

import functools
from collections.abc import Iterable
from typing import NamedTuple

from verbenathread.serving import engine_time
from verbenathread.serving.estimates import (
    LONG_PROMPT_TOKENS,
    TOKENS_PER_VALUE,
    EngineEstimator,
    Estimate,
    GenerationRequest,
    answer_value,
    gateway_order,
    lateness_cost,
)
from verbenathread.serving.fleet_load import FleetLoad, PromptPart
from verbenathread.serving.types import EngineModel, Prompt, Worker
from verbenathread.types import Millis, NodeId

# Tokens left free at an engine that holds memory: blocks are rounded up.
_MEMORY_MARGIN = 512
# A prompt is read in so many parts at most; engines take 16 helpers.
_PART_COUNTS = (2, 3, 4, 6, 8, 12, 17)
# A part that is read for less gains nothing over the passes around it.
_LEAST_PART: Millis = 40
# Price of another part: another engine whose loss ends the stream.
_PART_PRICE = 0.006


class PlacingGateway(NamedTuple):
    """The gateway that chooses."""

    node_id: NodeId
    # It has not heard of the others' sends yet.
    is_warming_up: bool


_NOBODY = PlacingGateway('', is_warming_up=False)


class Placement(NamedTuple):
    """The engine that was chosen and what is expected there."""

    worker: Worker
    first_event_in: Millis
    cost: float
    # Other engines that read a part of the prompt, or hold it.
    parts: tuple[PromptPart, ...] = ()


class NoCapacity(NamedTuple):
    """No engine takes the request now."""

    # When the first place may be free; None if none ever can.
    free_in: Millis | None


def place(
    request: GenerationRequest,
    engine: EngineModel,
    workers: Iterable[Worker],
    fleet: FleetLoad,
    now: Millis,
    gateway: PlacingGateway = _NOBODY,
) -> Placement | NoCapacity:
    """Return the engines at which the least comes late.

    Gateways that hear of each other's sends use one common order of the
    engines; a blind one uses its own: else all that start together would
    fill the same engines.
    """
    ordered = sorted(workers, key=_order)
    if gateway.is_warming_up:
        ordered.sort(key=functools.partial(gateway_order, gateway.node_id))
    if request.prompt.tokens > LONG_PROMPT_TOKENS:
        ordered.reverse()
    selection = _Selection(
        request, engine, ordered, fleet, now, gateway.node_id
    )
    best: Placement | None = None
    for parts in _part_counts(request.prompt, engine, len(ordered)):
        placed = selection.place_in(parts)
        if placed is None:
            continue
        if best is None or placed.cost < best.cost:
            best = placed
    return best or selection.no_room()


def _part_counts(
    prompt: Prompt, engine: EngineModel, most: int
) -> Iterable[int]:
    """Return in how many parts a prompt may be read."""
    yield 1
    whole = engine_time.prefill_ms(engine, prompt.tokens)
    for parts in _PART_COUNTS:
        if parts <= most and whole / parts >= _LEAST_PART:
            yield parts


class _Selection:
    """Chooses among the offers for one request."""

    def __init__(
        self,
        wanted: GenerationRequest,
        engine: EngineModel,
        ordered: list[Worker],
        fleet: FleetLoad,
        now: Millis,
        node_id: NodeId,
    ) -> None:
        self._wanted = wanted
        self._engine = engine
        self._ordered = ordered
        self._fleet = fleet
        self._now = now
        self._value = answer_value(wanted.prompt.tokens)
        self._survey = EngineEstimator(
            wanted, engine, ordered, fleet, now, node_id
        )

    def place_in(self, parts: int) -> Placement | None:
        """Return the best engines that read the prompt in ``parts``."""
        offers = self._survey.estimate(parts)
        first = self._first(offers, parts)
        if first is None:
            return None
        others = [
            offer for offer in offers if offer is not first and offer.can_help
        ]
        helpers = self._helpers(first, others, parts - 1)
        if helpers is None:
            return None
        read_in = max(
            (first.prefill_in, *(offer.prefill_in for offer, _ in helpers))
        )
        first_in = read_in + first.iteration
        if first_in > self._wanted.first_event_timeout:
            return None
        cost = self._value * lateness_cost(
            first_in, self._wanted.target_latency
        )
        cost += first.delay_cost + first.preference_cost + parts * _PART_PRICE
        cost += sum(offer.delay_cost for offer, _ in helpers)
        if cost > self._value:
            # Others would lose more than this caller gains.
            return None
        chosen = tuple(
            PromptPart(offer.worker.worker_id, held) for offer, held in helpers
        )
        return Placement(first.worker, int(first_in), cost, chosen)

    def no_room(self) -> NoCapacity:
        """Return when the first of the requests there ends."""
        prompt = self._wanted.prompt
        memory = self._engine.memory_tokens * len(self._ordered)
        if required_tokens(prompt) > memory:
            return NoCapacity(None)
        ends = []
        for worker in self._ordered:
            load = self._fleet.load(worker.worker_id)
            if load.send_by_id:
                ends.append(load.next_end())
        return NoCapacity(max(0, min(ends) - self._now) if ends else None)

    def _first(self, offers: list[Estimate], parts: int) -> Estimate | None:
        """Return the engine that writes the answer."""
        prompt = self._wanted.prompt
        least = prompt.expected_output
        if parts == 1:
            least = required_tokens(prompt) - 1
        roomy = [offer for offer in offers if offer.free_tokens > least]
        return min(roomy, key=self._first_cost) if roomy else None

    def _first_cost(self, offer: Estimate) -> float:
        late = lateness_cost(
            offer.prefill_in + offer.iteration, self._wanted.target_latency
        )
        # The smaller its own share, the more others must hold.
        needed = required_tokens(self._wanted.prompt)
        elsewhere = max(0, needed - offer.free_tokens) / TOKENS_PER_VALUE
        return (
            self._value * late
            + offer.delay_cost
            + offer.preference_cost
            + elsewhere
        )

    def _helpers(
        self, first: Estimate, others: list[Estimate], count: int
    ) -> list[tuple[Estimate, int]] | None:
        """Return the helpers and what each holds; None without memory."""
        missing = required_tokens(self._wanted.prompt) - first.free_tokens
        helpers: list[tuple[Estimate, int]] = []
        if missing > 0:
            helpers = self._holders(others, count, missing + _MEMORY_MARGIN)
            if not helpers:
                return None
        holding = {offer.worker.worker_id for offer, _ in helpers}
        for offer in sorted(others, key=Estimate.helper_cost):
            if len(helpers) >= count:
                break
            if offer.worker.worker_id not in holding:
                helpers.append((offer, 0))
        return helpers if len(helpers) == count else None

    def _holders(
        self, others: list[Estimate], count: int, missing: int
    ) -> list[tuple[Estimate, int]]:
        """Return engines that hold ``missing`` tokens; none if they can't."""
        holders = []
        for offer in sorted(others, key=_by_free, reverse=True)[:count]:
            held = min(missing, offer.free_tokens - _MEMORY_MARGIN)
            if missing <= 0 or held <= 0:
                break
            holders.append((offer, held))
            missing -= held
        return [] if missing > 0 else holders


def _by_free(offer: Estimate) -> int:
    return offer.free_tokens


def required_tokens(prompt: Prompt) -> int:
    """Return the memory that a generation needs."""
    return prompt.tokens + prompt.expected_output


def _order(worker: Worker) -> str:
    # The same at every gateway, mixed over data centres.
    return worker.worker_id
