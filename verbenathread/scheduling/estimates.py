"""Adaptive estimates of prefill time, output length and prompt tokens.

Older samples lose weight, so that the estimates follow a change of the load
but not a single outlier.
"""

import math
from typing import NamedTuple

from verbenathread.types import Millis

# Squared tokens are counted in millions.
_SQUARE_UNIT = 1e6
_INITIAL_MS_PER_TOKEN = 0.05
_INITIAL_MS_PER_SQUARE = 0.01
_INITIAL_MS_PER_OUTPUT_TOKEN = 30.0
# Weight that older samples keep when one is added.
_DECAY = 0.98
# The prior of the prefill time counts as this many samples of each of two
# prompts, one ten times as long as the other.
_PRIOR_SAMPLES = 20.0
_PRIOR_PROMPT_TOKENS = 8000.0
# Step of the quantile estimate, in the natural logarithm of the length.
_QUANTILE_STEP = 0.05
_INITIAL_OUTPUT_TOKENS = 256.0


class PrefillCost:
    """Expected times of prefill and of generation on one engine.

    The time to prefill a prompt is linear and quadratic in its tokens, fitted
    by least squares over busy periods of the engine: ``busy = a * tokens + b *
    tokens ** 2``; the quadratic term models attention over the whole prompt.
    """

    def __init__(self) -> None:
        """Start from a prior that the first hundred prompts outweigh."""
        self._linear = _INITIAL_MS_PER_TOKEN
        self._quadratic = _INITIAL_MS_PER_SQUARE
        self._ms_per_output_token = _INITIAL_MS_PER_OUTPUT_TOKEN
        self._sums = _NormalEquations()
        base = _PRIOR_PROMPT_TOKENS
        squares = base * base / _SQUARE_UNIT
        for _ in range(int(_PRIOR_SAMPLES)):
            self._sums = self._sums.with_sample(
                base, squares, self._uncached(base)
            )
            long_base = base * 10
            long_squares = long_base * long_base / _SQUARE_UNIT
            self._sums = self._sums.with_sample(
                long_base, long_squares, self._uncached(long_base)
            )

    def prefill(self, tokens: int, cached: int = 0) -> float:
        """Return expected ms to prefill ``tokens``, ``cached`` of them cached."""
        return self._uncached(tokens) - self._uncached(min(cached, tokens))

    def output(self, tokens: float) -> float:
        """Return expected ms to generate ``tokens``."""
        return tokens * self._ms_per_output_token

    def observe_busy_period(self, busy: Millis, prompts: list[int]) -> None:
        """Add a busy period in which ``prompts`` were prefilled."""
        tokens = float(sum(prompts))
        if not tokens:
            return
        squares = sum(prompt * prompt for prompt in prompts) / _SQUARE_UNIT
        self._sums = self._sums.decayed(_DECAY).with_sample(
            tokens, squares, busy
        )
        solution = self._sums.solve()
        if solution is not None:
            self._linear = solution.linear
            self._quadratic = solution.quadratic

    def observe_output(self, duration: Millis, tokens: int) -> None:
        """Add a sample of ``tokens`` generated in ``duration`` ms."""
        if tokens > 0:
            observed = duration / tokens
            self._ms_per_output_token += (
                observed - self._ms_per_output_token
            ) * (1 - _DECAY)

    def _uncached(self, tokens: float) -> float:
        squares = tokens * tokens / _SQUARE_UNIT
        return self._linear * tokens + self._quadratic * squares


class _Coefficients(NamedTuple):
    linear: float
    quadratic: float


class _NormalEquations(NamedTuple):
    """Weighted sums of the normal equations for both coefficients.

    x stands for tokens, z for squared tokens and y for the busy time.
    """

    xx: float = 0
    xz: float = 0
    zz: float = 0
    xy: float = 0
    zy: float = 0

    def decayed(self, factor: float) -> '_NormalEquations':
        """Return the sums with the weight of all samples reduced."""
        return _NormalEquations(*(part * factor for part in self))

    def with_sample(
        self, tokens: float, squares: float, busy: float
    ) -> '_NormalEquations':
        """Return the sums with one more sample."""
        # Minimises relative errors, so that long prompts don't dominate.
        scale = 1 / max(busy, 1) ** 2
        return _NormalEquations(
            self.xx + tokens * tokens * scale,
            self.xz + tokens * squares * scale,
            self.zz + squares * squares * scale,
            self.xy + tokens * busy * scale,
            self.zy + squares * busy * scale,
        )

    def solve(self) -> _Coefficients | None:
        """Return non-negative coefficients; None if underdetermined."""
        determinant = self.xx * self.zz - self.xz * self.xz
        if determinant <= 0 or not self.xx:
            return None
        linear = (self.xy * self.zz - self.zy * self.xz) / determinant
        square = (self.zy * self.xx - self.xy * self.xz) / determinant
        if square < 0 or linear <= 0:
            return _Coefficients(self.xy / self.xx, 0)
        return _Coefficients(linear, square)


class OutputEstimator:
    """Expected output length by client account and service.

    Tracks a quantile by stochastic approximation on the log of the length:
    each sample moves the estimate up or down by a step that depends on the
    quantile (Robbins and Monro 1951).
    """

    def __init__(self, quantile: float = 0.8) -> None:
        """Estimate ``quantile`` of the output lengths."""
        self._quantile = quantile
        self._log_by_key: dict[tuple[str, str], float] = {}
        self._log_by_service: dict[str, float] = {}

    def expected(self, account: str, service: str, limit: int) -> int:
        """Return the expected output tokens, between 1 and ``limit``."""
        start = self._log_by_service.get(
            service, math.log(_INITIAL_OUTPUT_TOKENS)
        )
        estimate = self._log_by_key.get((account, service), start)
        return max(1, min(limit, round(math.exp(estimate))))

    def observe(self, account: str, service: str, tokens: int) -> None:
        """Add a request that ended after ``tokens``."""
        observed = math.log(max(1, tokens))
        start = self._log_by_service.get(
            service, math.log(_INITIAL_OUTPUT_TOKENS)
        )
        self._log_by_service[service] = self._updated(start, observed)
        key = (account, service)
        self._log_by_key[key] = self._updated(
            self._log_by_key.get(key, start), observed
        )

    def _updated(self, estimate: float, observed: float) -> float:
        if observed > estimate:
            return estimate + _QUANTILE_STEP * self._quantile
        return estimate - _QUANTILE_STEP * (1 - self._quantile)


class TokenEstimator:
    """Number of prompt tokens in a request body, learned per service."""

    def __init__(self) -> None:
        """Start empty; callers pass the initial ratio from settings."""
        self._ratio_by_service: dict[str, float] = {}

    def tokens(self, service: str, size: int, initial_ratio: float) -> int:
        """Return the expected tokens of ``size`` bytes, at least one.

        ``initial_ratio`` is in bytes per token.
        """
        ratio = self._ratio_by_service.get(service, initial_ratio)
        return max(1, math.ceil(size / ratio))

    def observe(
        self, service: str, size: int, tokens: int, initial_ratio: float
    ) -> None:
        """Add a prompt whose tokens the engine counted."""
        if tokens <= 0 or size <= 0:
            return
        ratio = self._ratio_by_service.get(service, initial_ratio)
        ratio += (size / tokens - ratio) * (1 - _DECAY)
        self._ratio_by_service[service] = ratio
