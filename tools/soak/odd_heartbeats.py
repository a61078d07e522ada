"""Heartbeats of another writer, which name the addresses of live workers."""

import json
import random

_NESTING = 3000
_HUGE = 10**40
# Fields that replace those of a sound heartbeat; None leaves a field out.
_ODD_FIELDS: tuple[dict[str, object], ...] = (
    {'version': None},
    {'slots': None},
    {'slots': _HUGE},
    {'sequence': -1},
    {'zone': '\ud800'},
    {'state': 'resting'},
    {'service': 'unknown'},
    {'born': '5000'},
)


def odd_heartbeat(address: str, wall: int, rng: random.Random) -> bytes:
    """Return the body of a heartbeat that names no worker to use."""
    if not rng.randrange(len(_ODD_FIELDS)):
        return b'{"models":%b}' % (b'[' * _NESTING)
    fields: dict[str, object] = {
        'service': 'desk',
        'address': address,
        'zone': 'a',
        'version': 'v1',
        'slots': 1,
        'state': 'ready',
        'cold-remaining-ms': 0,
        'sequence': 1,
        'born': wall,
    }
    for name, odd in rng.choice(_ODD_FIELDS).items():
        if odd is None:
            fields.pop(name)
        else:
            fields[name] = odd
    return json.dumps(fields).encode()
