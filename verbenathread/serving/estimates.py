"""What each engine would do with a prompt, and what others there would lose.

Answers a load of many short prompts (5 k tokens, first event due in 0.3 s)
beside few long ones (130 k tokens, each as much reading as 70 short ones).
A prompt that is read stops the writers beside it for as long, so an offer
tells what comes late: the new request, and those already there. Short
prompts fill the engines from one end of a common order and long ones from the
other, so that the two meet only when the fleet is full.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from verbenathread.membership.hashing import hash64
from verbenathread.serving import engine_time
from verbenathread.serving.fleet_load import FleetLoad, Send
from verbenathread.serving.types import EngineModel, Prompt, Worker
from verbenathread.types import Millis, NodeId

# Prompts over this many tokens fill engines from the far end. A prompt of
# this size reads for about half of the shortest target pause in use, 250 ms.
LONG_PROMPT_TOKENS = 20_000
# Worth of an answer that comes late, as a share of one in time.
_LATE_SHARE = 0.25
# An answer is worth a fixed part, and a part by its size: 1.3 at 5 k tokens
# and 15 at 133 k.
_FIXED_VALUE = 0.8
TOKENS_PER_VALUE = 9000
# Price of a position further along the common order, of another data centre
# and of each request already there: these only decide between equals.
_RANK_PRICE = 0.001
_DISTANCE_PRICE = 0.004
_CROWD_PRICE = 0.0005
# Engines in the lane of short prompts when none is in progress.
_LEAST_LANE = 2
# Places in the lane of short prompts, as a multiple of those in progress:
# what comes while a long prompt is read elsewhere must find room.
_LANE_ROOM = 1.5
# An answer to a short prompt takes about so long, ms: 32 events of 60 ms.
_SHORT_ANSWER = 2000
_SHORT_VALUE = 1.3
# A stop of the lane that its streams bear: their target pause less a pass.
_LANE_PAUSE: Millis = 190
# Price of an engine outside the lane for a short prompt: as much as a wait of
# some 100 ms.
_OUT_OF_LANE_PRICE = 0.02
# Gateways that choose within a few ms of each other take the same slot; the
# last one of an engine is left while others have room.
_LAST_SLOT_PRICE = 0.03
# How far a gateway's own preference moves an engine in the common order, as a
# price: some six places, so that equal choices differ.
_PREFERENCE = 0.006
_SHARES = 1024
# Share of the worth that a wait up to the target is taken to cost: forecasts
# fail when a longer prompt comes later, the less so the sooner one is read.
_WAIT_SHARE = 0.04
# Scale of lateness where no time is left, as when a stream goes on elsewhere.
_LEAST_SCALE: Millis = 250
# Of the way to a late first event from which lateness counts; forecasts of a
# first event were off by a fifth and more.
_EARLY_ENOUGH = 0.8
# A wait of so many ms weighs as much as one unit of worth, among helpers.
_WAIT_PER_VALUE = 1000


class GenerationRequest(NamedTuple):
    """A generation that looks for an engine."""

    prompt: Prompt
    # Time left until its first event is late, and the longest pause.
    target_latency: Millis
    target_pause: Millis
    # The caller leaves when nothing came until then.
    first_event_timeout: Millis
    data_centre: str


def answer_value(tokens: int) -> float:
    """Return what an answer to a prompt is worth."""
    return _FIXED_VALUE + tokens / TOKENS_PER_VALUE


class Estimate(NamedTuple):
    """What an engine would do with one part of the prompt."""

    worker: Worker
    # Memory that nothing known needs; 0 or less when every slot is taken.
    free_tokens: int
    # It reads parts for fewer prompts than it has slots.
    can_help: bool
    # When the part is read there, and what the others there would lose.
    prefill_in: float
    delay_cost: float
    # A pass there with the new request as one more writer.
    iteration: float
    # Decides between equals.
    preference_cost: float

    def helper_cost(self) -> float:
        """Return how dear the engine is as a helper."""
        return (
            self.delay_cost
            + self.prefill_in / _WAIT_PER_VALUE
            + self.preference_cost
        )


class EngineEstimator:
    """The engines of a service, as one request sees them."""

    def __init__(
        self,
        wanted: GenerationRequest,
        engine: EngineModel,
        ordered: list[Worker],
        fleet: FleetLoad,
        now: Millis,
        node_id: NodeId,
    ) -> None:
        self._node_id = node_id
        self._wanted = wanted
        self._engine = engine
        self._ordered = ordered
        self._fleet = fleet
        self._now = now
        self._is_long = wanted.prompt.tokens > LONG_PROMPT_TOKENS
        short_count = self._count_short()
        # The first engines of the common order are kept for short prompts,
        # as many as those in progress and some more need.
        self._lane = _LEAST_LANE + math.ceil(
            _LANE_ROOM * short_count / engine.slots
        )
        # Short prompts that come to one engine of the lane each ms, when an
        # answer takes about as long as they usually do.
        self._short_rate = short_count / _SHORT_ANSWER / self._lane

    def estimate(self, part_count: int) -> list[Estimate]:
        """Return what each engine does with one of ``parts`` parts."""
        return [
            self._offer(rank, worker, part_count)
            for rank, worker in enumerate(self._ordered)
        ]

    def _offer(self, rank: int, worker: Worker, parts: int) -> Estimate:
        engine = self._engine
        prompt = self._wanted.prompt
        load = self._fleet.load(worker.worker_id)
        count = len(load.send_by_id)
        context = load.context_tokens()
        one_pass = load.pace * engine_time.iteration_ms(
            engine, count + 1, context + prompt.tokens // parts
        )
        reading = load.pace * engine_time.prefill_ms(
            engine, prompt.tokens, parts
        )
        read_in = max(0, load.prefill_until - self._now) + reading
        read_in += load.unreported_delay(self._now)
        harm = self._harm(load.send_by_id.values(), reading, read_in + one_pass)
        if read_in > _LANE_PAUSE:
            harm += self._lane_harm(rank, reading)
        if count:
            # The pass that runs now must end first.
            read_in += one_pass / 2
        price = self._price(rank, worker, count)
        free = engine.memory_tokens - context
        if count >= min(worker.slots, engine.slots):
            free = 0
        can_help = len(load.reserved_by_id) < engine.slots
        return Estimate(worker, free, can_help, read_in, harm, one_pass, price)

    def _price(self, rank: int, worker: Worker, count: int) -> float:
        """Return what decides between engines that are equal otherwise."""
        price = rank * _RANK_PRICE + count * _CROWD_PRICE
        if count >= min(worker.slots, self._engine.slots) - 1:
            price += _LAST_SLOT_PRICE
        share = gateway_order(self._node_id, worker) % _SHARES / _SHARES
        price += share * _PREFERENCE
        if not self._is_long and not self._in_lane(rank):
            price += _OUT_OF_LANE_PRICE
        if worker.data_centre != self._wanted.data_centre:
            price += _DISTANCE_PRICE
        return price

    def _lane_harm(self, rank: int, reading: float) -> float:
        """Return the worth of what comes late that is not there yet."""
        if not self._is_long or not self._in_lane(rank):
            return 0
        coming = self._short_rate * reading
        return coming * _SHORT_VALUE * (1 - _LATE_SHARE)

    def _in_lane(self, rank: int) -> bool:
        if self._is_long:
            # The order of long prompts begins at the other end.
            rank = len(self._ordered) - 1 - rank
        return rank < self._lane

    def _count_short(self) -> int:
        count = 0
        for worker in self._ordered:
            load = self._fleet.load(worker.worker_id)
            count += load.count_short_prompts(LONG_PROMPT_TOKENS)
        return count

    def _harm(
        self, sends: Iterable[Send], reading: float, pause: float
    ) -> float:
        """Return the worth of the answers that one more part makes late."""
        harm: float = 0
        for send in sends:
            if send.is_late:
                continue
            if send.first_event_at > self._now:
                late = send.first_event_at + reading > send.due_at
            else:
                late = pause > send.target_pause
            if late:
                harm += answer_value(send.prompt_tokens) * (1 - _LATE_SHARE)
        return harm


def gateway_order(node_id: NodeId, worker: Worker) -> int:
    """Return where a worker stands in the order of one gateway alone."""
    return hash64(f'{node_id} {worker.worker_id}')


def lateness_cost(first_event_in: float, target: Millis) -> float:
    """Return the share of the answer's worth that is at stake."""
    early_enough = target * _EARLY_ENOUGH
    if first_event_in <= early_enough:
        return _WAIT_SHARE * first_event_in / max(1, early_enough)
    over = min(
        1, (first_event_in - early_enough) / max(_LEAST_SCALE, early_enough)
    )
    return _WAIT_SHARE * (1 + over) + over * (1 - _LATE_SHARE)
