"""Replay the scenarios and check the bounds that the current policy must keep.

The load scenarios also run under the baseline policies, for comparison.
Prints one line per scenario and policy. KNOWN-RED.txt may list bounds that
are known to fail, each as a line ``bound: NAME``; the exit code is 0 when no
other bound fails.
"""

import argparse
import json
import os
import sys
from collections.abc import Iterator, Sequence
from concurrent import futures
from pathlib import Path
from typing import NamedTuple

from verbenathread.replay.generator import MIX_BY_DEPLOYMENT, capacity
from verbenathread.replay.measures import (
    Measures,
    is_short,
    measure,
    p95_first_token,
    slowdown,
)
from verbenathread.replay.policies import POLICY_BY_NAME
from verbenathread.replay.results import ReplayResult, RequestResult
from verbenathread.replay.scenarios import Scenario, scenarios

_PROCESSES = max(1, (os.cpu_count() or 2) // 2)
_KNOWN_RED = Path(__file__).resolve().parent.parent / 'KNOWN-RED.txt'
_BOUND_KEY = 'bound:'
_CURRENT = 'current'
_BASELINES = ('previous', 'fifo', 'least')
_LOAD_PREFIX = 'load-'
_USUAL_LOAD = 'load-80'
_FLOODING_ACCOUNT = 6
# The bounds stated in issue 5.
_SHORT_FIRST_TOKEN_MS = 630
_SHORT_SLOWDOWN = 1.25
_LONG_REFUSED_SHARE = 0.02
# Goodput at 120 % of the capacity relative to that at 95 %.
_GOODPUT_KEPT = 0.9
# p95 first token of the other accounts in a flood, relative to that without.
_FLOOD_CHANGE = 1.1


class Line(NamedTuple):
    """The figures of one scenario under one policy."""

    deployment: str
    scenario: str
    policy: str
    measures: Measures
    goodput: float
    violations: dict[str, int]
    short_slowdown: float | None
    # p95 first token, in ms, of the accounts that do not flood.
    others_short: float
    others_all: float


class Bound(NamedTuple):
    """A bound and the figure that is compared with it."""

    name: str
    limit: float
    figure: float
    # The limit is a minimum rather than a maximum.
    is_minimum: bool = False

    @property
    def holds(self) -> bool:
        """Return whether the figure is within the bound."""
        if self.is_minimum:
            return self.figure >= self.limit
        return self.figure <= self.limit


def _measure_line(scenario: Scenario, policy_name: str) -> Line:
    policy = POLICY_BY_NAME[policy_name]
    result = scenario.run(policy)
    deployment = scenario.deployment
    measures = measure(result, deployment.client_latency_ms)
    slowdown_ratio = None
    if scenario.name == _USUAL_LOAD:
        alone = scenario.run_short_alone(policy)
        slowdown_ratio = slowdown(result, alone, deployment.client_latency_ms)
    mix = MIX_BY_DEPLOYMENT[deployment.name]
    return Line(
        deployment=deployment.name,
        scenario=scenario.name,
        policy=policy_name,
        measures=measures,
        goodput=measures.good_rate / capacity(deployment, mix),
        violations=result.violations._asdict(),
        short_slowdown=slowdown_ratio,
        others_short=_others_first_token(scenario, result, short_only=True),
        others_all=_others_first_token(scenario, result, short_only=False),
    )


def _others_first_token(
    scenario: Scenario, result: ReplayResult, *, short_only: bool
) -> float:
    """Return the p95 first token of all accounts but the flooding one."""
    mix = MIX_BY_DEPLOYMENT[scenario.deployment.name]
    flooding = list(mix.share_by_account)[_FLOODING_ACCOUNT]

    def include(ended: RequestResult) -> bool:  # noqa: WPS430 - a filter.
        if short_only and not is_short(ended):
            return False
        return ended.request.account != flooding

    return p95_first_token(
        result, include, scenario.deployment.client_latency_ms
    )


def _format_line(line: Line) -> str:
    times = ' '.join(
        f'{first.bucket} {first.p50:.0f}/{first.p95:.0f}/{first.p99:.0f}'
        for first in line.measures.first_tokens
    )
    slowdown_ratio = ''
    if line.short_slowdown is not None:
        slowdown_ratio = f' slowdown {line.short_slowdown:.2f}'
    measures = line.measures
    outcomes = ' '.join(
        f'{name} {getattr(measures, name)}'
        for name in ('refused', 'missed', 'failed', 'lost')
    )
    return (
        f'{line.deployment} {line.scenario} {line.policy}: '
        f'first token ms p50/p95/p99 {times}{slowdown_ratio} '
        f'requests {measures.requests} {outcomes} '
        f'(long refused {measures.long_refused} of {measures.long_requests}) '
        f'goodput {line.goodput:.3f}'
    )


def _all_bounds(lines: Sequence[Line]) -> list[Bound]:
    by_key = {
        (line.deployment, line.scenario): line
        for line in lines
        if line.policy == _CURRENT
    }
    bounds = []
    for current in by_key.values():
        bounds.extend(_invariant_bounds(current))
        if current.scenario == _USUAL_LOAD:
            bounds.extend(_usual_load_bounds(current))
    for deployment in sorted({deployment for deployment, _ in by_key}):
        usual_load = by_key.get((deployment, _USUAL_LOAD))
        flood = by_key.get((deployment, 'flood'))
        if usual_load is not None and flood is not None:
            bounds.extend(_flood_bounds(usual_load, flood))
        under_capacity = by_key.get((deployment, 'load-95'))
        over_capacity = by_key.get((deployment, 'load-120'))
        if under_capacity is not None and over_capacity is not None:
            ratio_kept = over_capacity.goodput / max(
                under_capacity.goodput, 1e-9
            )
            name = f'{deployment}/goodput-at-120'
            bounds.append(
                Bound(name, _GOODPUT_KEPT, ratio_kept, is_minimum=True)
            )
    return bounds


def _invariant_bounds(line: Line) -> list[Bound]:
    """Return the bounds that hold at any load and with any failure."""
    prefix = f'{line.deployment}/{line.scenario}'
    broken = sum(line.violations.values())
    return [
        Bound(f'{prefix}/misses', 0, line.measures.missed),
        Bound(f'{prefix}/violations', 0, broken),
    ]


def _usual_load_bounds(line: Line) -> list[Bound]:
    prefix = f'{line.deployment}/{line.scenario}'
    measures = line.measures
    long_refused = measures.long_refused / max(1, measures.long_requests)
    return [
        Bound(
            f'{prefix}/short-first-token',
            _SHORT_FIRST_TOKEN_MS,
            measures.first_tokens[0].p95,
        ),
        Bound(
            f'{prefix}/short-slowdown',
            _SHORT_SLOWDOWN,
            line.short_slowdown or 0,
        ),
        Bound(f'{prefix}/long-unfinished', 0, measures.long_unfinished),
        Bound(f'{prefix}/long-refused', _LONG_REFUSED_SHARE, long_refused),
    ]


def _flood_bounds(usual_load: Line, flood: Line) -> list[Bound]:
    prefix = f'{usual_load.deployment}/flood'
    return [
        Bound(
            f'{prefix}/others-short',
            _FLOOD_CHANGE,
            flood.others_short / max(1, usual_load.others_short),
        ),
        Bound(
            f'{prefix}/others-all',
            _FLOOD_CHANGE,
            flood.others_all / max(1, usual_load.others_all),
        ),
    ]


def _known_red() -> frozenset[str]:
    if not _KNOWN_RED.exists():
        return frozenset()
    text = _KNOWN_RED.read_text(encoding='utf-8')
    return frozenset(
        line.removeprefix(_BOUND_KEY).strip()
        for line in text.splitlines()
        if line.startswith(_BOUND_KEY)
    )


def _report_failures(bounds: Sequence[Bound]) -> int:
    """Print every bound that fails; return how many are unexpected."""
    known_failures = _known_red()
    unexpected = 0
    failing = [bound for bound in bounds if not bound.holds]
    for bound in failing:
        word = 'known red' if bound.name in known_failures else 'failed'
        unexpected += bound.name not in known_failures
        sys.stdout.write(
            f'{word}: {bound.name}: measured {bound.figure:.3f}, '
            f'bound {bound.limit}\n'
        )
    held = len(bounds) - len(failing)
    sys.stdout.write(f'{held} of {len(bounds)} bounds hold\n')
    return unexpected


def _plot(lines: Sequence[Line], path: Path) -> None:
    """Plot the p95 first token by bucket at the usual load."""
    from matplotlib import pyplot  # noqa: PLC0415 - a development extra.

    figure, axes = pyplot.subplots(1, 2, figsize=(11, 4), sharey=True)
    names = sorted({each.deployment for each in lines})
    for plot_axes, deployment in zip(axes, names, strict=False):
        for line in lines:
            if (line.deployment, line.scenario) != (deployment, _USUAL_LOAD):
                continue
            plot_axes.plot(
                [first.bucket for first in line.measures.first_tokens],
                [first.p95 for first in line.measures.first_tokens],
                marker='o',
                label=line.policy,
            )
        plot_axes.set_title(f'{deployment}, 80 %')
        plot_axes.set_yscale('log')
        plot_axes.set_ylabel('first token p95, ms')
        plot_axes.legend()
    figure.savefig(path)


def main() -> int:
    """Run every scenario and return 0 when every bound holds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--json', action='store_true', help='print JSON')
    parser.add_argument('--plot', type=Path, help='write a chart to this file')
    parser.add_argument(
        '--only', default='', help='part of DEPLOYMENT/SCENARIO'
    )
    parser.add_argument(
        '--processes', type=int, default=_PROCESSES, help='parallel replays'
    )
    parser.add_argument(
        '--every-baseline',
        action='store_true',
        help='run the baselines on the failure scenarios too',
    )
    options = parser.parse_args()
    lines = list(_chosen_lines(options))
    if options.json:
        plain = [_json_members(each) for each in lines]
        sys.stdout.write(f'{json.dumps(plain, indent=1)}\n')
    if options.plot:
        _plot(lines, options.plot)
    return 1 if _report_failures(_all_bounds(lines)) else 0


def _chosen_lines(options: argparse.Namespace) -> Iterator[Line]:
    """Replay the selected scenarios; print and yield each line.

    Replays run in a pool of processes; the lines keep the scenarios' order.
    """
    chosen: list[Scenario] = []
    policies: list[str] = []
    for scenario in scenarios():
        if options.only not in f'{scenario.deployment.name}/{scenario.name}':
            continue
        is_compared = scenario.name.startswith(_LOAD_PREFIX)
        names = [_CURRENT]
        if is_compared or options.every_baseline:
            names.extend(_BASELINES)
        chosen.extend(scenario for _ in names)
        policies.extend(names)
    with futures.ProcessPoolExecutor(options.processes) as pool:
        for line in pool.map(_measure_line, chosen, policies):
            if not options.json:
                sys.stdout.write(f'{_format_line(line)}\n')
                sys.stdout.flush()
            yield line


def _json_members(line: Line) -> dict[str, object]:
    """Return the members of the JSON object of a line."""
    measures = line.measures._asdict()
    measures['first_tokens'] = [
        first._asdict() for first in line.measures.first_tokens
    ]
    return {**line._asdict(), 'measures': measures}


if __name__ == '__main__':
    sys.exit(main())
