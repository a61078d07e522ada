"""The command line: a thin layer over the packages."""

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
Serve prompts of very unlike lengths over a shared fleet of model engines.

exit codes:
  0  done
  1  an error that no other code names
  2  settings or words that can't be used as written
  3  a conflict: the branch changed since the expected revision
  4  the credentials do not allow it
  5  nobody can answer now; nothing was run
  6  the outcome is unknown; look before repeating
  7  durable state is damaged or can't be made durable
"""
_EXIT_INTERRUPTED = 130


def build_parser(commands: Iterable[Command]) -> argparse.ArgumentParser:
    """Return the parser of all ``commands``."""
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
        # The reader closed the pipe early. What the interpreter flushes at
        # its exit goes nowhere, as the signal module's documentation advises.
        nowhere = os.open(os.devnull, os.O_WRONLY)
        os.dup2(nowhere, sys.stdout.fileno())
        return 0


def _commands_for(words: Sequence[str]) -> Iterable[Command]:
    """Return the commands that ``words`` may mean.

    A daemon is back sooner without the operators' client and the replay.
    """
    if words and any(words[0] == command.name for command in CORE_COMMANDS):
        return CORE_COMMANDS
    return all_commands()


def _run_command(command: Command, options: argparse.Namespace) -> int:
    rendered = command.run(options)
    if not command.prints:
        return rendered.exit_code
    if options.json:
        text = json.dumps(rendered.data, indent=2, sort_keys=True)
    else:
        text = rendered.text
    if text:
        sys.stdout.write(f'{text}\n')
    return rendered.exit_code


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
            '--json', action='store_true', help='print JSON for programs'
        )
    parser.set_defaults(command=command)
