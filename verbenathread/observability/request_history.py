"""The story of one request, out of the log lines of all nodes."""

import json
from collections.abc import Iterable
from typing import Any, NamedTuple

# Lines that say what a node believes count from this long before a request.
_BEFORE_MS = 5000
_DATE_LENGTH = len('2026-01-01T')
_HIDDEN = frozenset(('event', 'level', 'timestamp', 'request_id'))
_MS = 1000
_SECONDS = (3600, 60, 1)


class LogLine(NamedTuple):
    """One log line."""

    # Milliseconds since midnight, UTC.
    time_ms: int
    # What stands before the JSON, such as the node that a collector names.
    source: str
    fields: dict[str, Any]


def format_request_history(texts: Iterable[str], request_id: str) -> list[str]:
    """Return the story of ``request_id``, a line for each decision."""
    lines = [line for line in map(_read, texts) if line is not None]
    own = [
        line for line in lines if line.fields.get('request_id') == request_id
    ]
    if not own:
        return []
    first = min(line.time_ms for line in own) - _BEFORE_MS
    last = max(line.time_ms for line in own)
    workers = {line.fields.get('worker') for line in own} - {None}
    sources = {line.source for line in own}
    chosen = [
        line
        for line in lines
        if first <= line.time_ms <= last
        and _is_about(line, request_id, workers, sources)
    ]
    chosen.sort(key=_moment)
    return [_show(line) for line in chosen]


def _is_about(
    line: LogLine, request_id: str, workers: set[Any], sources: set[str]
) -> bool:
    """Tell whether a line is the request's or touches what decided it."""
    own_id = line.fields.get('request_id')
    if own_id is not None:
        return bool(own_id == request_id)
    worker = line.fields.get('worker')
    if worker is not None:
        return worker in workers
    return line.source in sources


def _read(text: str) -> LogLine | None:
    """Read one line; None for one that is not ours."""
    start = text.find('{"')
    if start < 0:
        return None
    try:
        said = json.loads(text[start:])
    except ValueError:
        return None
    clock = str(said.get('timestamp', ''))[_DATE_LENGTH:].rstrip('Z')
    try:
        parts = [float(part) for part in clock.split(':')]
    except ValueError:
        return None
    seconds = sum(
        part * unit for part, unit in zip(parts, _SECONDS, strict=False)
    )
    # The bench puts a time of its own before the node.
    source = text[:start].split()
    return LogLine(int(seconds * _MS), source[-1] if source else '', said)


def _moment(line: LogLine) -> int:
    return line.time_ms


def _show(line: LogLine) -> str:
    shown = []
    for name, found in line.fields.items():
        if name not in _HIDDEN and found is not None:
            shown.append(f'{name}={found}')
    clock = line.fields['timestamp'][_DATE_LENGTH:-4]
    return f'{clock} {line.source} {line.fields["event"]} {" ".join(shown)}'
