"""Measure processor time per decision, by workers and client accounts.

Prints the figures without checking them. Run it on an idle machine.
"""

import argparse
import json
import random
import sys
import time
from collections.abc import Callable
from typing import NamedTuple

from verbenathread.clock import ManualClock
from verbenathread.replay.deployment import TILLERY, engine_records
from verbenathread.replay.replay import default_policy
from verbenathread.scheduling.admission import Admission
from verbenathread.scheduling.ledger import EngineLedger
from verbenathread.scheduling.limits import AccountLimiter
from verbenathread.scheduling.messages import ReservationRequest
from verbenathread.scheduling.router import Router
from verbenathread.schema import settings_pb2
from verbenathread.types import Reservation, UpstreamRecord, Work

_WORKERS = (20, 200, 4000)
_ACCOUNTS = (10, 570)
_ROUNDS = 2000
_ENTRIES = 9
_PROMPT_TOKENS = 3000
_OUTPUT_TOKENS = 200
_TIME_LIMIT_MS: int = 60000
_US_PER_S = 1e6
_ACCOUNT_LIMITS = settings_pb2.AccountSettings(
    requests_per_second=1e6, tokens_per_second=1e12, long_prompts=100
)


class Cost(NamedTuple):
    """Processor time of one kind of decision at one size."""

    decision: str
    workers: int
    accounts: int
    microseconds: float


def _work(number: int, accounts: int) -> Work:
    return Work(
        request_id=f'r{number}',
        account=f'a{number % accounts}',
        service='model',
        prompt_tokens=_PROMPT_TOKENS,
        most_output_tokens=_OUTPUT_TOKENS,
        expected_output_tokens=_OUTPUT_TOKENS,
        deadline=number + _TIME_LIMIT_MS,
        arrival=number,
    )


def _timed(action: Callable[[int], object]) -> float:
    """Return the mean processor time of a call in microseconds."""
    started = time.process_time()
    for number in range(_ROUNDS):
        action(number)
    return (time.process_time() - started) / _ROUNDS * _US_PER_S


def _choice(records: tuple[UpstreamRecord, ...]) -> Callable[[int], object]:
    router = Router(default_policy(), random.Random(1))
    clock = ManualClock()
    for record in records:
        ledger = EngineLedger(
            record.upstream_id, record.memory_tokens, router.policy, clock
        )
        router.record_report(ledger.report(), 0)

    def choose(number: int) -> None:  # noqa: WPS430 - the call to be timed.
        work = _work(number, 1)
        first = router.choose(work, records, number)[0]
        router.record_sent(first, work, number)
        router.record_done(first, work)

    return choose


def _admission(
    records: tuple[UpstreamRecord, ...], accounts: int
) -> Callable[[int], object]:
    admission = Admission(AccountLimiter(_ENTRIES, 0))
    policy = default_policy()

    def admit(number: int) -> None:  # noqa: WPS430 - the call to be timed.
        work = _work(number, accounts)
        admission.admit(work, _ACCOUNT_LIMITS, policy, records, number)
        admission.finish(work, policy, _OUTPUT_TOKENS, number)

    return admit


def _reservation() -> Callable[[int], object]:
    """Return the calls of one request on a ledger with forty others."""
    clock = ManualClock()
    ledger = EngineLedger(
        'e1', TILLERY.rates.memory_tokens, default_policy(), clock
    )
    for number in range(-40, 0):
        outcome = ledger.reserve(_reservation_request(number))
        if isinstance(outcome, Reservation):
            ledger.mark_started(outcome.reservation_id)
            ledger.record_progress(outcome.reservation_id, 1)

    def reserve(number: int) -> None:  # noqa: WPS430 - the call to be timed.
        clock.advance(1)
        outcome = ledger.reserve(_reservation_request(number))
        if isinstance(outcome, Reservation):
            ledger.mark_started(outcome.reservation_id)
            ledger.record_progress(outcome.reservation_id, 1)
            ledger.release(outcome.reservation_id, _OUTPUT_TOKENS)
        ledger.take_grants()

    return reserve


def _reservation_request(number: int) -> ReservationRequest:
    work = _work(number, 1)._replace(deadline=_TIME_LIMIT_MS * _ROUNDS)
    return ReservationRequest(
        work, work.request_id, 'n1', _PROMPT_TOKENS + _OUTPUT_TOKENS
    )


def measure() -> list[Cost]:
    """Return the cost of every decision at every size."""
    costs = []
    for workers in _WORKERS:
        records = engine_records(TILLERY._replace(engines=workers))
        for accounts in _ACCOUNTS:
            admit = _timed(_admission(records, accounts))
            costs.append(Cost('admit', workers, accounts, admit))
        choose = _timed(_choice(records))
        costs.append(Cost('choose an engine', workers, 1, choose))
    reserve = _timed(_reservation())
    costs.append(Cost('reserve to release, 40 held', 1, 1, reserve))
    return costs


def main() -> int:
    """Print the cost of every decision."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--json', action='store_true', help='print JSON')
    options = parser.parse_args()
    costs = measure()
    if options.json:
        members = [cost._asdict() for cost in costs]
        sys.stdout.write(f'{json.dumps(members, indent=1)}\n')
        return 0
    for cost in costs:
        sys.stdout.write(
            f'{cost.decision}: {cost.workers} workers, '
            f'{cost.accounts} accounts: {cost.microseconds:.0f} us\n'
        )
    return 0


if __name__ == '__main__':
    sys.exit(main())
