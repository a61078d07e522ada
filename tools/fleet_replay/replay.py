"""Replays a load on simulated engines, through the placement of gateways.

Each gateway places requests by what it knows, hears of the others' sends
late, and waits or refuses as the running gateway does. There is no network.
"""

import functools
import heapq
import itertools
import math
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from tools.fleet_replay.engine import Generation, SimulatedEngine
from tools.fleet_replay.load import (
    ENGINE,
    KINDS,
    WAVES,
    Call,
    Wave,
    draw_calls,
)
from verbenathread.serving import engine_time
from verbenathread.serving.estimates import GenerationRequest
from verbenathread.serving.fleet_load import FleetLoad, Send
from verbenathread.serving.placement import Placement, PlacingGateway, place
from verbenathread.serving.types import Prompt, Worker, WorkerState
from verbenathread.types import Address, Millis

# Share of its time limit that a request may wait for a slot, and how often it
# looks for one.
_QUEUE_TIME_SHARE = 0.25
_RETRY_INTERVAL: Millis = 25
# As the running gateway does, places a request only if the forecast is within
# this share of the time after which callers abandon a stream.
_TIMEOUT_SHARE = 0.7
_MIN_TIMEOUT: Millis = 2000
_TIMEOUT_LATENCIES = 4
_TIMEOUT_PAUSES = 8
_DATA_CENTRES = 5
_ID_BYTES = 4
# A notice takes between half and twice the mean time.
_SHORTEST_DELAY_SHARE = 0.5
_LONGEST_DELAY_SHARE = 1.5
_CRASH_AT: Millis = 5000
_PERCENTILE = 0.99


class Options(NamedTuple):
    """The fleet and the load of one replay."""

    engines: int = 172
    gateways: int = 16
    # Mean time until another gateway knows of a send or of its end, ms.
    notice_delay: float = 4
    # Scales the number of requests.
    rate: float = 1
    # Share of the engines that crash at 5 s and do not come back.
    crashed_share: float = 0
    waves: Sequence[Wave] = WAVES
    seed: int = 1


class _Timer(NamedTuple):
    at: float
    # Breaks ties in the order of creation.
    number: int
    action: Callable[[], None]


class FleetReplay:
    """One replay; :meth:`run` plays it."""

    def __init__(self, options: Options) -> None:
        """Set up engines and gateways, all idle."""
        self.calls: list[Call] = []
        self._options = options
        self._random = random.Random(options.seed)
        self._time: float = 0
        self._timers: list[_Timer] = []
        self._numbers = itertools.count()
        self._workers = tuple(map(_make_worker, range(options.engines)))
        self.engine_by_id: dict[str, SimulatedEngine] = {}
        for worker in self._workers:
            self.engine_by_id[worker.worker_id] = SimulatedEngine(self, ENGINE)
        self._fleets = [FleetLoad() for _ in range(options.gateways)]

    def run(self) -> None:
        """Play all requests to their end."""
        options = self._options
        for call in draw_calls(options.waves, options.rate, self._random):
            self.calls.append(call)
            self._plan_arrival(call)
        crashed_count = int(options.crashed_share * len(self._workers))
        for worker in self._random.sample(self._workers, crashed_count):
            self.later(_CRASH_AT, self.engine_by_id[worker.worker_id].crash)
        while self._timers:
            timer = heapq.heappop(self._timers)
            self._time = timer.at
            timer.action()

    def now(self) -> float:
        """Return the time in ms."""
        return self._time

    def later(self, delay: float, action: Callable[[], None]) -> None:
        """Run ``action`` after ``delay`` ms."""
        number = next(self._numbers)
        heapq.heappush(self._timers, _Timer(self._time + delay, number, action))

    def _plan_arrival(self, call: Call) -> None:
        gateway = self._random.randrange(len(self._fleets))
        queue_timeout = call.kind.deadline * _QUEUE_TIME_SHARE
        self.later(
            call.arrived,
            lambda: self._place(call, gateway, call.arrived + queue_timeout),
        )

    def _place(self, call: Call, gateway: int, queued_until: float) -> None:
        """Send a request, or look again soon until ``queued_until``."""
        outcome = place(
            self._request(call, gateway),
            ENGINE,
            self._workers,
            self._fleets[gateway],
            int(self._time),
            PlacingGateway(f'g{gateway}', is_warming_up=False),
        )
        if isinstance(outcome, Placement):
            self._send(call, gateway, outcome)
            return
        free_in: float = 0
        if self._time <= call.arrived:
            free_in = math.inf if outcome.free_in is None else outcome.free_in
        if self._time + free_in >= queued_until:
            call.is_refused = True
            return
        self.later(
            _RETRY_INTERVAL, lambda: self._place(call, gateway, queued_until)
        )

    def _request(self, call: Call, gateway: int) -> GenerationRequest:
        kind = call.kind
        waited = self._time - call.arrived
        timeout = max(
            _MIN_TIMEOUT,
            _TIMEOUT_LATENCIES * kind.target_latency,
            _TIMEOUT_PAUSES * kind.target_pause,
        )
        return GenerationRequest(
            Prompt(call.tokens, call.expected_output, call.expected_output),
            int(max(0, kind.target_latency - waited)),
            kind.target_pause,
            int((timeout - waited) * _TIMEOUT_SHARE),
            _data_centre(gateway),
        )

    def _send(self, call: Call, gateway: int, placement: Placement) -> None:
        worker_id = placement.worker.worker_id
        send = Send(
            f's{next(self._numbers)}',
            call.tokens,
            call.expected_output,
            call.kind.target_pause,
            int(call.arrived + call.kind.target_latency),
            parts=placement.parts,
        )
        self._notify(
            gateway,
            lambda fleet, now: fleet.record_send(worker_id, ENGINE, send, now),
        )
        part_count = 1 + len(placement.parts)
        record_end = functools.partial(_record_end, worker_id, send.send_id)
        generation = Generation(
            call, part_count, lambda: self._notify(gateway, record_end)
        )
        generation.read_time = engine_time.prefill_ms(
            ENGINE, call.tokens, part_count
        )
        self.engine_by_id[worker_id].submit(generation)
        for part in placement.parts:
            self.engine_by_id[part.worker_id].help_read(generation)

    def _notify(
        self, gateway: int, record: Callable[[FleetLoad, Millis], object]
    ) -> None:
        """Record a change at one gateway at once, at the others later."""
        record(self._fleets[gateway], int(self._time))
        for number, fleet in enumerate(self._fleets):
            if number != gateway:
                self._record_later(fleet, record)

    def _record_later(
        self, fleet: FleetLoad, record: Callable[[FleetLoad, Millis], object]
    ) -> None:
        delay = self._options.notice_delay * self._random.uniform(
            _SHORTEST_DELAY_SHARE, _LONGEST_DELAY_SHARE
        )
        self.later(delay, lambda: _discard(record(fleet, int(self._time))))


class KindResult(NamedTuple):
    """What the callers of one kind of request got."""

    name: str
    calls: int
    # Shares of the calls.
    in_time: float
    refused: float
    # Times to the first event, ms; infinite if there was none.
    median: float
    p99: float
    worth: float


def results(replay: FleetReplay) -> list[KindResult]:
    """Return the result of each kind."""
    found = []
    for kind in KINDS:
        calls = [call for call in replay.calls if call.kind is kind]
        if calls:
            found.append(_result(kind.name, calls))
    return found


def worth(calls: Sequence[Call]) -> float:
    """Return the share of the value of all answers that callers got."""
    earned: float = 0
    owed: float = 0
    for call in calls:
        value = call.value()
        owed += value
        if call.in_time():
            earned += value
        elif call.first_event is not None and not call.is_broken:
            earned += value * call.kind.late_worth / call.kind.worth
    return earned / owed


def busiest_share(replay: FleetReplay) -> float:
    """Return the arrivals of the busiest engine, as a multiple of the mean."""
    arrivals = [engine.arrivals for engine in replay.engine_by_id.values()]
    return max(arrivals) * len(arrivals) / sum(arrivals)


def _result(name: str, calls: Sequence[Call]) -> KindResult:
    first_events = []
    in_time = 0
    refused = 0
    for call in calls:
        first_event = math.inf if call.first_event is None else call.first_event
        first_events.append(first_event)
        in_time += call.in_time()
        refused += call.is_refused
    first_events.sort()
    count = len(calls)
    return KindResult(
        name,
        count,
        in_time / count,
        refused / count,
        first_events[count // 2],
        first_events[int(_PERCENTILE * (count - 1))],
        worth(calls),
    )


def _make_worker(number: int) -> Worker:
    # Ids have no order, as on a running fleet.
    name = random.Random(number).randbytes(_ID_BYTES).hex()
    return Worker(
        f'i-{name}',
        1,
        1,
        WorkerState.READY,
        'desk',
        Address('10.0.0.1', number),
        _data_centre(number),
        ENGINE.slots,
    )


def _record_end(
    worker_id: str, send_id: str, fleet: FleetLoad, now: Millis
) -> None:
    fleet.record_end(worker_id, send_id, now)


def _data_centre(number: int) -> str:
    return f'z{number % _DATA_CENTRES}'


def _discard(outcome: object) -> None:
    """Ignore the result of a call."""
