"""Splits a byte stream into server-sent events."""

_TERMINATOR = b'\n\n'
_ID_FIELD = b'id:'


class EventSplitter:
    """Buffers bytes until an event is complete."""

    def __init__(self, last_id: int | None) -> None:
        """Return only events after ``last_id``; all of them if it is None."""
        self.last_id = last_id
        self._partial = b''

    @property
    def has_partial_event(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._partial)

    @property
    def partial_bytes(self) -> int:
        """Return the length of the incomplete event."""
        return len(self._partial)

    def discard_partial(self) -> None:
        """Drop an incomplete event, whose worker never sent the rest."""
        self._partial = b''

    def feed(self, content: bytes) -> bytes:
        """Return the events that are now complete, skipping old ones."""
        buffered = self._partial + content
        end = buffered.rfind(_TERMINATOR)
        if end < 0:
            self._partial = buffered
            return b''
        end += len(_TERMINATOR)
        self._partial = buffered[end:]
        complete = buffered[:end]
        events = []
        for event in complete.split(_TERMINATOR)[:-1]:
            if self._advance(event):
                events.append(event + _TERMINATOR)
        return b''.join(events)

    def _advance(self, event: bytes) -> bool:
        event_id = _event_id(event)
        if event_id is None:
            return True
        if self.last_id is not None and event_id <= self.last_id:
            return False
        self.last_id = event_id
        return True


def _event_id(event: bytes) -> int | None:
    for line in event.split(b'\n'):
        if line.startswith(_ID_FIELD):
            text = line[len(_ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
