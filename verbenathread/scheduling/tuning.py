"""Which mechanisms of the policy are on, so that each can be measured."""

from typing import NamedTuple

from verbenathread.types import Millis


class Tuning(NamedTuple):
    """Switches and constants of the scheduling policy.

    Operators set :class:`PolicySettings`; these stay in the code, and the
    replay turns them one at a time to measure what each is worth.
    """

    # Shorter classes go first; without it the queue is first in, first out.
    class_priority: bool = True
    # Prefill of short, and of middle, prompts in progress at the engine; more
    # waits in the ledger, where it can still go elsewhere. 0 lets all through.
    short_window: Millis = 0
    middle_window: Millis = 0
    # Protect the oldest long ask; others pass if they do not delay it.
    backfill: bool = False
    # Order between accounts by weighted fair shares.
    fair_queueing: bool = False
    # Order within and between classes by size: one level each doubling.
    size_priority: bool = False
    # Engine priority follows the level of urgency.
    engine_priority: bool = True
    # Refuse on arrival what can't finish in time.
    refuse_late: bool = True
    # Weigh cached prefixes when an engine is chosen.
    cache_affinity: bool = False
    # Look for another engine after this share of the wait that was expected;
    # 0 is never.
    reroute_factor: float = 0
    # Expect memory to come back later, too, beside more urgent prompts.
    slow_memory_release: bool = False
    # Ask the next engine when the first one's wait is over this; 0 is never.
    wait_threshold: Millis = 0


# The first policy that ran; replays keep it as a baseline.
PREVIOUS = Tuning()
_PATIENCE: Millis = 50
_LOOK_AGAIN = 1.5
_SHORT_WINDOW: Millis = 100
_MIDDLE_WINDOW: Millis = 300
CURRENT = PREVIOUS._replace(
    short_window=_SHORT_WINDOW,
    middle_window=_MIDDLE_WINDOW,
    size_priority=True,
    fair_queueing=True,
    wait_threshold=_PATIENCE,
    backfill=True,
    reroute_factor=_LOOK_AGAIN,
    slow_memory_release=True,
)
