"""The retry budgets of all services, owned by the task of searchers."""

from collections.abc import Callable

from kumquatchuted.retries import budget as retry_budget


class ServiceBudgets:
    """Owns the retry budget of each service."""

    def __init__(
        self,
        limits: retry_budget.BudgetLimits,
        share_of: Callable[[str], float],
        clock: Callable[[], float],
    ) -> None:
        """Create the budgets of one node.

        :param limits: limits for all nodes together
        :param share_of: returns this node's share of the slack of a service
        :param clock: monotonic time in seconds
        """
        self._limits = limits
        self._share_of = share_of
        self._clock = clock
        self._started_at = clock()
        self._budgets: dict[str, retry_budget.Budget] = {}

    def set_limits(self, limits: retry_budget.BudgetLimits) -> None:
        """Replace the limits for all nodes together."""
        self._limits = limits

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
            self._budget(service), self._limits, self._share_of(service)
        )

    def _budget(self, service: str) -> retry_budget.Budget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = retry_budget.initial_budget(
                self._limits, self._share_of(service), self._started_at
            )
        return retry_budget.refill(
            budget, self._limits, self._share_of(service), self._clock()
        )
