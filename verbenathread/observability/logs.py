"""Structured logs on standard error or on a given stream.

Each component logs through its own logger, whose name prefixes the event of
each line. Keys, prompts and responses are never logged; as a safeguard, the
fields in ``_SECRET_FIELDS`` are redacted.
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
    """Return the logger of a component; its name prefixes each event."""
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger(
        part=component
    )
    return logger


def set_request_id(request_id: str) -> None:
    """Add ``request_id`` to every line that this thread or task logs."""
    _request_id.set(request_id)


def configure(level: str, style: str, stream: Any = None) -> None:
    """Log lines of at least ``level``; ``style`` is ``json`` or ``text``."""
    renderer: Any = structlog.processors.JSONRenderer()
    if style == 'text':
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            _add_request_id,
            _redact_secrets,
            _prefix_component,
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


def _redact_secrets(logger: Any, method: str, event: _Event) -> _Event:
    for name in _SECRET_FIELDS.intersection(event):
        event[name] = '(not logged)'
    return event


def _prefix_component(logger: Any, method: str, event: _Event) -> _Event:
    part = event.pop('part', '')
    if part:
        event['event'] = f'{part}: {event["event"]}'
    return event
