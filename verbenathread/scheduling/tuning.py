"""Mechanisms and constants of the scheduling policy."""

from typing import NamedTuple

from verbenathread.types import Millis


class Tuning(NamedTuple):
    """Switches and constants of the scheduling policy.

    Operators set :class:`PolicySettings`; these are fixed in the code, and
    replays change one at a time to measure its effect.
    """

    # Shorter classes go first; otherwise the queue is first in, first out.
    class_priority: bool = True
    # Limits on the expected prefill of short and of middle prompts in progress
    # at the engine. Prompts beyond them wait in the ledger, where they can
    # still be moved to another engine. 0 is no limit.
    short_window: Millis = 0
    middle_window: Millis = 0
    # Protect the oldest queued request above the short class; others overtake
    # it only if they do not delay it.
    backfill: bool = False
    # Order accounts by weighted fair queueing.
    fair_queueing: bool = False
    # Derive the priority level from the prompt size instead of its class: one
    # level for each doubling.
    size_priority: bool = False
    # Pass the priority level to the engine.
    engine_priority: bool = True
    # Refuse on arrival what is not expected to meet its deadline.
    refuse_late: bool = True
    # Prefer engines that have a prefix of the prompt cached.
    cache_affinity: bool = False
    # Choose engines again after this multiple of the expected wait; 0 is
    # never.
    reroute_factor: float = 0
    # Assume that more urgent prompts also delay the release of memory.
    slow_memory_release: bool = False
    # Try the next engine if the expected wait exceeds this; 0 is never.
    wait_threshold: Millis = 0


# Baseline for replays.
PREVIOUS = Tuning()
_WAIT_THRESHOLD: Millis = 50
_REROUTE_FACTOR = 1.5
_SHORT_WINDOW: Millis = 100
_MIDDLE_WINDOW: Millis = 300
CURRENT = PREVIOUS._replace(
    short_window=_SHORT_WINDOW,
    middle_window=_MIDDLE_WINDOW,
    size_priority=True,
    fair_queueing=True,
    wait_threshold=_WAIT_THRESHOLD,
    backfill=True,
    reroute_factor=_REROUTE_FACTOR,
    slow_memory_release=True,
)
