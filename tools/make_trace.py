"""Generate a trace: a deployment's request mix at a share of capacity."""

import argparse
import sys
from pathlib import Path

from verbenathread.replay.deployment import DEPLOYMENT_BY_NAME
from verbenathread.replay.generator import (
    MIX_BY_DEPLOYMENT,
    LoadShape,
    TraceGenerator,
)
from verbenathread.replay.trace import write_trace

_MS_PER_SECOND = 1000


def main() -> int:
    """Write the trace that the command line describes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('path', type=Path, help='a .jsonl or .jsonl.gz file')
    parser.add_argument('deployment', choices=sorted(DEPLOYMENT_BY_NAME))
    parser.add_argument(
        '--load', type=float, default=0.8, help='share of the capacity'
    )
    parser.add_argument('--seconds', type=int, default=30)
    parser.add_argument('--seed', type=int, default=7)
    options = parser.parse_args()
    deployment = DEPLOYMENT_BY_NAME[options.deployment]
    mix = MIX_BY_DEPLOYMENT[options.deployment]
    shape = LoadShape(
        options.load, options.seconds * _MS_PER_SECOND, options.seed
    )
    requests = TraceGenerator(deployment, mix, shape).requests()
    write_trace(options.path, requests)
    sys.stdout.write(f'{len(requests)} requests in {options.path}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
