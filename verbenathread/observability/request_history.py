"""History of one request, extracted from the log lines of all nodes.

Only lines with the key ``request_id`` name the request; others are included if
they belong to one of its workers or nodes.
"""

import json
from collections.abc import Iterable
from typing import Any, NamedTuple

# Lines about the state of a node are included from this long before the first
# line of the request.
_LOOKBACK_MS = 5000
_DATE_LENGTH = len('2026-01-01T')
_OMITTED_FIELDS = frozenset(('event', 'level', 'timestamp', 'request_id'))
_MS_PER_SECOND = 1000
_CLOCK_UNIT_SECONDS = (3600, 60, 1)


class LogLine(NamedTuple):
    """One log line."""

    # Milliseconds since midnight, UTC.
    time_ms: int
    # Text before the JSON, such as the node name added by a log collector.
    source: str
    fields: dict[str, Any]


def format_request_history(texts: Iterable[str], request_id: str) -> list[str]:
    """Return the lines that explain what happened to a request."""
    lines = [line for line in map(_parse, texts) if line is not None]
    request_lines = [
        line for line in lines if line.fields.get('request_id') == request_id
    ]
    if not request_lines:
        return []
    first = min(line.time_ms for line in request_lines) - _LOOKBACK_MS
    last = max(line.time_ms for line in request_lines)
    workers = {line.fields.get('worker') for line in request_lines} - {None}
    sources = {line.source for line in request_lines}
    selected = [
        line
        for line in lines
        if first <= line.time_ms <= last
        and _is_relevant(line, request_id, workers, sources)
    ]
    selected.sort(key=_time_of)
    return [_format(line) for line in selected]


def _is_relevant(
    line: LogLine, request_id: str, workers: set[Any], sources: set[str]
) -> bool:
    """Return whether a line belongs to the request or may explain it."""
    line_request_id = line.fields.get('request_id')
    if line_request_id is not None:
        return bool(line_request_id == request_id)
    worker = line.fields.get('worker')
    if worker is not None:
        return worker in workers
    return line.source in sources


def _parse(text: str) -> LogLine | None:
    """Parse a log line; return None for any other text."""
    start = text.find('{"')
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
    except ValueError:
        return None
    clock = str(fields.get('timestamp', ''))[_DATE_LENGTH:].rstrip('Z')
    try:
        parts = [float(part) for part in clock.split(':')]
    except ValueError:
        return None
    seconds = sum(
        part * unit
        for part, unit in zip(parts, _CLOCK_UNIT_SECONDS, strict=False)
    )
    # The node name is the last word; the benchmark writes a time before it.
    source = text[:start].split()
    return LogLine(
        int(seconds * _MS_PER_SECOND), source[-1] if source else '', fields
    )


def _time_of(line: LogLine) -> int:
    return line.time_ms


def _format(line: LogLine) -> str:
    formatted = []
    for name, value in line.fields.items():
        if name not in _OMITTED_FIELDS and value is not None:
            formatted.append(f'{name}={value}')
    clock = line.fields['timestamp'][_DATE_LENGTH:-4]
    return f'{clock} {line.source} {line.fields["event"]} {" ".join(formatted)}'
