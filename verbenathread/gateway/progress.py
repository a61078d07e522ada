"""What was done for a request before it was handed over."""

from typing import NamedTuple


class Progress(NamedTuple):
    """What was done for a request before it was handed over."""

    # Workers that it was sent to, and whether one may have run it.
    sends: int = 0
    may_have_run: bool = False
    # The caller has the head of the response, and a stream up to this event.
    has_head: bool = False
    last_event_id: int | None = None
    # The request was handed over; it is not handed over again.
    is_handed_over: bool = False


NO_PROGRESS = Progress()
