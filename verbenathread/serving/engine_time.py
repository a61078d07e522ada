"""How long a sound engine needs, from the figures of its service.

An engine works in passes. A pass writes ``stride`` tokens for each request
that writes, and reads waiting prompts in pieces beside that.
"""

from verbenathread.serving.types import EngineModel

_PAIRS_PER_MILLION = 1_000_000
_TOKENS_PER_K = 1000


def prefill_ms(engine: EngineModel, tokens: int, parts: int = 1) -> float:
    """Return ms to read a prompt, split evenly over ``parts`` engines."""
    pairs = tokens * tokens / 2 / _PAIRS_PER_MILLION
    whole = tokens / engine.prefill_tokens_per_ms + pairs * engine.attention_ms
    return whole / parts


def iteration_ms(
    engine: EngineModel, batch_size: int, context_tokens: int
) -> float:
    """Return ms of a pass in which ``writers`` write and nobody reads."""
    step = (
        engine.step_ms
        + engine.sequence_ms * batch_size
        + engine.context_ms * context_tokens / _TOKENS_PER_K
    )
    return engine.stride * step


def decode_ms(
    engine: EngineModel, output_tokens: int, iteration: float
) -> float:
    """Return ms to write an answer, in passes of ``one_pass`` ms."""
    return output_tokens / engine.stride * iteration
