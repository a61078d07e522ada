"""Commands that read and change branches, client accounts and services."""

import argparse
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from verbenathread.admin import branch_text, render
from verbenathread.admin.client import ControlClient
from verbenathread.command import CommandOutput
from verbenathread.exceptions import UsageError
from verbenathread.schema import control_pb2
from verbenathread.settings.tree import covers, key_hash, parse_branch


class _Columns(NamedTuple):
    """Column titles of a list, and the options shown after the branch."""

    titles: tuple[str, ...]
    options: tuple[str, ...]


_ACCOUNT_COLUMNS = _Columns(
    ('account', 'branch', 'requests/s', 'tokens/s', 'services'),
    ('requests_per_second', 'tokens_per_second', 'services'),
)
_SERVICE_COLUMNS = _Columns(
    ('service', 'branch', 'kind', 'time limit (ms)', 'fencing'),
    ('kind', 'time_limit', 'fencing'),
)


async def run_config_get(
    client: ControlClient, options: argparse.Namespace
) -> CommandOutput:
    """Print the branches at and below a path."""
    reply = await client.read_tree(options.path, may_be_stale=options.stale)
    shown = []
    for branch in reply.branches:
        head = f'# {branch.path} at revision {branch.revision}'
        shown.append(f'{head}, by {branch.changed_by}\n{branch.text}')
    return CommandOutput('\n'.join(shown).rstrip(), render.to_data(reply))


async def run_config_set(
    client: ControlClient, options: argparse.Namespace
) -> CommandOutput:
    """Set one option of one section."""
    branch = await _read_branch(client, options.path)
    text = branch_text.set_option(
        branch.text, options.section, options.option, options.setting
    )
    return await _change_branch(client, options, branch, text)


async def run_config_apply(
    client: ControlClient, options: argparse.Namespace
) -> CommandOutput:
    """Replace the text of a branch with a file."""
    branch = await _read_branch(client, options.path)
    return await _change_branch(
        client, options, branch, _read_file(options.file)
    )


async def run_config_remove(
    client: ControlClient, options: argparse.Namespace
) -> CommandOutput:
    """Remove a branch."""
    branch = await _read_branch(client, options.path)
    revision = await client.change(
        options.path,
        '',
        _expected_revision(options, branch),
        remove=True,
        comment=options.comment or '',
    )
    return _accepted_output(options.path, revision)


async def run_config_diff(
    client: ControlClient, options: argparse.Namespace
) -> CommandOutput:
    """Show what applying a file would change."""
    branch = await _read_branch(client, options.path)
    names = (f'{branch.path} at revision {branch.revision}', options.file)
    shown = render.unified_diff(branch.text, _read_file(options.file), names)
    return CommandOutput(shown or 'no difference', {'diff': shown})


async def run_config_history(
    client: ControlClient, options: argparse.Namespace
) -> CommandOutput:
    """Show the latest accepted changes of a branch."""
    reply = await client.history(options.path, options.limit)
    rows = [
        (
            record.revision,
            render.format_time(record.time_ms),
            record.operator_name,
            record.action,
            record.comment,
        )
        for record in reply.records
    ]
    titles = ('revision', 'when (UTC)', 'operator', 'action', 'comment')
    return render.message_table(titles, rows, reply.records)


async def run_account_list(
    client: ControlClient, _options: argparse.Namespace
) -> CommandOutput:
    """List client accounts."""
    return await _list_sections(client, 'account_by_name', _ACCOUNT_COLUMNS)


async def run_service_list(
    client: ControlClient, _options: argparse.Namespace
) -> CommandOutput:
    """List services."""
    return await _list_sections(client, 'service_by_name', _SERVICE_COLUMNS)


async def run_account_add(
    client: ControlClient, options: argparse.Namespace
) -> CommandOutput:
    """Add a client account to a branch."""
    return await _add_section(client, options, 'account', 'key_sha256')


async def run_service_add(
    client: ControlClient, options: argparse.Namespace
) -> CommandOutput:
    """Add a service to a branch."""
    return await _add_section(client, options, 'service', 'announce_key_sha256')


async def run_account_remove(
    client: ControlClient, options: argparse.Namespace
) -> CommandOutput:
    """Remove a client account from the branch that defines it."""
    return await _remove_section(client, options, f'account {options.name}')


async def run_service_remove(
    client: ControlClient, options: argparse.Namespace
) -> CommandOutput:
    """Remove a service from the branch that defines it."""
    return await _remove_section(client, options, f'service {options.name}')


async def _list_sections(
    client: ControlClient, field: str, columns: _Columns
) -> CommandOutput:
    """Return a table with a row for each named section of every branch."""
    reply = await client.read_tree()
    rows = []
    for branch in reply.branches:
        parsed = parse_branch(branch.path, branch.text)[0].settings
        for name, section in sorted(getattr(parsed, field).items()):
            options = [getattr(section, option) for option in columns.options]
            rows.append((name, branch.path, *options))
    return _table_output(columns.titles, rows)


async def _add_section(
    client: ControlClient,
    options: argparse.Namespace,
    kind: str,
    hash_option: str,
) -> CommandOutput:
    branch = await _read_branch(client, options.path)
    setting_by_option = {
        hash_option: key_hash(_read_file(options.new_key).strip())
    }
    for pair in options.set or ():
        option, _, setting = pair.partition('=')
        setting_by_option[option.strip()] = setting.strip()
    text = branch_text.add_section(
        branch.text, f'{kind} {options.name}', setting_by_option
    )
    return await _change_branch(client, options, branch, text)


async def _remove_section(
    client: ControlClient, options: argparse.Namespace, heading: str
) -> CommandOutput:
    reply = await client.read_tree()
    branch = _find_branch(reply.branches, heading)
    options.path = branch.path
    text = branch_text.remove_section(branch.text, heading)
    return await _change_branch(client, options, branch, text)


def _find_branch(
    branches: Sequence[control_pb2.Branch], heading: str
) -> control_pb2.Branch:
    for branch in branches:
        if branch_text.has_section(branch.text, heading):
            return branch
    raise UsageError(f'no branch defines [{heading}]; see config get')


async def _read_branch(client: ControlClient, path: str) -> control_pb2.Branch:
    """Return the branch at ``path``, or an empty one at revision 0."""
    reply = await client.read_tree(path)
    for branch in reply.branches:
        if branch.path == path and covers(path, branch.path):
            return branch
    history = await client.history(path, 1)
    # A removed branch is recreated on top of the revision that removed it.
    revision = history.records[0].revision if history.records else 0
    return control_pb2.Branch(path=path, revision=revision)


async def _change_branch(
    client: ControlClient,
    options: argparse.Namespace,
    branch: control_pb2.Branch,
    text: str,
) -> CommandOutput:
    revision = await client.change(
        options.path,
        text,
        _expected_revision(options, branch),
        comment=options.comment or '',
    )
    return _accepted_output(options.path, revision)


def _expected_revision(
    options: argparse.Namespace, branch: control_pb2.Branch
) -> int:
    if options.expected is None:
        return branch.revision
    return int(options.expected)


def _accepted_output(path: str, revision: int) -> CommandOutput:
    return CommandOutput(
        f'{path} is now at revision {revision}; config status shows which '
        + 'nodes run it',
        {'path': path, 'revision': revision},
    )


def _table_output(
    titles: Sequence[str], rows: Sequence[Sequence[object]]
) -> CommandOutput:
    return CommandOutput(
        render.table(titles, rows),
        [dict(zip(titles, row, strict=True)) for row in rows],
    )


def _read_file(name: str) -> str:
    try:
        return Path(name).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f'{name}: {error}; name a readable file in UTF-8')
