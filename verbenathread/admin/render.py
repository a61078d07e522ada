"""Formatting of control's replies as text tables and as JSON data."""

import datetime
import difflib
from collections.abc import Iterable, Sequence
from typing import Any

from google.protobuf.json_format import MessageToDict
from google.protobuf.message import Message

from verbenathread.clock import seconds
from verbenathread.command import CommandOutput

_COLUMN_GAP = '  '


def table(titles: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Format rows as a table with columns as wide as their widest cell."""
    shown = [tuple(titles)]
    shown.extend(tuple(str(cell) for cell in row) for row in rows)
    widths = [max(map(len, column)) for column in zip(*shown, strict=True)]
    lines = []
    for row in shown:
        cells = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        lines.append(_COLUMN_GAP.join(cells).rstrip())
    return '\n'.join(lines)


def to_data(message: Message) -> Any:
    """Convert a message to data that the json module can serialize."""
    return MessageToDict(
        message,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )


def message_table(
    titles: Sequence[str],
    rows: Iterable[Sequence[object]],
    messages: Iterable[Message],
) -> CommandOutput:
    """Return the output for a table of messages."""
    return CommandOutput(
        table(titles, rows), [to_data(message) for message in messages]
    )


def format_time(wall_ms: int) -> str:
    """Format a wall clock time in UTC."""
    when = datetime.datetime.fromtimestamp(seconds(wall_ms), datetime.UTC)
    return when.strftime('%Y-%m-%d %H:%M:%S')


def unified_diff(before: str, after: str, names: tuple[str, str]) -> str:
    """Return a unified diff of two texts."""
    return '\n'.join(
        difflib.unified_diff(
            before.splitlines(), after.splitlines(), *names, lineterm=''
        )
    )
