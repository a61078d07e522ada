"""The table of all commands."""

import argparse
import platform
import sys
from pathlib import Path
from typing import Any

from verbenathread import __version__
from verbenathread.command import Command, CommandOutput, argument
from verbenathread.daemons import (
    run_control,
    run_directory,
    run_entry,
    run_gateway,
)
from verbenathread.exceptions import SettingsError, UsageError
from verbenathread.observability.request_history import format_request_history
from verbenathread.settings.node import check_node_text, load_node_settings
from verbenathread.settings.rules import Problem, options_of
from verbenathread.settings.tree import ROOT_PATH, check_tree

_SETTINGS_ARGUMENT = argument(
    '--settings',
    required=True,
    metavar='FILE',
    help='INI file of this node; docs/SETTINGS.md lists its options',
)
_HIDDEN = '(hidden)'


def run_check(options: argparse.Namespace) -> CommandOutput:
    """Check settings files without starting a daemon."""
    problems: list[Problem] = []
    for name in options.files:
        problems.extend(_check_file(name, options.branch))
    lines = [str(problem) for problem in problems]
    if not problems:
        lines.append(f'{len(options.files)} files checked, no problem')
    return CommandOutput(
        '\n'.join(lines),
        [problem._asdict() for problem in problems],
        SettingsError.exit_code if problems else 0,
    )


def run_debug(options: argparse.Namespace) -> CommandOutput:
    """Show the versions and the settings in effect."""
    if options.request:
        return _run_request_history(options.request)
    seen: dict[str, Any] = {
        'verbenathread': __version__,
        'python': platform.python_version(),
        'platform': platform.platform(),
        'program': sys.argv[0],
    }
    if options.settings:
        # Imported here because no other command needs it.
        from google.protobuf.json_format import MessageToDict

        node = load_node_settings(options.settings)
        for field, section in node.ListFields():
            shown = MessageToDict(
                section,
                preserving_proto_field_name=True,
                always_print_fields_with_no_presence=True,
            )
            for option in options_of(section):
                if option.rule.secret:
                    shown[option.name] = _HIDDEN
            seen[f'[{field.name}]'] = shown
    return CommandOutput('\n'.join(_debug_lines(seen)), seen)


def _run_request_history(request_id: str) -> CommandOutput:
    lines = format_request_history(sys.stdin, request_id)
    if not lines:
        raise UsageError(
            f'no log line mentions request {request_id}; pass the logs of the'
            ' gateways on standard input'
        )
    return CommandOutput('\n'.join(lines), lines)


def _debug_lines(seen: dict[str, Any]) -> list[str]:
    lines = []
    for name, found in seen.items():
        if not isinstance(found, dict):
            lines.append(f'{name}: {found}')
            continue
        lines.append(name)
        for option, setting in sorted(found.items()):
            lines.append(f'  {option} = {setting}')
    return lines


def _check_file(name: str, branch: str | None) -> list[Problem]:
    try:
        text = Path(name).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        remedy = 'name a readable INI file in UTF-8'
        return [Problem(name, '', '', str(error), remedy)]
    if branch is None:
        return check_node_text(name, text)[1]
    return check_tree({branch: text})


CORE_COMMANDS = (
    Command(
        'entry',
        'Run an entry: accept requests and relay them to upstreams.',
        (_SETTINGS_ARGUMENT,),
        'verbenathread entry --settings examples/tillery/entry-1.ini',
        run_entry,
        prints=False,
    ),
    Command(
        'control',
        'Run a control process: store settings, claims, orders and the audit '
        'trail.',
        (_SETTINGS_ARGUMENT,),
        'verbenathread control --settings examples/tillery/control-1.ini',
        run_control,
        prints=False,
    ),
    Command(
        'gateway',
        'Run a gateway: forward requests unchanged to workers.',
        (_SETTINGS_ARGUMENT,),
        'verbenathread gateway --settings examples/platform/gateway-1.ini',
        run_gateway,
        prints=False,
    ),
    Command(
        'directory',
        'Run a directory process: store the routes and the workers.',
        (_SETTINGS_ARGUMENT,),
        'verbenathread directory --settings examples/platform/directory-1.ini',
        run_directory,
        prints=False,
    ),
    Command(
        'check',
        'Check settings files and report problems and how to fix them.',
        (
            argument('files', nargs='+', metavar='FILE'),
            argument(
                '--branch',
                metavar='PATH',
                help=f'check as a branch of the tree, such as {ROOT_PATH}',
            ),
        ),
        'verbenathread check examples/tillery/entry-1.ini',
        run_check,
    ),
    Command(
        'debug',
        'Print the versions and settings in effect; keys are hidden.',
        (
            argument('--settings', metavar='FILE', help='INI file of a node'),
            argument(
                '--request',
                metavar='ID',
                help='print the history of a request from logs on standard input',
            ),
        ),
        'verbenathread debug --settings examples/tillery/entry-1.ini',
        run_debug,
    ),
)


def all_commands() -> tuple[Command, ...]:
    """Return every command of the program."""
    from verbenathread.admin.commands import COMMANDS as operator_commands
    from verbenathread.replay.command import COMMAND as replay_command

    return (*CORE_COMMANDS, *operator_commands, replay_command)
