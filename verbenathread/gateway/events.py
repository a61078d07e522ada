"""Splits a byte stream into server-sent events."""

_LINE_END = b'\n'
_TERMINATOR = b'\n\n'
_ID_FIELD = b'id:'
# Ids with more digits exceed the 64-bit integers of messages between gateways.
_MAX_ID_DIGITS = 18


class EventSplitter:
    """Buffers bytes until an event is complete."""

    def __init__(self, last_id: int | None) -> None:
        """Return only events after ``last_id``; all of them if it is None."""
        self.last_id = last_id
        self._partial = bytearray()

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
        self._partial.clear()

    def feed(self, content: bytes) -> bytes:
        """Return the events that are now complete, skipping old ones."""
        # A terminator may begin with the last byte that was buffered. Bytes
        # before it were searched already.
        searched = max(0, len(self._partial) - 1)
        self._partial += content
        end = self._partial.rfind(_TERMINATOR, searched)
        if end < 0:
            return b''
        end += len(_TERMINATOR)
        complete = bytes(self._partial[:end])
        del self._partial[:end]  # noqa: WPS420 - drops the bytes in place
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
    """Return the number in the first id field; None if there is none."""
    start = 0
    if not event.startswith(_ID_FIELD):
        start = event.find(_LINE_END + _ID_FIELD) + 1
        if not start:
            return None
    start += len(_ID_FIELD)
    end = event.find(_LINE_END, start)
    text = event[start : len(event) if end < 0 else end].strip()
    if not text.isdigit() or len(text) > _MAX_ID_DIGITS:
        return None
    return int(text)
