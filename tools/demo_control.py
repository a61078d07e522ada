"""Control calls of the demo's operator."""

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from tools.demo_calls import CallResult
from tools.demo_deployments import Deployment
from verbenathread.admin.client import ControlClient
from verbenathread.exceptions import VerbenathreadError
from verbenathread.settings.node import parse_addresses

_MS_PER_SECOND = 1000
_ENTRY_ROLE = 'entry'
_IN_FORCE_LIMIT_SECONDS = 10
_POLL_SECONDS = 0.02
_Result = TypeVar('_Result')


def has_leader(deployment: Deployment) -> bool:
    """Return whether the control group has a leader."""
    try:
        return bool(_call(deployment, _leader))
    except VerbenathreadError:
        return False


def apply_branches(deployment: Deployment) -> None:
    """Write every branch of the deployment from its file."""
    for path, file_name in deployment.branch_files:
        text = (deployment.folder / 'branches' / file_name).read_text()
        _call(deployment, _Change(path, text))


def change_settings(
    deployment: Deployment, entries: Sequence[int]
) -> CallResult:
    """Change the root branch and wait until every entry runs it."""
    text = '# Changed by the demo.\n[policy]\nattempts = 5\n'
    started = time.monotonic()
    revision = _call(deployment, _Change('/', text))
    end = started + _IN_FORCE_LIMIT_SECONDS
    running = 0
    while running < len(entries) and time.monotonic() < end:
        running = _call(deployment, _CountRunning(revision))
        time.sleep(_POLL_SECONDS)
    total = (time.monotonic() - started) * _MS_PER_SECOND
    return CallResult(
        'change of settings in force',
        0,
        0,
        total,
        running == len(entries),
        f'revision {revision} on {running} of {len(entries)} entries',
    )


async def _leader(client: ControlClient) -> str:
    return (await client.status()).leader


class _Change:
    """Changes one branch, whatever its current revision."""

    def __init__(self, path: str, text: str) -> None:
        self._path = path
        self._text = text

    async def __call__(self, client: ControlClient) -> int:
        tree = await client.read_tree(self._path)
        revision_by_path = {
            branch.path: branch.revision for branch in tree.branches
        }
        expected = revision_by_path.get(self._path, 0)
        return await client.change(self._path, self._text, expected)


class _CountRunning:
    """Counts the entries that run a revision or a later one."""

    def __init__(self, revision: int) -> None:
        self._revision = revision

    async def __call__(self, client: ControlClient) -> int:
        nodes = (await client.status()).nodes
        return len(
            [
                node.node_id
                for node in nodes
                if node.role == _ENTRY_ROLE and node.revision >= self._revision
            ]
        )


def _call(
    deployment: Deployment,
    step: Callable[[ControlClient], Awaitable[_Result]],
) -> _Result:
    return asyncio.run(_run(deployment, step))


async def _run(
    deployment: Deployment,
    step: Callable[[ControlClient], Awaitable[_Result]],
) -> _Result:
    client = ControlClient(
        parse_addresses(deployment.control()), 'root', deployment.root_key()
    )
    with contextlib.closing(client):
        return await step(client)
