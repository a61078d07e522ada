"""The command that replays a trace and checks the stated outcomes."""

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

_BROKEN = 1
# Limits of each account, as a multiple of its mean rate in the trace.
_LIMIT_TIMES = 3
_MS = 1000


def run_replay(options: argparse.Namespace) -> CommandOutput:
    """Replay the trace that the options name."""
    trace = read_trace(Path(options.trace))
    deployment = DEPLOYMENT_BY_NAME[options.deployment]
    replay = Replay(
        deployment,
        POLICY_BY_NAME[options.policy],
        limits_for(trace, _LIMIT_TIMES),
        options.seed,
    )
    result = replay.run(
        trace,
        Faults(
            engine_deaths=tuple(_pairs(options.engine_dies)),
            entry_deaths=tuple(_pairs(options.entry_dies)),
        ),
    )
    measures = measure(result, deployment.to_clients)
    is_broken = any(result.violations) or measures.missed
    data = {
        **measures._asdict(),
        'first_tokens': [first._asdict() for first in measures.first_tokens],
        'violations': result.violations._asdict(),
    }
    text = _text(measures, result.violations)
    return CommandOutput(text, data, _BROKEN if is_broken else 0)


def _pairs(words: list[str]) -> list[tuple[int, int]]:
    """Return positions and moments in ms out of POSITION@SECONDS."""
    pairs = []
    for word in words:
        position, _, seconds = word.partition('@')
        if not (position.isdecimal() and seconds.isdecimal()):
            raise UsageError(f'{word} names no death; write 3@30, say.')
        pairs.append((int(position), int(seconds) * _MS))
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
    summary='replay a trace over the decision parts and check its outcomes',
    arguments=(
        argument('trace', help='trace file, JSON lines, packed if .gz'),
        argument(
            '--deployment',
            default='tillery-night',
            choices=sorted(DEPLOYMENT_BY_NAME),
            help='engines, entries and latencies',
        ),
        argument(
            '--policy',
            default='current',
            choices=sorted(POLICY_BY_NAME),
            help='policy to replay',
        ),
        argument('--seed', type=int, default=1, help='seed of every draw'),
        argument(
            '--engine-dies',
            action='append',
            default=[],
            metavar='POSITION@SECONDS',
            help='lose an engine; may be given again',
        ),
        argument(
            '--entry-dies',
            action='append',
            default=[],
            metavar='POSITION@SECONDS',
            help='lose an entry; may be given again',
        ),
    ),
    example='verbenathread replay traces/fbis-day.jsonl.gz '
    '--deployment fbis-day --engine-dies 3@30',
    run=run_replay,
)
