"""Run the soak for one or several seeds and print each violation."""

import argparse
import asyncio
import random
import shutil
import sys
import tempfile
from pathlib import Path

from tools.soak.runner import Size, run_soak


def main() -> int:
    """Run the requested seeds; return 1 if any guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, help='random by default')
    parser.add_argument('--count', type=int, default=1, help='number of seeds')
    parser.add_argument('--gateways', type=int, default=Size().gateways)
    parser.add_argument('--callers', type=int, default=Size().callers)
    parser.add_argument(
        '--series', type=int, default=Size().series, help='series of faults'
    )
    parser.add_argument(
        '--keep', default='.', help='folder for the logs of failed runs'
    )
    parser.add_argument(
        '--older',
        type=Path,
        help='folder of another build, whose processes run beside these',
    )
    options = parser.parse_args()
    first = options.seed
    if first is None:
        first = random.SystemRandom().randrange(1 << 30)
    size = Size(
        gateways=options.gateways,
        callers=options.callers,
        series=options.series,
    )
    failed = 0
    for seed in range(first, first + options.count):
        if _run_seed(seed, size, options):
            failed += 1
    sys.stdout.write(f'{options.count} seeds, {failed} failed\n')
    return 1 if failed else 0


def _run_seed(seed: int, size: Size, options: argparse.Namespace) -> bool:
    folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    findings = asyncio.run(run_soak(seed, folder, size, options.older))
    sys.stdout.write(f'seed {seed}: {dict(findings.outcomes)}\n')
    for violation in findings.violations:
        sys.stdout.write(f'seed {seed}: {violation}\n')
    if findings.violations:
        kept = Path(options.keep) / f'soak-{seed}'
        shutil.copytree(folder, kept, dirs_exist_ok=True)
        sys.stdout.write(f'seed {seed}: logs are in {kept}\n')
    shutil.rmtree(folder)
    return bool(findings.violations)


if __name__ == '__main__':
    sys.exit(main())
