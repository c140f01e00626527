"""Estimates of the cost of requests."""

# Weight of a new cost in the moving averages. 0.2 follows a change of a
# workspace's requests within about ten of them.
_SMOOTHING = 0.2
# Part of requests that may exceed their hint before hints of a workspace no
# longer count as upper limits.
_HINT_TOLERANCE = 0.1


class CostEstimator:
    """Moving average of real costs for each workspace and group."""

    def __init__(self) -> None:
        """Creates an estimator that has seen no request."""
        self._means: dict[tuple[int, int], float] = {}
        self._group_means: dict[int, float] = {}
        self._exceeded: dict[tuple[int, int], float] = {}

    def estimate(self, workspace: int, group: int, hint: int) -> int:
        """Returns the expected cost in service units, at least 1.

        The hint caps the average while the workspace's requests keep below
        their hints; without any cost seen the hint itself counts.
        """
        key = (workspace, group)
        mean = self._means.get(key, self._group_means.get(group))
        if mean is None:
            return max(hint, 1)
        if hint and self._exceeded.get(key, 0.0) <= _HINT_TOLERANCE:
            mean = min(mean, hint)
        return max(round(mean), 1)

    def observe(self, workspace: int, group: int, hint: int, cost: int) -> None:
        """Learns from a request that was served.

        Args:
            workspace: Identifier of the workspace.
            group: Identifier of the group.
            hint: Hint that came with the request, 0 if none.
            cost: Real cost in service units.
        """
        key = (workspace, group)
        mean = self._means.get(key, cost)
        self._means[key] = mean + _SMOOTHING * (cost - mean)
        mean = self._group_means.get(group, cost)
        self._group_means[group] = mean + _SMOOTHING * (cost - mean)
        if hint:
            rate = self._exceeded.get(key, 0.0)
            above = 1.0 if cost > hint else 0.0
            self._exceeded[key] = rate + _SMOOTHING * (above - rate)
