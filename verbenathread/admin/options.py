"""Arguments common to all operator commands, and the client they use."""

import argparse
import asyncio
import contextlib
import os
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

from verbenathread.admin.client import ControlClient
from verbenathread.command import Argument, CommandOutput, argument
from verbenathread.exceptions import UsageError
from verbenathread.settings.node import parse_addresses
from verbenathread.types import Millis

# How long a command looks for a leader.
CALL_TIMEOUT: Millis = 15_000
_CONTROL_VARIABLE = 'VERBENATHREAD_CONTROL'
_OPERATOR_VARIABLE = 'VERBENATHREAD_OPERATOR'
_KEY_VARIABLE = 'VERBENATHREAD_OPERATOR_KEY'

OPERATOR_ARGUMENTS = (
    argument(
        '--control',
        metavar='IP:PORT,...',
        help=f'control processes; default: the variable {_CONTROL_VARIABLE}',
    ),
    argument(
        '--operator',
        metavar='NAME',
        help=f'your name; default: the variable {_OPERATOR_VARIABLE}, or root',
    ),
    argument(
        '--key-file',
        metavar='FILE',
        help=f'file with your key; default: the variable {_KEY_VARIABLE}',
    ),
)

ClientCall = Callable[
    [ControlClient, argparse.Namespace], Awaitable[CommandOutput]
]


def create_client(options: argparse.Namespace) -> ControlClient:
    """Create a client from the options or the environment."""
    addresses = options.control or os.environ.get(_CONTROL_VARIABLE, '')
    if not addresses:
        raise UsageError(
            'no control process is given; use --control or set '
            + _CONTROL_VARIABLE
        )
    operator = options.operator or os.environ.get(_OPERATOR_VARIABLE, 'root')
    return ControlClient(
        parse_addresses(addresses), operator, _read_key(options), CALL_TIMEOUT
    )


def with_client(
    call: ClientCall,
) -> Callable[[argparse.Namespace], CommandOutput]:
    """Return ``call`` as a command that creates its own client."""
    return partial(_run_command, call)


def operator_arguments(*more: Argument) -> tuple[Argument, ...]:
    """Return the arguments of a command followed by the common ones."""
    return (*more, *OPERATOR_ARGUMENTS)


def _run_command(
    call: ClientCall, options: argparse.Namespace
) -> CommandOutput:
    return asyncio.run(_run(call, options))


async def _run(call: ClientCall, options: argparse.Namespace) -> CommandOutput:
    with contextlib.closing(create_client(options)) as client:
        return await call(client, options)


def _read_key(options: argparse.Namespace) -> str:
    if not options.key_file:
        key = os.environ.get(_KEY_VARIABLE, '')
        if key:
            return key
        raise UsageError(f'no key is given; use --key-file or {_KEY_VARIABLE}')
    try:
        return Path(options.key_file).read_text(encoding='utf-8').strip()
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f'{options.key_file}: {error}; name a readable file')
