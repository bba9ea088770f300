"""The queues of attempts that wait for a connection, one for each service."""

from kumquatchuted.searchers.balancer import LoadBalancer
from kumquatchuted.searchers.messages import SendAttempt
from kumquatchuted.searchers.waiting import enqueue
from kumquatchuted.searchers.waiting import find
from kumquatchuted.searchers.waiting import may_wait
from kumquatchuted.searchers.waiting import remove
from kumquatchuted.searchers.waiting import WaitingQueue

NO_ATTEMPTS = WaitingQueue()


class WaitingAttempts:
    """Owns the queues; services without waiting attempts have none."""

    def __init__(self, balancer: LoadBalancer) -> None:
        """Create it without attempts."""
        self._balancer = balancer
        self._queues: dict[str, WaitingQueue] = {}
        self._services: dict[object, str] = {}

    def add(self, message: SendAttempt, now: float) -> bool:
        """Add an attempt if it can be expected to be sent in time.

        :param now: monotonic time in seconds
        :returns: whether it was added
        """
        service = message.service
        queue = self._queues.get(service, NO_ATTEMPTS)
        connections = self._balancer.connection_limit(
            service
        ) * self._balancer.searcher_count(service)
        median_s = self._balancer.loads.latency_of(message.route).median_s
        if not may_wait(queue, message, connections, median_s, now):
            return False
        self._queues[service] = enqueue(queue, message)
        self._services[message.key] = service
        return True

    def remove(self, key: object) -> SendAttempt | None:
        """Remove and return an attempt; None if it does not wait."""
        service = self._services.pop(key, None)
        if service is None:
            return None
        message = find(self._queues[service], key)
        queue = remove(self._queues[service], key)
        if queue.attempts:
            self._queues[service] = queue
        else:
            del self._queues[service]
        return message

    def candidates(
        self, service: str | None, any_service: bool
    ) -> tuple[SendAttempt, ...]:
        """Return the attempts that a free connection may serve, in order.

        :param service: service of the searcher whose connection is free
        :param any_service: whether its descriptor may serve other services
        """
        if any_service:
            return tuple(
                message
                for queue in self._queues.values()
                for message in queue.attempts
            )
        return self._queues.get(service, NO_ATTEMPTS).attempts
