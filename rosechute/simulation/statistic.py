"""Comparison of two policies from paired runs: bootstrap confidence intervals and a significance decision."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import numpy as np

RESAMPLES = 4000


class Interval(NamedTuple):
    """Sample mean, bounds of its confidence interval, and sample size."""

    mean: float
    low: float
    high: float
    size: int


def interval(values: Sequence[float], confidence: float = 0.95, seed: int = 1) -> Interval:
    """Return the mean of a sample with its percentile bootstrap interval (Efron and Tibshirani 1993, chapter 13).

    Raises:
        ValueError: The sample is empty.
    """
    if not values:
        raise ValueError("no values")
    array = np.asarray(values, dtype=np.float64)
    rng = np.random.default_rng(seed)
    means = array[rng.integers(0, array.size, (RESAMPLES, array.size))].mean(axis=1)
    low, high = np.quantile(means, [(1 - confidence) / 2, (1 + confidence) / 2])
    return Interval(float(array.mean()), float(low), float(high), int(array.size))


def verdict(differences: Sequence[float], more_is_better: bool = True, least: int = 5) -> tuple[str, Interval]:
    """Classify paired differences (first minus second) as "better", "worse" or "cannot tell", with their interval.

    The result is "cannot tell" if the interval contains 0 or there are fewer than `least` pairs.
    """
    found = interval(differences)
    if found.size < least or found.low <= 0.0 <= found.high:
        return "cannot tell", found
    return ("better" if (found.low > 0.0) == more_is_better else "worse"), found
