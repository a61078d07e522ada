"""Definition of a command and its output."""

import argparse
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple


class Argument(NamedTuple):
    """One argument of a command, as passed to ``argparse``."""

    flags: tuple[str, ...]
    keywords: Mapping[str, Any]


class CommandOutput(NamedTuple):
    """Output of a command: text, and data for ``--json``."""

    text: str
    # Printed by ``--json``; must be serializable by the json module.
    data: Any
    exit_code: int = 0


class Command(NamedTuple):
    """One command: its name, its help, and the function that runs it."""

    # One word, or two such as ``config set``.
    name: str
    summary: str
    arguments: tuple[Argument, ...]
    # One or more command lines, shown by ``--help``.
    example: str
    run: Callable[[argparse.Namespace], CommandOutput]
    # False for daemons, which run until stopped and print no output.
    prints: bool = True


def argument(*flags: str, **keywords: Any) -> Argument:
    """Return one argument of a command."""
    return Argument(flags, keywords)
