"""Length classes of prompts."""

from verbenathread.schema import settings_pb2
from verbenathread.types import LengthClass

# Levels of urgency by size: the short class and each doubling after it.
LEVELS = 10


def length_class(
    prompt_tokens: int, policy: settings_pb2.PolicySettings
) -> LengthClass:
    """Return the class of a prompt under the policy in force."""
    if prompt_tokens <= policy.short_tokens:
        return LengthClass.SHORT
    if prompt_tokens < policy.long_tokens:
        return LengthClass.MIDDLE
    return LengthClass.LONG


def size_level(prompt_tokens: int, policy: settings_pb2.PolicySettings) -> int:
    """Return the level of a prompt: 0 if short, one more each doubling."""
    if prompt_tokens <= policy.short_tokens:
        return 0
    doublings = (prompt_tokens - 1) // policy.short_tokens
    return min(LEVELS - 1, doublings.bit_length())
