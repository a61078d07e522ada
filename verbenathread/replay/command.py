"""The command that replays a trace and checks the invariants."""

import argparse
from pathlib import Path

from verbenathread.command import Command, CommandOutput, argument
from verbenathread.exceptions import UsageError
from verbenathread.replay.deployment import DEPLOYMENT_BY_NAME, Faults
from verbenathread.replay.measures import Measures, measure
from verbenathread.replay.policies import POLICY_BY_NAME
from verbenathread.replay.replay import Replay, limits_for
from verbenathread.replay.results import Violations
from verbenathread.replay.trace import read_trace

_EXIT_VIOLATION = 1
# Account limits as a multiple of the mean rate in the trace.
_LIMIT_MULTIPLE = 3
_MS_PER_SECOND = 1000


def run_replay(options: argparse.Namespace) -> CommandOutput:
    """Replay a trace and report its results and violations."""
    trace = read_trace(Path(options.trace))
    deployment = DEPLOYMENT_BY_NAME[options.deployment]
    replay = Replay(
        deployment,
        POLICY_BY_NAME[options.policy],
        limits_for(trace, _LIMIT_MULTIPLE),
        options.seed,
    )
    result = replay.run(
        trace,
        Faults(
            engine_deaths=tuple(_parse_deaths(options.engine_dies)),
            entry_deaths=tuple(_parse_deaths(options.entry_dies)),
        ),
    )
    measures = measure(result, deployment.client_latency_ms)
    has_violation = any(result.violations) or measures.missed
    data = {
        **measures._asdict(),
        'first_tokens': [first._asdict() for first in measures.first_tokens],
        'violations': result.violations._asdict(),
    }
    text = _text(measures, result.violations)
    return CommandOutput(text, data, _EXIT_VIOLATION if has_violation else 0)


def _parse_deaths(words: list[str]) -> list[tuple[int, int]]:
    """Parse POSITION@SECONDS into positions and times in ms."""
    pairs = []
    for word in words:
        position, _, seconds = word.partition('@')
        if not (position.isdecimal() and seconds.isdecimal()):
            raise UsageError(
                f'{word} is not POSITION@SECONDS, for example 3@30.'
            )
        pairs.append((int(position), int(seconds) * _MS_PER_SECOND))
    return pairs


def _text(measures: Measures, violations: Violations) -> str:
    lines = ['prompt  requests  first token ms p50   p95   p99']
    for first in measures.first_tokens:
        lines.append(
            f'{first.bucket:<7} {first.requests:>8}  {first.p50:>18.0f}'
            f' {first.p95:>5.0f} {first.p99:>5.0f}'
        )
    lines.append(
        f'{measures.completed} of {measures.requests} completed, '
        f'{measures.refused} refused, {measures.failed} failed, '
        f'{measures.missed} missed their time limit, {measures.lost} lost'
    )
    for name, count in violations._asdict().items():
        lines.append(f'{name}: {count}')
    return '\n'.join(lines)


COMMAND = Command(
    name='replay',
    summary='replay a trace in virtual time and check its invariants',
    arguments=(
        argument('trace', help='trace file in JSON lines, compressed if .gz'),
        argument(
            '--deployment',
            default='tillery-night',
            choices=sorted(DEPLOYMENT_BY_NAME),
            help='deployment to simulate',
        ),
        argument(
            '--policy',
            default='current',
            choices=sorted(POLICY_BY_NAME),
            help='scheduling policy',
        ),
        argument('--seed', type=int, default=1, help='random seed'),
        argument(
            '--engine-dies',
            action='append',
            default=[],
            metavar='POSITION@SECONDS',
            help='kill an engine; may be repeated',
        ),
        argument(
            '--entry-dies',
            action='append',
            default=[],
            metavar='POSITION@SECONDS',
            help='kill an entry; may be repeated',
        ),
    ),
    example='verbenathread replay traces/fbis-day.jsonl.gz '
    '--deployment fbis-day --engine-dies 3@30',
    run=run_replay,
)
