"""Run both deployments on loopback and print the result of each call.

For Tillery and for FBIS: 3 control processes, 3 entries in 3 data centres,
3 engine stand-ins and a booking stand-in, from the INI files of examples/.
The calls are short and long prompts, prompts that exceed one engine, a
booking that is sent to two entries at once, and a change of settings that has
to come into force on every entry.
"""

import argparse
import sys
import tempfile
import time
from collections.abc import Iterator
from concurrent import futures
from pathlib import Path

from tools import demo_control
from tools.demo_calls import CallResult, book_twice, is_ready, send_prompt
from tools.demo_deployments import DEPLOYMENTS, Deployment
from tools.processes import Processes, running_processes, wait_for

_START_LIMIT_SECONDS = 20
_STOP_LIMIT_SECONDS = 15
_VM_NUMBERS = (1, 2, 3)
_MS_PER_SECOND = 1000
_LOG_LINES = 6
_FEW_TOKENS = 50
_SHORT_TOKENS = 1_000
_MIDDLE_TOKENS = 20_000
_LONG_TOKENS = 150_000
_OVER_ENGINE_TOKENS = 900_000
_SHORT_BESIDE_LONG = 8
_ROW = '{0:8} {1:34} {2:>9} {3:>12} {4:>10}  {5:4} {6}'


def start(deployment: Deployment, processes: Processes) -> None:
    """Start the control group, the entries and the upstreams."""
    for role in ('control', 'entry'):
        for number in _VM_NUMBERS:
            name = f'{role}-{number}'
            settings = str(deployment.folder / f'{name}.ini')
            processes.start(name, 'verbenathread', role, '--settings', settings)
    for number in _VM_NUMBERS:
        processes.start(f'engine-{number}', *deployment.engine_command(number))
    processes.start('service-1', *deployment.service_command(1))
    wait_for(
        'leader of control',
        lambda: demo_control.has_leader(deployment),
        _START_LIMIT_SECONDS,
    )
    demo_control.apply_branches(deployment)
    wait_for(
        'entries that are ready',
        lambda: _all_ready(deployment),
        _START_LIMIT_SECONDS,
    )
    wait_for(
        'upstreams at every entry',
        lambda: _all_answer(deployment),
        _START_LIMIT_SECONDS,
    )


def run_calls(deployment: Deployment) -> Iterator[CallResult]:
    """Make the calls of the demo and yield their results in order."""
    yield send_prompt(deployment, 1, 'short', _SHORT_TOKENS, stream=False)
    for number in _VM_NUMBERS:
        yield send_prompt(
            deployment,
            number,
            f'short, streamed, entry-{number}',
            _SHORT_TOKENS,
            stream=True,
        )
    yield send_prompt(deployment, 2, 'middle', _MIDDLE_TOKENS, stream=True)
    yield from _short_beside_long(deployment)
    yield send_prompt(
        deployment,
        3,
        'longer than one engine holds',
        _OVER_ENGINE_TOKENS,
        stream=True,
    )
    yield book_twice(deployment)
    yield demo_control.change_settings(deployment, _VM_NUMBERS)


def run_deployment(deployment: Deployment) -> list[CallResult]:
    """Run one deployment from its start to its planned stop."""
    results = []
    with tempfile.TemporaryDirectory() as folder:
        with running_processes(Path(folder)) as processes:
            started = time.monotonic()
            try:
                start(deployment, processes)
            except TimeoutError as error:
                _print_logs(processes)
                return [CallResult('start', 0, 0, 0, False, str(error))]
            results.append(_timed('start of 10 processes', started, True, ''))
            results.extend(run_calls(deployment))
            results.append(_stop(processes))
            if _count_succeeded(results) < len(results):
                _print_logs(processes)
    return results


def main() -> int:
    """Run the demo and return 0 only if all of it succeeded."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--only', choices=[each.name for each in DEPLOYMENTS])
    options = parser.parse_args()
    results: list[CallResult] = []
    headings = (
        'where',
        'what',
        'tokens',
        'first token',
        'total',
        'ok',
        'detail',
    )
    sys.stdout.write(f'{_ROW.format(*headings)}\n')
    for deployment in DEPLOYMENTS:
        if options.only not in {None, deployment.name}:
            continue
        deployment_results = run_deployment(deployment)
        for result in deployment_results:
            sys.stdout.write(f'{_row(deployment, result)}\n')
        results.extend(deployment_results)
    succeeded = _count_succeeded(results)
    sys.stdout.write(f'demo: {succeeded} of {len(results)} succeeded\n')
    return 0 if succeeded == len(results) else 1


def _all_ready(deployment: Deployment) -> bool:
    return all(is_ready(deployment.metrics(vm)) for vm in _VM_NUMBERS)


def _all_answer(deployment: Deployment) -> bool:
    return all(
        send_prompt(
            deployment, vm, 'first', _FEW_TOKENS, stream=False
        ).succeeded
        for vm in _VM_NUMBERS
    )


def _count_succeeded(results: list[CallResult]) -> int:
    return sum(result.succeeded for result in results)


def _short_beside_long(deployment: Deployment) -> list[CallResult]:
    with futures.ThreadPoolExecutor(_SHORT_BESIDE_LONG + 1) as pool:
        sent = [
            pool.submit(
                send_prompt,
                deployment,
                1,
                'long, beside short ones',
                _LONG_TOKENS,
                stream=True,
            )
        ]
        for number in range(_SHORT_BESIDE_LONG):
            sent.append(
                pool.submit(
                    send_prompt,
                    deployment,
                    number % len(_VM_NUMBERS) + 1,
                    'short, beside a long one',
                    _SHORT_TOKENS,
                    stream=True,
                )
            )
        return [each.result() for each in sent]


def _stop(processes: Processes) -> CallResult:
    started = time.monotonic()
    code_by_name = processes.stop_all(_STOP_LIMIT_SECONDS)
    # SIGTERM kills the stand-ins, so their exit codes are not checked.
    code_by_node = {
        name: code
        for name, code in code_by_name.items()
        if name.startswith(('entry', 'control'))
    }
    succeeded = all(code == 0 for code in code_by_node.values())
    detail = ', '.join(
        f'{name}: {code}' for name, code in code_by_node.items() if code
    )
    return _timed('planned stop of 6 processes', started, succeeded, detail)


def _timed(
    label: str, started: float, succeeded: bool, detail: str
) -> CallResult:
    total = (time.monotonic() - started) * _MS_PER_SECOND
    return CallResult(label, 0, 0, total, succeeded, detail)


def _row(deployment: Deployment, result: CallResult) -> str:
    first = f'{result.first_token_ms:.0f} ms' if result.first_token_ms else ''
    return _ROW.format(
        deployment.name,
        result.label,
        result.prompt_tokens or '',
        first,
        f'{result.total_ms:.0f} ms',
        'yes' if result.succeeded else 'NO',
        result.detail,
    )


def _print_logs(processes: Processes) -> None:
    for name, started in processes.by_name.items():
        lines = started.log.read_text(errors='replace').splitlines()
        for line in lines[-_LOG_LINES:]:
            sys.stdout.write(f'{name}: {line}\n')


if __name__ == '__main__':
    sys.exit(main())
