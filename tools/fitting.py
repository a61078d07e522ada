"""Least-squares fit of a line through measured points."""

from collections.abc import Sequence
from typing import NamedTuple

import numpy

# Half width of the slope's interval; two standard errors cover about 95 % only
# if the points are many.
_STANDARD_ERRORS = 2.0


class Fit(NamedTuple):
    """The line ``base + slope * x`` with the uncertainty of its slope."""

    base: float
    slope: float
    # Half width of the slope's confidence interval, two standard errors.
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
    degrees_of_freedom = len(points) - 2
    spread_of_sizes = float((sizes - sizes.mean()) @ (sizes - sizes.mean()))
    variance = float(residuals @ residuals) / degrees_of_freedom
    standard_error = (variance / spread_of_sizes) ** 0.5
    return Fit(float(base), float(slope), _STANDARD_ERRORS * standard_error)
