"""Splits a stream into whole events (the format of server-sent events)."""

_END = b'\n\n'
_ID = b'id:'


class EventSplitter:
    """Collects bytes until an event is whole."""

    def __init__(self, last_id: int | None) -> None:
        """Pass events after ``last_id`` on; all of them if it is None."""
        self.last_id = last_id
        self._rest = b''

    @property
    def has_partial_event(self) -> bool:
        """Tell whether a part of an event waits for the rest."""
        return bool(self._rest)

    def discard_partial(self) -> None:
        """Drop a part of an event: its worker never sent the rest."""
        self._rest = b''

    def feed(self, content: bytes) -> bytes:
        """Return the events that are whole now and were not passed on."""
        rest = self._rest + content
        end = rest.rfind(_END)
        if end < 0:
            self._rest = rest
            return b''
        end += len(_END)
        self._rest = rest[end:]
        whole = rest[:end]
        events = []
        for event in whole.split(_END)[:-1]:
            if self._is_new(event):
                events.append(event + _END)
        return b''.join(events)

    def _is_new(self, event: bytes) -> bool:
        event_id = _id_of(event)
        if event_id is None:
            return True
        if self.last_id is not None and event_id <= self.last_id:
            return False
        self.last_id = event_id
        return True


def _id_of(event: bytes) -> int | None:
    for line in event.split(b'\n'):
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            return int(text) if text.isdigit() else None
    return None
