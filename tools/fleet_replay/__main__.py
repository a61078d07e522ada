"""Plays one replay and prints what callers got: ``--help`` for the options."""

import argparse
import sys
from collections.abc import Sequence

from tools.fleet_replay.replay import (
    FleetReplay,
    Options,
    busiest_share,
    results,
    worth,
)


def main(words: Sequence[str] | None = None) -> int:
    """Play one replay and print its table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--engines', type=int, default=172)
    parser.add_argument('--gateways', type=int, default=16)
    parser.add_argument('--delay', type=float, default=4, help='ms')
    parser.add_argument('--rate', type=float, default=1)
    parser.add_argument('--crashed', type=float, default=0, help='share')
    parser.add_argument('--seed', type=int, default=1)
    chosen = parser.parse_args(words)
    replay = FleetReplay(
        Options(
            engines=chosen.engines,
            gateways=chosen.gateways,
            notice_delay=chosen.delay,
            rate=chosen.rate,
            crashed_share=chosen.crashed,
            seed=chosen.seed,
        )
    )
    replay.run()
    for row in results(replay):
        sys.stdout.write(
            f'{row.name:8}{row.calls:6} in time {row.in_time:.3f}'
            f' refused {row.refused:.3f} p50 {row.median:5.0f}'
            f' p99 {row.p99:5.0f} worth {row.worth:.3f}\n'
        )
    sys.stdout.write(
        f'worth {worth(replay.calls):.3f}'
        f' busiest engine {busiest_share(replay):.1f}\n'
    )
    return 0


if __name__ == '__main__':
    sys.exit(main())
