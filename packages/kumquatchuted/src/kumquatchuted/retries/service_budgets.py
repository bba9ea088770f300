"""The allowances of all services, as the task of searchers owns them."""

from collections.abc import Callable

from kumquatchuted.retries import budget as retry_budget


class ServiceBudgets:
    """Owns the budget of each service."""

    def __init__(
        self, limits: retry_budget.BudgetLimits, clock: Callable[[], float]
    ) -> None:
        """Create the budgets of one node.

        :param clock: monotonic time in seconds
        """
        self._limits = limits
        self._clock = clock
        self._node_count = 1
        self._budgets: dict[str, retry_budget.Budget] = {}

    def set_limits(self, limits: retry_budget.BudgetLimits) -> None:
        """Set the limits of the fleet."""
        self._limits = limits

    def set_node_count(self, node_count: int) -> None:
        """Set the number of nodes that share the limit of the fleet."""
        self._node_count = node_count

    def has_token(self, service: str) -> bool:
        """Return whether one more repeated send is allowed."""
        return retry_budget.take_token(self._budget(service)) is not None

    def take_token(self, service: str) -> None:
        """Count a repeated send that was allowed."""
        budget = retry_budget.take_token(self._budget(service))
        if budget is not None:
            self._budgets[service] = budget

    def record_request(self, service: str) -> None:
        """Add the share of one request."""
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
