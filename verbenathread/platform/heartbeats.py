"""What workers say of themselves on the platform."""

import json
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final

from verbenathread.exceptions import SettingsError
from verbenathread.platform.bodies import (
    BAD_BODY,
    InvalidBodyError,
    read_integer,
    read_object,
    read_text,
)
from verbenathread.serving.types import Worker, WorkerState
from verbenathread.settings.node import parse_address

_STATE_BY_WORD: Final = MappingProxyType(
    {
        'ready': WorkerState.READY,
        'draining': WorkerState.DRAINING,
    }
)
# Integers beyond are not exact in every writer of JSON.
_MOST_BORN: Final = 1 << 53  # noqa: WPS432


def decode_heartbeat(worker_id: str, body: bytes, *, leaves: bool) -> Worker:
    """Read what a worker says of itself; raises InvalidBodyError.

    ``leaves`` marks its last call, whose body may say less.
    """
    said = read_object(body) if body or not leaves else {}
    try:
        return _worker(worker_id, said, leaves=leaves)
    except SettingsError as error:
        raise InvalidBodyError(f'the address is none: {error}')
    except BAD_BODY as error:
        raise InvalidBodyError(
            f'the worker says too little of itself: {error!r}'
        )


def encode_heartbeat_answer(next_url: str) -> bytes:
    """Return the answer to a heartbeat; later heartbeats go to ``next_url``."""
    return json.dumps({'heartbeat-url': next_url} if next_url else {}).encode()


def _worker(worker_id: str, said: Mapping[str, Any], *, leaves: bool) -> Worker:
    born = read_integer(said.get('born', 0) if leaves else said['born'])
    if not worker_id or not 0 <= born < _MOST_BORN:
        raise ValueError('born')
    if leaves:
        return Worker(
            worker_id=worker_id,
            started_at=born,
            sequence=0,
            state=WorkerState.GONE,
            service=str(said.get('service') or ''),
            address=parse_address(str(said.get('address') or '0.0.0.0:0')),
            data_centre=str(said.get('zone') or ''),
            slots=0,
        )
    return Worker(
        worker_id=worker_id,
        started_at=born,
        sequence=read_integer(said['sequence']),
        state=_STATE_BY_WORD[said['state']],
        service=read_text(said['service']),
        address=parse_address(read_text(said['address'])),
        data_centre=read_text(said['zone']),
        slots=max(1, read_integer(said['slots'])),
    )
