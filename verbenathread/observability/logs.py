"""Structured logs on standard error, or on a stream of the caller's.

Each part of the program logs through its own logger, whose prefix heads
every sentence. Keys, prompts and answers are never logged; the names in
``_SECRET_FIELDS`` are blanked as a second guard.
"""

import contextvars
import logging
import sys
from collections.abc import MutableMapping
from typing import Any

import structlog

_SECRET_FIELDS = frozenset(
    (
        'authorization',
        'body',
        'key',
        'messages',
        'node_key',
        'operator_key',
        'prompt',
        'text',
    )
)

_request_id: contextvars.ContextVar[str] = contextvars.ContextVar(
    'request_id', default=''
)

_Event = MutableMapping[str, Any]


def get_logger(component: str) -> structlog.typing.FilteringBoundLogger:
    """Return the logger of one part; ``part`` heads each of its sentences."""
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger(
        part=component
    )
    return logger


def set_request_id(request_id: str) -> None:
    """Put ``request_id`` on every line that this thread or task logs."""
    _request_id.set(request_id)


def configure(level: str, style: str, stream: Any = None) -> None:
    """Write lines of at least ``level`` as ``json`` or ``text``."""
    renderer: Any = structlog.processors.JSONRenderer()
    if style == 'text':
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            _add_request_id,
            _blank_secrets,
            _prefix_part,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelName(level.upper())
        ),
        logger_factory=structlog.WriteLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )


def _add_request_id(logger: Any, method: str, event: _Event) -> _Event:
    request_id = _request_id.get()
    if request_id:
        event.setdefault('request_id', request_id)
    return event


def _blank_secrets(logger: Any, method: str, event: _Event) -> _Event:
    for name in _SECRET_FIELDS.intersection(event):
        event[name] = '(not logged)'
    return event


def _prefix_part(logger: Any, method: str, event: _Event) -> _Event:
    part = event.pop('part', '')
    if part:
        event['event'] = f'{part}: {event["event"]}'
    return event
