"""Which worker gets a request, and which others read or hold a part of it.

The survey tells what each engine would do; the choice is the one at which the
least comes late, over all numbers of parts that a prompt may be read in.
"""

import functools
from collections.abc import Iterable
from typing import NamedTuple

from verbenathread.serving import engine_time
from verbenathread.serving.fleet_load import FleetLoad, PromptPart
from verbenathread.serving.survey import (
    LONG_TOKENS,
    TOKENS_PER_VALUE,
    Offer,
    Survey,
    Wanted,
    lateness,
    own_order,
    value_of,
)
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


class Chooser(NamedTuple):
    """The gateway that chooses."""

    node_id: NodeId
    # It has not heard of the others' sends yet.
    is_blind: bool


_NOBODY = Chooser('', is_blind=False)


class Placed(NamedTuple):
    """The engine that was chosen and what is expected there."""

    worker: Worker
    first_in: Millis
    cost: float
    # Other engines that read a part of the prompt, or hold it.
    parts: tuple[PromptPart, ...] = ()


class NoRoom(NamedTuple):
    """No engine takes the request now."""

    # When the first place may be free; None if none ever can.
    free_in: Millis | None


def place(
    wanted: Wanted,
    engine: EngineModel,
    workers: Iterable[Worker],
    fleet: FleetLoad,
    now: Millis,
    chooser: Chooser = _NOBODY,
) -> Placed | NoRoom:
    """Return the engines at which the least comes late.

    Gateways that hear of each other's sends use one common order of the
    engines; a blind one uses its own: else all that start together would
    fill the same engines.
    """
    ordered = sorted(workers, key=_order)
    if chooser.is_blind:
        ordered.sort(key=functools.partial(own_order, chooser.node_id))
    if wanted.prompt.tokens > LONG_TOKENS:
        ordered.reverse()
    selection = _Selection(wanted, engine, ordered, fleet, now, chooser.node_id)
    best: Placed | None = None
    for parts in _part_counts(wanted.prompt, engine, len(ordered)):
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
    whole = engine_time.read_ms(engine, prompt.tokens)
    for parts in _PART_COUNTS:
        if parts <= most and whole / parts >= _LEAST_PART:
            yield parts


class _Selection:
    """Chooses among the offers for one request."""

    def __init__(
        self,
        wanted: Wanted,
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
        self._value = value_of(wanted.prompt.tokens)
        self._survey = Survey(wanted, engine, ordered, fleet, now, node_id)

    def place_in(self, parts: int) -> Placed | None:
        """Return the best engines that read the prompt in ``parts``."""
        offers = self._survey.offers(parts)
        first = self._first(offers, parts)
        if first is None:
            return None
        others = [
            offer for offer in offers if offer is not first and offer.can_help
        ]
        helpers = self._helpers(first, others, parts - 1)
        if helpers is None:
            return None
        read_in = max((first.read_in, *(offer.read_in for offer, _ in helpers)))
        first_in = read_in + first.one_pass
        if first_in > self._wanted.patience:
            return None
        cost = self._value * lateness(first_in, self._wanted.target_latency)
        cost += first.harm + first.rank_price + parts * _PART_PRICE
        cost += sum(offer.harm for offer, _ in helpers)
        if cost > self._value:
            # Others would lose more than this caller gains.
            return None
        chosen = tuple(
            PromptPart(offer.worker.worker_id, held) for offer, held in helpers
        )
        return Placed(first.worker, int(first_in), cost, chosen)

    def no_room(self) -> NoRoom:
        """Return when the first of the requests there ends."""
        prompt = self._wanted.prompt
        memory = self._engine.memory_tokens * len(self._ordered)
        if needed_tokens(prompt) > memory:
            return NoRoom(None)
        ends = []
        for worker in self._ordered:
            load = self._fleet.load(worker.worker_id)
            if load.send_by_id:
                ends.append(load.next_end())
        return NoRoom(max(0, min(ends) - self._now) if ends else None)

    def _first(self, offers: list[Offer], parts: int) -> Offer | None:
        """Return the engine that writes the answer."""
        prompt = self._wanted.prompt
        least = prompt.expected_output
        if parts == 1:
            least = needed_tokens(prompt) - 1
        roomy = [offer for offer in offers if offer.free_tokens > least]
        return min(roomy, key=self._first_cost) if roomy else None

    def _first_cost(self, offer: Offer) -> float:
        late = lateness(
            offer.read_in + offer.one_pass, self._wanted.target_latency
        )
        # The smaller its own share, the more others must hold.
        needed = needed_tokens(self._wanted.prompt)
        elsewhere = max(0, needed - offer.free_tokens) / TOKENS_PER_VALUE
        return self._value * late + offer.harm + offer.rank_price + elsewhere

    def _helpers(
        self, first: Offer, others: list[Offer], count: int
    ) -> list[tuple[Offer, int]] | None:
        """Return the helpers and what each holds; None without memory."""
        missing = needed_tokens(self._wanted.prompt) - first.free_tokens
        helpers: list[tuple[Offer, int]] = []
        if missing > 0:
            helpers = self._holders(others, count, missing + _MEMORY_MARGIN)
            if not helpers:
                return None
        holding = {offer.worker.worker_id for offer, _ in helpers}
        for offer in sorted(others, key=Offer.price):
            if len(helpers) >= count:
                break
            if offer.worker.worker_id not in holding:
                helpers.append((offer, 0))
        return helpers if len(helpers) == count else None

    def _holders(
        self, others: list[Offer], count: int, missing: int
    ) -> list[tuple[Offer, int]]:
        """Return engines that hold ``missing`` tokens; none if they can't."""
        holders = []
        for offer in sorted(others, key=_by_free, reverse=True)[:count]:
            held = min(missing, offer.free_tokens - _MEMORY_MARGIN)
            if missing <= 0 or held <= 0:
                break
            holders.append((offer, held))
            missing -= held
        return [] if missing > 0 else holders


def _by_free(offer: Offer) -> int:
    return offer.free_tokens


def needed_tokens(prompt: Prompt) -> int:
    """Return the memory that a generation needs."""
    return prompt.tokens + prompt.expected_output


def _order(worker: Worker) -> str:
    # The same at every gateway, mixed over data centres.
    return worker.worker_id
