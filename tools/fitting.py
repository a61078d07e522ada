"""Fit a line through measured points."""

from collections.abc import Sequence
from typing import NamedTuple

import numpy

# Half width of a 95 % interval in standard errors, for few points.
_STANDARD_ERRORS = 2.0


class Fit(NamedTuple):
    """A line through points: ``base + slope * x``."""

    base: float
    slope: float
    # Half width of the interval that holds the slope in 95 of 100 runs.
    spread: float

    def at(self, size: float) -> float:
        """Return the line's value at ``size``."""
        return self.base + self.slope * size


def fit(points: Sequence[tuple[float, float]]) -> Fit:
    """Return the least-squares line; needs at least three points."""
    sizes = numpy.array([size for size, _ in points], dtype=float)
    costs = numpy.array([cost for _, cost in points], dtype=float)
    slope, base = numpy.polyfit(sizes, costs, 1)
    residuals = costs - (base + slope * sizes)
    freedom = len(points) - 2
    scatter = float((sizes - sizes.mean()) @ (sizes - sizes.mean()))
    variance = float(residuals @ residuals) / freedom
    error = (variance / scatter) ** 0.5
    return Fit(float(base), float(slope), _STANDARD_ERRORS * error)
