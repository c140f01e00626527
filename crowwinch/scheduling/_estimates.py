"""Request cost estimation."""

# Weight of a new sample in the exponential moving averages. With 0.2, the
# average adapts to a change in a workspace's requests within about ten of them.
_SMOOTHING_FACTOR = 0.2
# Fraction of requests that may exceed their hint before the hints of a
# workspace are no longer used as upper bounds.
_MAX_EXCEEDED_RATIO = 0.1


class CostEstimator:
    """Exponential moving average of actual costs per workspace and group."""

    def __init__(self) -> None:
        """Creates an estimator without samples."""
        self._means: dict[tuple[int, int], float] = {}
        self._group_means: dict[int, float] = {}
        self._exceeded_ratios: dict[tuple[int, int], float] = {}

    def estimate(self, workspace: int, group: int, hint: int) -> int:
        """Returns the expected cost in service units, at least 1.

        The hint is an upper bound as long as the workspace's requests rarely
        exceed their hints. Without samples, the hint itself is returned.
        """
        key = (workspace, group)
        mean = self._means.get(key, self._group_means.get(group))
        if mean is None:
            return max(hint, 1)
        if hint and self._exceeded_ratios.get(key, 0.0) <= _MAX_EXCEEDED_RATIO:
            mean = min(mean, hint)
        return max(round(mean), 1)

    def observe(self, workspace: int, group: int, hint: int, cost: int) -> None:
        """Updates the averages with a completed request.

        Args:
            workspace: Identifier of the workspace.
            group: Identifier of the group.
            hint: Cost hint of the request, 0 if none.
            cost: Actual cost in service units.
        """
        key = (workspace, group)
        mean = self._means.get(key, cost)
        self._means[key] = mean + _SMOOTHING_FACTOR * (cost - mean)
        mean = self._group_means.get(group, cost)
        self._group_means[group] = mean + _SMOOTHING_FACTOR * (cost - mean)
        if hint:
            rate = self._exceeded_ratios.get(key, 0.0)
            above = 1.0 if cost > hint else 0.0
            self._exceeded_ratios[key] = rate + _SMOOTHING_FACTOR * (
                above - rate
            )
