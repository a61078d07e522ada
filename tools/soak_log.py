"""Run random fault schedules of the consensus property tests for a long time.

Prints the seed and the steps of each schedule that violates an invariant.
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
_CRITICAL_LEVEL = 50


def random_steps(seed: int) -> list[Step]:
    """Return the schedule that ``seed`` generates."""
    rng = random.Random(seed)
    steps = []
    for _ in range(rng.randint(_FEWEST_STEPS, _MOST_STEPS)):
        steps.append(
            Step(
                rng.choice(ACTIONS),
                rng.randrange(4),
                rng.choice(_PAUSES_MS),
            )
        )
    return steps


def run_schedules(first_seed: int, minutes: float) -> int:
    """Run schedules for ``minutes``; return the number of failures."""
    deadline = time.monotonic() + minutes * _SECONDS_PER_MINUTE
    seed = first_seed
    failures = 0
    while time.monotonic() < deadline:
        steps = random_steps(seed)
        violations = run_schedule(steps, seed)
        if violations:
            failures += 1
            sys.stdout.write(f'seed {seed}: {violations}\n{steps}\n')
        seed += 1
    sys.stdout.write(f'{seed - first_seed} schedules, {failures} failed\n')
    return failures


def main() -> int:
    """Run the soak; return 1 if any schedule failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--minutes', type=float, default=5)
    parser.add_argument(
        '--seed', type=int, default=None, help='random by default'
    )
    options = parser.parse_args()
    seed = options.seed
    if seed is None:
        seed = random.SystemRandom().randrange(1 << 30)
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(_CRITICAL_LEVEL)
    )
    sys.stdout.write(f'First seed {seed}.\n')
    return 1 if run_schedules(seed, options.minutes) else 0


if __name__ == '__main__':
    sys.exit(main())
