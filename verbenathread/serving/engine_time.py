"""Predicts the running times of a healthy engine from its model.

An engine works in iterations. Each one decodes ``stride`` tokens for every
request in the batch and prefills waiting prompts in chunks beside that.
"""

from verbenathread.serving.types import EngineModel

# EngineModel.attention_ms is per this many pairs of tokens, and context_ms
# per this many tokens.
_PAIRS_PER_UNIT = 1_000_000
_TOKENS_PER_UNIT = 1000


def prefill_ms(engine: EngineModel, tokens: int, parts: int = 1) -> float:
    """Return ms to prefill a prompt split evenly over ``parts`` engines."""
    pairs = tokens * tokens / 2 / _PAIRS_PER_UNIT
    total = tokens / engine.prefill_tokens_per_ms + pairs * engine.attention_ms
    return total / parts


def iteration_ms(
    engine: EngineModel, batch_size: int, context_tokens: int
) -> float:
    """Return ms of an iteration that decodes a batch and prefills nothing."""
    step = (
        engine.step_ms
        + engine.sequence_ms * batch_size
        + engine.context_ms * context_tokens / _TOKENS_PER_UNIT
    )
    return engine.stride * step


def decode_ms(
    engine: EngineModel, output_tokens: int, iteration: float
) -> float:
    """Return ms to decode an answer in iterations of ``iteration`` ms."""
    return output_tokens / engine.stride * iteration
