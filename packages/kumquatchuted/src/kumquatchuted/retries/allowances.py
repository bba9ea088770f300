"""The allowances of all services, as the task of searchers owns them."""

from collections.abc import Callable

from kumquatchuted.retries import budget as bud


class Allowances:
    """Owns the budget of each service."""

    def __init__(
        self, limits: bud.BudgetLimits, clock: Callable[[], float]
    ) -> None:
        """Create the budgets of one node.

        :param clock: monotonic time in seconds
        """
        self._limits = limits
        self._clock = clock
        self._nodes = 1
        self._budgets: dict[str, bud.Budget] = {}

    def set_limits(self, limits: bud.BudgetLimits) -> None:
        """Set the limits of the fleet."""
        self._limits = limits

    def set_nodes(self, count: int) -> None:
        """Set the number of nodes that share the limit of the fleet."""
        self._nodes = count

    def has_any(self, service: str) -> bool:
        """Return whether one more repeated send is allowed."""
        return bud.take(self._budget(service)) is not None

    def take(self, service: str) -> None:
        """Count a repeated send that was allowed."""
        budget = bud.take(self._budget(service))
        if budget is not None:
            self._budgets[service] = budget

    def add(self, service: str) -> None:
        """Add the share of one request."""
        self._budgets[service] = bud.record_request(
            self._budget(service), self._limits, self._nodes
        )

    def _budget(self, service: str) -> bud.Budget:
        budget = self._budgets.get(service)
        now = self._clock()
        if budget is None:
            return bud.start_budget(self._limits, self._nodes, now)
        return bud.refill(budget, self._limits, self._nodes, now)
