"""Request traces as JSON lines, without any prompt text."""

import gzip
import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import IO, NamedTuple

from verbenathread.exceptions import UsageError
from verbenathread.types import Millis

_GZIP_SUFFIX = '.gz'


class TraceRequest(NamedTuple):
    """One request as it arrived at an entry."""

    arrival: Millis
    account: str
    service: str
    prompt_tokens: int
    output_tokens: int
    most_output_tokens: int
    time_limit: Millis
    # Position of the entry in the deployment.
    entry: int
    prefix_hashes: tuple[int, ...] = ()


def write_trace(path: Path, requests: Iterable[TraceRequest]) -> None:
    """Write one JSON object per line; compressed if the suffix is .gz."""
    with _open(path, 'wt') as file:
        for request in requests:
            file.write(json.dumps(request._asdict()))
            file.write('\n')


def read_trace(path: Path) -> list[TraceRequest]:
    """Return the requests of a trace file in order of arrival.

    Raises :class:`UsageError` with the line number of an invalid request.
    """
    if not path.exists():
        raise UsageError(f'Trace file {path} does not exist.')
    with _open(path, 'rt') as file:
        requests = list(_parse_lines(path, file))
    return sorted(requests, key=lambda request: request.arrival)


def _open(path: Path, mode: str) -> IO[str]:
    if path.suffix == _GZIP_SUFFIX:
        return gzip.open(path, mode, encoding='utf-8')  # type: ignore[return-value]
    return path.open(mode, encoding='utf-8')


def _parse_lines(path: Path, lines: Iterable[str]) -> Iterator[TraceRequest]:
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            continue
        try:
            yield _parse_request(json.loads(line))
        except (TypeError, ValueError, KeyError) as error:
            raise UsageError(
                f'{path} line {number} is not a valid request ({error}); '
                'the format is one JSON object per line, see '
                'docs/design/replay.md.'
            ) from error


def _parse_request(fields: dict[str, object]) -> TraceRequest:
    hashes = fields.pop('prefix_hashes', ())
    request = TraceRequest(**fields)  # type: ignore[arg-type]
    if request.arrival < 0 or request.prompt_tokens < 1:
        raise ValueError('arrival must be >= 0 and prompt_tokens >= 1')
    return request._replace(
        prefix_hashes=tuple(hashes)  # type: ignore[arg-type]
    )
