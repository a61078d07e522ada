"""Plays requests that crash workers beside sound ones, and what comes of it."""

import asyncio
import itertools
from typing import NamedTuple

from tests.gateway_fleet import GatewayFleet
from tests.gateway_harness import Response, config, route
from tests.standins.troubled_worker import Behaviour
from verbenathread.serving.crash_evidence import PartGroup
from verbenathread.serving.types import RequestKind, Route

# Gateways in touch know of what crashes workers this long after it crashed
# as many as count.
CONTACT_S = 3.0
# Requests that each share of sound ones is taken of, at least.
MIN_SAMPLE = 20
CALM_S = 1.2
OBSERVED_S = 2.0
SOUND_INTERVAL_S = 0.05


class Call(NamedTuple):
    """A request; ``{number}`` in a field is replaced by a new number."""

    path: str
    method: str = 'POST'
    headers: str = ''
    body: str = ''


class Case(NamedTuple):
    """One deployment and the requests that it gets."""

    name: str
    gateways: int
    workers: int
    behaviour: Behaviour
    # Requests that crash workers and come together, and the time from one
    # such group to the next.
    group: int
    group_interval_s: float
    # Crashing and sound requests, in turn.
    crashing: tuple[Call, ...]
    sound: tuple[Call, ...]
    service: str = 'desk'
    resumable: bool = True
    # Crashes of one kind that count.
    counted_crashes: int = 5
    # Gateways that start one contact time after the last counted crash.
    late_gateways: int = 0
    # A worker crashes on its own this often; 0 is never.
    own_crash_interval_s: float = 0


class Outcome(NamedTuple):
    """What workers and callers saw."""

    # Requests that reached workers a contact time after the last counted
    # crash, by the reason why they crash them.
    later_sends: dict[str, int]
    # Groups of parts that are kept from workers at the end.
    found: frozenset[PartGroup]
    # Whether sound requests were served at the first attempt, before the first
    # crashing request and long after the last counted crash.
    served_before: list[bool]
    served_after: list[bool]


class Callers:
    """Send requests to the gateways in turn."""

    def __init__(self, fleet: GatewayFleet, case: Case) -> None:
        """Send to the gateways that have started."""
        self._fleet = fleet
        self._case = case
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        # Time of each sound request and whether its first attempt was served.
        self.sound_results: list[tuple[float, bool]] = []

    async def send_sound(self) -> None:
        """Send sound requests until cancelled."""
        for call in itertools.cycle(self._case.sound):
            self._begin(self._send_sound(call))
            await asyncio.sleep(SOUND_INTERVAL_S)

    async def send_crashing(self) -> None:
        """Send groups of requests that crash workers until cancelled."""
        for call in itertools.cycle(self._case.crashing):
            for _ in range(self._case.group):
                self._begin(self._send_crashing(call))
            await asyncio.sleep(self._case.group_interval_s)

    async def crash_workers(self) -> None:
        """Crash workers that no request crashes, until cancelled."""
        while self._case.own_crash_interval_s:
            await asyncio.sleep(self._case.own_crash_interval_s)
            self._fleet.crash_worker()

    def served(self, begin: float, end: float) -> list[bool]:
        """Return whether each sound request of this time was served."""
        return [
            served
            for sent_at, served in self.sound_results
            if begin < sent_at < end
        ]

    def cancel(self) -> None:
        """Cancel the requests in progress."""
        for task in self._tasks:
            task.cancel()

    def _begin(self, sending) -> None:
        task = asyncio.create_task(sending)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_sound(self, call: Call) -> None:
        sent_at = asyncio.get_running_loop().time()
        response = await self._send(call)
        served = response.status == 200 and response.complete
        self.sound_results.append((sent_at, served))

    async def _send_crashing(self, call: Call) -> None:
        # The caller repeats a failed request once.
        for _ in range(2):
            response = await self._send(call)
            if response.status == 200 and response.complete:
                return

    async def _send(self, call: Call) -> Response:
        number = next(self._numbers)
        gateways = self._fleet.started
        return await gateways[number % len(gateways)].send(
            call.path.format(number=number),
            attempt_id=f'r{number}',
            headers=call.headers.format(number=number),
            body=call.body.format(number=number).encode(),
            method=call.method,
        )


async def play(case: Case) -> Outcome:
    """Play one case to its end."""
    fleet = GatewayFleet(
        case.gateways, case.workers, case.behaviour, case.service
    )
    await fleet.start(config(routes=_routes(case)), case.late_gateways)
    callers = Callers(fleet, case)
    senders = [asyncio.create_task(callers.send_sound())]
    loop = asyncio.get_running_loop()
    await asyncio.sleep(CALM_S)
    while len(callers.sound_results) < MIN_SAMPLE:
        await asyncio.sleep(SOUND_INTERVAL_S)
    crashing_from = loop.time()
    senders.append(asyncio.create_task(callers.send_crashing()))
    senders.append(asyncio.create_task(callers.crash_workers()))
    counted_at_by_reason = await _await_crashes(fleet, case)
    await asyncio.sleep(CONTACT_S)
    await fleet.start_late()
    await asyncio.sleep(CONTACT_S)
    observed_from = loop.time()
    await asyncio.sleep(OBSERVED_S)
    while len(callers.served(observed_from, loop.time())) < MIN_SAMPLE:
        await asyncio.sleep(SOUND_INTERVAL_S)
    for task in senders:
        task.cancel()
    callers.cancel()
    await fleet.stop()
    quarantine = fleet.gateways[0].context.quarantine
    return Outcome(
        _later_sends(fleet, counted_at_by_reason),
        frozenset(quarantine.groups),
        callers.served(0, crashing_from),
        callers.served(observed_from, loop.time()),
    )


def _routes(case: Case) -> tuple[Route, ...]:
    return (
        route('note', RequestKind.STREAM, 'desk', resumable=case.resumable),
        route('hold', RequestKind.AT_MOST_ONCE, 'ledger', max_attempts=1),
        route('check', RequestKind.IDEMPOTENT, 'ledger'),
    )


async def _await_crashes(fleet: GatewayFleet, case: Case) -> dict[str, float]:
    """Return when each kind of request crashed as many workers as count."""
    loop = asyncio.get_running_loop()
    # A service that is protected after fewer crashes needs no more.
    until = loop.time() + 2 * CONTACT_S
    reasons = len(case.crashing) if case.behaviour.crashing_requests else 1
    while True:
        times_by_reason: dict[str, list[float]] = {}
        for crashed_at, reason in fleet.crashes:
            if reason:
                times_by_reason.setdefault(reason, []).append(crashed_at)
        counted_at_by_reason = {
            reason: times[case.counted_crashes - 1]
            for reason, times in times_by_reason.items()
            if len(times) >= case.counted_crashes
        }
        if len(counted_at_by_reason) == reasons or loop.time() > until:
            return counted_at_by_reason
        await asyncio.sleep(SOUND_INTERVAL_S)


def _later_sends(
    fleet: GatewayFleet, counted_at_by_reason: dict[str, float]
) -> dict[str, int]:
    later_sends = dict.fromkeys(counted_at_by_reason, 0)
    for standin in fleet.standins:
        for arrived_at, reason in standin.crashing_arrivals:
            counted_at = counted_at_by_reason.get(reason)
            if counted_at is not None and arrived_at > counted_at + CONTACT_S:
                later_sends[reason] += 1
    return later_sends
