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
_MAX_BORN: Final = 1 << 53  # noqa: WPS432


def decode_heartbeat(worker_id: str, body: bytes, *, leaving: bool) -> Worker:
    """Decode a worker's heartbeat; raises InvalidBodyError.

    ``leaving`` marks a deregistration, whose body may omit fields.
    """
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
    born = read_integer(fields.get('born', 0) if leaving else fields['born'])
    if not worker_id or not 0 <= born < _MAX_BORN:
        raise ValueError('the worker id is empty or born is out of range')
    if leaving:
        return Worker(
            worker_id=worker_id,
            started_at=born,
            sequence=0,
            state=WorkerState.GONE,
            service=str(fields.get('service') or ''),
            address=parse_address(str(fields.get('address') or '0.0.0.0:0')),
            data_centre=str(fields.get('zone') or ''),
            slots=0,
        )
    return Worker(
        worker_id=worker_id,
        started_at=born,
        sequence=read_integer(fields['sequence']),
        state=_STATE_BY_NAME[fields['state']],
        service=read_text(fields['service']),
        address=parse_address(read_text(fields['address'])),
        data_centre=read_text(fields['zone']),
        slots=max(1, read_integer(fields['slots'])),
    )
