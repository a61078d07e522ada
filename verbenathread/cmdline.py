"""The command line: parsing, dispatch and output."""

import argparse
import json
import os
import sys
from collections.abc import Iterable, Sequence

from verbenathread import __version__
from verbenathread.command import Command
from verbenathread.commands import CORE_COMMANDS, all_commands
from verbenathread.exceptions import VerbenathreadError

_DESCRIPTION = """\
Serve prompts of widely varying lengths on a shared fleet of model engines.

exit codes:
  0  success
  1  any other error
  2  invalid settings or command line arguments
  3  a conflict: the branch changed since the expected revision
  4  the credentials do not permit it
  5  no process can answer now; nothing was run
  6  the outcome is unknown; check it before retrying
  7  durable state is damaged or can't be written
"""
_EXIT_INTERRUPTED = 130


def build_parser(commands: Iterable[Command]) -> argparse.ArgumentParser:
    """Return an argument parser for ``commands``."""
    parser = argparse.ArgumentParser(
        prog='verbenathread',
        description=_DESCRIPTION,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--version', action='version', version=f'verbenathread {__version__}'
    )
    groups = parser.add_subparsers(
        title='commands', metavar='COMMAND', required=True
    )
    group_by_word: dict[str, argparse._SubParsersAction] = {}  # type: ignore[type-arg]
    for command in commands:
        first, _, second = command.name.partition(' ')
        if not second:
            _add_command(groups, first, command)
            continue
        if first not in group_by_word:
            outer = groups.add_parser(first, help=f'see {first} --help')
            group_by_word[first] = outer.add_subparsers(
                title='commands', metavar='COMMAND', required=True
            )
        _add_command(group_by_word[first], second, command)
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    words = sys.argv[1:] if arguments is None else arguments
    options = build_parser(_commands_for(words)).parse_args(words)
    command: Command = options.command
    try:
        return _run_command(command, options)
    except VerbenathreadError as error:
        sys.stderr.write(f'verbenathread: {error}\n')
        return error.exit_code
    except KeyboardInterrupt:
        return _EXIT_INTERRUPTED
    except BrokenPipeError:
        # The reader closed the pipe early. Redirect the interpreter's flush
        # at exit to devnull, as the signal module's documentation advises.
        devnull = os.open(os.devnull, os.O_WRONLY)
        os.dup2(devnull, sys.stdout.fileno())
        return 0


def _commands_for(words: Sequence[str]) -> Iterable[Command]:
    """Return the commands to parse ``words`` with.

    A daemon restarts faster without importing the operator commands and the
    replay.
    """
    if words and any(words[0] == command.name for command in CORE_COMMANDS):
        return CORE_COMMANDS
    return all_commands()


def _run_command(command: Command, options: argparse.Namespace) -> int:
    output = command.run(options)
    if not command.prints:
        return output.exit_code
    if options.json:
        text = json.dumps(output.data, indent=2, sort_keys=True)
    else:
        text = output.text
    if text:
        sys.stdout.write(f'{text}\n')
    return output.exit_code


def _add_command(
    group: 'argparse._SubParsersAction[argparse.ArgumentParser]',
    word: str,
    command: Command,
) -> None:
    parser = group.add_parser(
        word,
        help=command.summary,
        description=command.summary,
        epilog=f'example:\n  {command.example}',
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    for item in command.arguments:
        parser.add_argument(*item.flags, **item.keywords)
    if command.prints:
        parser.add_argument(
            '--json', action='store_true', help='print JSON instead of text'
        )
    parser.set_defaults(command=command)
