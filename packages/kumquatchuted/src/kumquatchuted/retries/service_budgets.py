"""The retry budgets of all services, owned by the task of searchers."""

from collections.abc import Callable

from kumquatchuted.retries import budget as retry_budget


class ServiceBudgets:
    """Owns the retry budget of each service."""

    def __init__(
        self, limits: retry_budget.BudgetLimits, clock: Callable[[], float]
    ) -> None:
        """Create the budgets of one node.

        :param limits: limits for all nodes together
        :param clock: monotonic time in seconds
        """
        self._limits = limits
        self._clock = clock
        self._node_count = 1
        self._budgets: dict[str, retry_budget.Budget] = {}

    def set_limits(self, limits: retry_budget.BudgetLimits) -> None:
        """Replace the limits for all nodes together."""
        self._limits = limits

    def set_node_count(self, node_count: int) -> None:
        """Set the number of nodes that share the limits."""
        self._node_count = node_count

    def has_token(self, service: str) -> bool:
        """Return whether one more retry is allowed."""
        return retry_budget.take_token(self._budget(service)) is not None

    def take_token(self, service: str) -> None:
        """Use the token of a retry that ``has_token`` allowed."""
        budget = retry_budget.take_token(self._budget(service))
        if budget is not None:
            self._budgets[service] = budget

    def record_request(self, service: str) -> None:
        """Add the tokens of one request for a service."""
        self._budgets[service] = retry_budget.record_request(
            self._budget(service), self._limits, self._node_count
        )

    def _budget(self, service: str) -> retry_budget.Budget:
        budget = self._budgets.get(service)
        now = self._clock()
        if budget is None:
            return retry_budget.initial_budget(
                self._limits, self._node_count, now
            )
        return retry_budget.refill(budget, self._limits, self._node_count, now)
