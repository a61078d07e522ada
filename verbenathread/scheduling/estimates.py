"""Estimates that learn: prefill time, output length, tokens in a body.

All are decayed sums, so that a shift of the load is followed and a single
outlier is not.
"""

import math
from typing import NamedTuple

from verbenathread.types import Millis

_SQUARE_UNIT = 1e6
_MS_PER_TOKEN = 0.05
_MS_PER_SQUARE = 0.01
_OUTPUT_MS = 30.0
_KEPT = 0.98
_PRIOR_WEIGHT = 20.0
_PRIOR_PROMPT = 8000.0
_QUANTILE_STEP = 0.05
_FIRST_OUTPUT = 256.0


class PrefillCost:
    """Time to prefill a prompt, linear and quadratic in its tokens.

    Least squares over busy periods of the engine: ``busy = a * tokens + b *
    tokens ** 2``; the square stands for attention over the whole prompt.
    """

    def __init__(self) -> None:
        """Start from a guess that the first hundred prompts replace."""
        self._linear = _MS_PER_TOKEN
        self._square = _MS_PER_SQUARE
        self._output = _OUTPUT_MS
        self._sums = _Sums()
        base = _PRIOR_PROMPT
        squares = base * base / _SQUARE_UNIT
        for _ in range(int(_PRIOR_WEIGHT)):
            self._sums = self._sums.plus(base, squares, self._plain(base))
            long_base = base * 10
            long_squares = long_base * long_base / _SQUARE_UNIT
            self._sums = self._sums.plus(
                long_base, long_squares, self._plain(long_base)
            )

    def prefill(self, tokens: int, cached: int = 0) -> float:
        """Return expected ms to prefill ``tokens`` after ``cached`` ones."""
        return self._plain(tokens) - self._plain(min(cached, tokens))

    def output(self, tokens: float) -> float:
        """Return expected ms to generate ``tokens``."""
        return tokens * self._output

    def observe_busy_period(self, busy: Millis, prompts: list[int]) -> None:
        """Learn from one busy period in which ``prompts`` were prefilled."""
        tokens = float(sum(prompts))
        if not tokens:
            return
        squares = sum(prompt * prompt for prompt in prompts) / _SQUARE_UNIT
        self._sums = self._sums.decayed(_KEPT).plus(tokens, squares, busy)
        solved = self._sums.solve()
        if solved is not None:
            self._linear = solved.linear
            self._square = solved.square

    def observe_output(self, duration: Millis, tokens: int) -> None:
        """Learn from ``tokens`` generated in ``duration`` ms."""
        if tokens > 0:
            seen = duration / tokens
            self._output += (seen - self._output) * (1 - _KEPT)

    def _plain(self, tokens: float) -> float:
        squares = tokens * tokens / _SQUARE_UNIT
        return self._linear * tokens + self._square * squares


class _Coefficients(NamedTuple):
    linear: float
    square: float


class _Sums(NamedTuple):
    """Sums of the normal equations of two coefficients."""

    xx: float = 0
    xz: float = 0
    zz: float = 0
    xy: float = 0
    zy: float = 0

    def decayed(self, kept: float) -> '_Sums':
        """Return the sums with older samples weighing less."""
        return _Sums(*(part * kept for part in self))

    def plus(self, tokens: float, squares: float, busy: float) -> '_Sums':
        """Return the sums with one sample, weighed by its inverse size."""
        # Relative errors count, so that long prompts do not rule the fit.
        scale = 1 / max(busy, 1) ** 2
        return _Sums(
            self.xx + tokens * tokens * scale,
            self.xz + tokens * squares * scale,
            self.zz + squares * squares * scale,
            self.xy + tokens * busy * scale,
            self.zy + squares * busy * scale,
        )

    def solve(self) -> _Coefficients | None:
        """Return both coefficients, neither below zero; None if unclear."""
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

    Tracks a quantile by stochastic approximation in the log of the length:
    each sample moves the estimate up or down by a step that fits the
    quantile (Robbins and Monro 1951).
    """

    def __init__(self, quantile: float = 0.8) -> None:
        """Estimate this quantile of the output lengths."""
        self._quantile = quantile
        self._log_by_key: dict[tuple[str, str], float] = {}
        self._log_by_service: dict[str, float] = {}

    def expected(self, account: str, service: str, most: int) -> int:
        """Return the expected output tokens, at most ``most``."""
        start = self._log_by_service.get(service, math.log(_FIRST_OUTPUT))
        estimate = self._log_by_key.get((account, service), start)
        return max(1, min(most, round(math.exp(estimate))))

    def observe(self, account: str, service: str, tokens: int) -> None:
        """Learn from a request that ended after ``tokens``."""
        seen = math.log(max(1, tokens))
        start = self._log_by_service.get(service, math.log(_FIRST_OUTPUT))
        self._log_by_service[service] = self._moved(start, seen)
        key = (account, service)
        self._log_by_key[key] = self._moved(
            self._log_by_key.get(key, start), seen
        )

    def _moved(self, estimate: float, seen: float) -> float:
        if seen > estimate:
            return estimate + _QUANTILE_STEP * self._quantile
        return estimate - _QUANTILE_STEP * (1 - self._quantile)


class TokenEstimator:
    """Prompt tokens in a body of some bytes, learned per service."""

    def __init__(self) -> None:
        """Know nothing; callers give the first guess from settings."""
        self._ratio_by_service: dict[str, float] = {}

    def tokens(self, service: str, size: int, first_guess: float) -> int:
        """Return expected tokens of ``size`` bytes; at least one."""
        ratio = self._ratio_by_service.get(service, first_guess)
        return max(1, math.ceil(size / ratio))

    def observe(
        self, service: str, size: int, tokens: int, first_guess: float
    ) -> None:
        """Learn from a prompt whose tokens the engine counted."""
        if tokens <= 0 or size <= 0:
            return
        ratio = self._ratio_by_service.get(service, first_guess)
        ratio += (size / tokens - ratio) * (1 - _KEPT)
        self._ratio_by_service[service] = ratio
