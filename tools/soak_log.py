"""Run the property tests' schedules of faults for long, from a seed.

Prints the seed of each schedule that breaks an invariant, and its steps.
"""

import argparse
import random
import sys
import time

import structlog

from tests.consensus_schedule import ACTIONS, Step, run_schedule

_SECONDS_PER_MINUTE = 60
_PAUSES_MS = (0, 3, 20, 80, 500)
_FEWEST_STEPS = 10
_MOST_STEPS = 60
_ERROR_LEVEL = 50


def random_steps(seed: int) -> list[Step]:
    """Return the steps that ``seed`` stands for."""
    chance = random.Random(seed)
    steps = []
    for _ in range(chance.randint(_FEWEST_STEPS, _MOST_STEPS)):
        steps.append(
            Step(
                chance.choice(ACTIONS),
                chance.randrange(4),
                chance.choice(_PAUSES_MS),
            )
        )
    return steps


def run_schedules(first_seed: int, minutes: float) -> int:
    """Run schedules until the time is over; return how many broke."""
    deadline = time.monotonic() + minutes * _SECONDS_PER_MINUTE
    seed = first_seed
    broken = 0
    while time.monotonic() < deadline:
        steps = random_steps(seed)
        breaches = run_schedule(steps, seed)
        if breaches:
            broken += 1
            sys.stdout.write(f'seed {seed}: {breaches}\n{steps}\n')
        seed += 1
    sys.stdout.write(f'{seed - first_seed} schedules, {broken} broken\n')
    return broken


def main() -> int:
    """Soak as the command line asks."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--minutes', type=float, default=5)
    parser.add_argument(
        '--seed', type=int, default=None, help='drawn when not given'
    )
    options = parser.parse_args()
    seed = options.seed
    if seed is None:
        seed = random.SystemRandom().randrange(1 << 30)
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(_ERROR_LEVEL)
    )
    sys.stdout.write(f'First seed {seed}.\n')
    return 1 if run_schedules(seed, options.minutes) else 0


if __name__ == '__main__':
    sys.exit(main())
