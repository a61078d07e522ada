"""Length classes and priority levels of prompts."""

from verbenathread.schema import settings_pb2
from verbenathread.types import LengthClass

# Priority levels by prompt size: one for the short class, then one for each
# doubling of its limit; the last one has no upper limit.
PRIORITY_LEVELS = 10


def length_class(
    prompt_tokens: int, policy: settings_pb2.PolicySettings
) -> LengthClass:
    """Return the length class of a prompt under ``policy``."""
    if prompt_tokens <= policy.short_tokens:
        return LengthClass.SHORT
    if prompt_tokens < policy.long_tokens:
        return LengthClass.MIDDLE
    return LengthClass.LONG


def priority_level(
    prompt_tokens: int, policy: settings_pb2.PolicySettings
) -> int:
    """Return 0 for a short prompt, and one more for each doubling."""
    if prompt_tokens <= policy.short_tokens:
        return 0
    doublings = (prompt_tokens - 1) // policy.short_tokens
    return min(PRIORITY_LEVELS - 1, doublings.bit_length())
