"""Heartbeats of workers on the platform."""

import json
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final

from verbenathread.exceptions import SettingsError
from verbenathread.platform.bodies import (
    MALFORMED_BODY_ERRORS,
    InvalidBodyError,
    read_integer,
    read_object,
    read_text,
)
from verbenathread.serving.types import Worker, WorkerState
from verbenathread.settings.node import parse_address

_STATE_BY_NAME: Final = MappingProxyType(
    {
        'ready': WorkerState.READY,
        'draining': WorkerState.DRAINING,
    }
)
# Some JSON encoders do not represent larger integers exactly.
_MAX_INTEGER: Final = (1 << 53) - 1  # noqa: WPS432
_MAX_SLOTS: Final = 0x10000
# A heartbeat lists models and adapters as well, which are not read.
_MAX_BODY_BYTES: Final = 0x10000
# Longest id, service, data centre and version; the log keeps each of them.
_MAX_TEXT: Final = 256


def decode_heartbeat(worker_id: str, body: bytes, *, leaving: bool) -> Worker:
    """Decode a worker's heartbeat; raises InvalidBodyError.

    All fields of the platform's page must be there and in range, read or not: a
    heartbeat that lacks one comes from another writer and names no worker.
    ``leaving`` marks a deregistration, whose body may omit fields.
    """
    if len(body) > _MAX_BODY_BYTES:
        raise InvalidBodyError(
            f'the heartbeat exceeds {_MAX_BODY_BYTES} bytes; send less'
        )
    fields = read_object(body) if body or not leaving else {}
    try:
        return _decode_worker(worker_id, fields, leaving=leaving)
    except SettingsError as error:
        raise InvalidBodyError(f'the address is invalid: {error}')
    except MALFORMED_BODY_ERRORS as error:
        raise InvalidBodyError(
            f'the heartbeat has a missing or invalid field: {error!r}'
        )


def encode_heartbeat_response(next_url: str) -> bytes:
    """Return the response body; later heartbeats go to ``next_url``."""
    return json.dumps({'heartbeat-url': next_url} if next_url else {}).encode()


def _decode_worker(
    worker_id: str, fields: Mapping[str, Any], *, leaving: bool
) -> Worker:
    _check_text(worker_id)
    if leaving:
        return Worker(
            worker_id=worker_id,
            started_at=_read_number(fields.get('born', 0), 0, _MAX_INTEGER),
            sequence=0,
            state=WorkerState.GONE,
            service=_check_text(str(fields.get('service') or 'unknown')),
            address=parse_address(str(fields.get('address') or '0.0.0.0:0')),
            data_centre=_check_text(str(fields.get('zone') or 'unknown')),
            slots=0,
        )
    _check_text(read_text(fields['version']))
    _read_number(fields['cold-remaining-ms'], 0, _MAX_INTEGER)
    address = parse_address(read_text(fields['address']))
    if not address.port:
        raise ValueError('the port of the address is 0')
    return Worker(
        worker_id=worker_id,
        started_at=_read_number(fields['born'], 0, _MAX_INTEGER),
        sequence=_read_number(fields['sequence'], 0, _MAX_INTEGER),
        state=_STATE_BY_NAME[fields['state']],
        service=_check_text(read_text(fields['service'])),
        address=address,
        data_centre=_check_text(read_text(fields['zone'])),
        slots=_read_number(fields['slots'], 1, _MAX_SLOTS),
    )


def _read_number(field: Any, least: int, most: int) -> int:
    """Return an integer in range; raises TypeError or ValueError."""
    number = read_integer(field)
    if not least <= number <= most:
        raise ValueError(f'{number} is not between {least} and {most}')
    return number


def _check_text(text: str) -> str:
    """Return a text that messages can carry; raises ValueError."""
    # Lone surrogates, which JSON can escape, are no text in UTF-8.
    if not text or len(text.encode()) > _MAX_TEXT:
        raise ValueError(f'a text is empty or exceeds {_MAX_TEXT} bytes')
    return text
