"""Length classes of prompts."""

from verbenathread.schema import settings_pb2
from verbenathread.types import LengthClass


def length_class(
    prompt_tokens: int, policy: settings_pb2.PolicySettings
) -> LengthClass:
    """Return the class of a prompt under the policy in force."""
    if prompt_tokens <= policy.short_tokens:
        return LengthClass.SHORT
    if prompt_tokens < policy.long_tokens:
        return LengthClass.MIDDLE
    return LengthClass.LONG
