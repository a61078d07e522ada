"""What the command line knows of a command."""

import argparse
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple


class Argument(NamedTuple):
    """One argument of a command, as ``argparse`` takes it."""

    flags: tuple[str, ...]
    keywords: Mapping[str, Any]


class CommandOutput(NamedTuple):
    """What a command answers: text for people, data for programs."""

    text: str
    # What ``--json`` prints; anything that the json module can write.
    data: Any
    exit_code: int = 0


class Command(NamedTuple):
    """One command: its words, its help, and the function that runs it."""

    # One word, or two such as ``config set``.
    name: str
    summary: str
    arguments: tuple[Argument, ...]
    # A line or more that a reader can copy.
    example: str
    run: Callable[[argparse.Namespace], CommandOutput]
    # A daemon runs until it is told to stop and prints nothing itself.
    prints: bool = True


def argument(*flags: str, **keywords: Any) -> Argument:
    """Return one argument of a command."""
    return Argument(flags, keywords)
