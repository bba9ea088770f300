"""Fakes of the store and the searchers with injected faults."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import Any

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.peers.messages import SendAttempt
from kumquatchuted.platform.store import Conflict
from kumquatchuted.platform.store import ObjectList
from kumquatchuted.platform.store import StoredObject
from kumquatchuted.targets.messages import AttemptFailed
from kumquatchuted.targets.messages import SubmitResult

NO_RESPONSE = Failure(ErrorKind.OUTCOME_UNKNOWN, "no response")
STORE_DOWN = Failure(ErrorKind.UNAVAILABLE, "down", not_run=True)


class StoreFault(Enum):
    """Fault of one request to the store."""

    NONE = "none"
    DOWN = "refused without effect"
    REQUEST_LOST = "no effect and no response"
    RESPONSE_LOST = "effect but no response"
    LATE_EFFECT = "no response, takes effect 3 s later"
    LATE_RESPONSE = "effect, response 20 s later"
    PAUSED = "effect, then all nodes are paused for 20 s"
    STALE_READ = "a read returns the state before the last write"
    CONNECTION_SILENT = "no effect, the connection is closed after 5 s"


@dataclass
class PlatformObjects:
    """Objects in the platform's store, shared by the stores of all nodes.

    :param bodies: version and body by name
    :param deleted: time of the event loop and name of each deletion
    :param stale_bodies: as ``bodies``, before the last write of each object
    :param call_times: times of the event loop of all requests
    """

    bodies: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    last_version: int = 0
    deleted: list[tuple[float, str]] = field(default_factory=list)
    stale_bodies: dict[str, tuple[int, bytes] | None] = field(
        default_factory=dict
    )
    call_times: list[float] = field(default_factory=list)

    def write(self, name: str, body: bytes, version: str | None) -> Any:
        """Create an object, or replace one that has the given version."""
        current = self.bodies.get(name)
        if version is None and current is not None:
            return Conflict(name)
        if version is not None and (
            current is None or str(current[0]) != version
        ):
            return Conflict(name)
        self.last_version += 1
        self.stale_bodies[name] = current
        self.bodies[name] = (self.last_version, body)
        return StoredObject(name, str(self.last_version), body)


class FakeStore:
    """Store client of one node, with a fault for each request."""

    def __init__(
        self,
        objects: PlatformObjects,
        faults: list[StoreFault] | None = None,
        on_step: Callable[[], None] = lambda: None,
    ) -> None:
        """Create a store; ``on_step`` is called before and after an effect."""
        self.objects = objects
        self.faults = faults or []
        self.on_step = on_step

    async def create(self, kind: Any, name: str, body: bytes) -> Any:
        """Create an object."""
        return await self._call(lambda: self.objects.write(name, body, None))

    async def update(
        self, kind: Any, name: str, body: bytes, version: str
    ) -> Any:
        """Replace an object."""
        return await self._call(
            lambda: self.objects.write(name, body, version)
        )

    async def get(self, kind: Any, name: str) -> Any:
        """Read an object."""

        def read(bodies: dict) -> Any:
            current = bodies.get(name)
            if current is None:
                return Failure(ErrorKind.NOT_FOUND, "none")
            return StoredObject(name, str(current[0]), current[1])

        return await self._call(
            lambda: read(self.objects.bodies),
            lambda: read(self.objects.stale_bodies),
        )

    async def list(self, kind: Any, prefix: str = "") -> Any:
        """List objects; never fails."""
        await asyncio.sleep(0.01)
        return ObjectList(
            "1",
            tuple(
                StoredObject(name, str(version), body)
                for name, (version, body) in self.objects.bodies.items()
                if name.startswith(prefix)
            ),
        )

    async def delete(self, kind: Any, name: str, version: str) -> None:
        """Delete an object; never fails."""
        await asyncio.sleep(0.01)
        now = asyncio.get_running_loop().time()
        self.objects.deleted.append((now, name))
        self.objects.bodies.pop(name, None)

    async def _call(
        self,
        effect: Callable[[], Any],
        stale_read: Callable[[], Any] | None = None,
    ) -> Any:
        fault = self.faults.pop(0) if self.faults else StoreFault.NONE
        self.objects.call_times.append(asyncio.get_running_loop().time())
        self.on_step()
        await asyncio.sleep(0.005)
        match fault:
            case StoreFault.NONE:
                result = effect()
                self.on_step()
                return result
            case StoreFault.DOWN:
                return STORE_DOWN
            case StoreFault.REQUEST_LOST:
                return NO_RESPONSE
            case StoreFault.RESPONSE_LOST:
                effect()
                return NO_RESPONSE
            case StoreFault.LATE_EFFECT:
                asyncio.get_running_loop().call_later(3.0, effect)
                return NO_RESPONSE
            case StoreFault.PAUSED:
                result = effect()
                asyncio.get_running_loop().pause(20.0)
                return result
            case StoreFault.LATE_RESPONSE:
                result = effect()
                await asyncio.sleep(20.0)
                return result
            case StoreFault.STALE_READ:
                return (stale_read or effect)()
            case StoreFault.CONNECTION_SILENT:
                await asyncio.sleep(5.0)
                return NO_RESPONSE


class AttemptBehaviour(Enum):
    """Behaviour of a searcher that receives an attempt."""

    ANSWERED = "runs and answers"
    RESPONSE_LOST = "runs, the response is lost"
    REFUSED = "is refused and does not run"
    REQUEST_LOST = "is lost and does not run, and no outcome ever arrives"
    NEVER_REPORTED = "runs, and no outcome ever arrives"
    LATE_RESPONSE = "runs, answers after the deadline of the caller"


class FakeSearchers:
    """Searchers that run and record the attempts of one node."""

    def __init__(
        self, behaviours: list[AttemptBehaviour], runs: list[str]
    ) -> None:
        """Create the searchers; ``runs`` is shared by all nodes."""
        self.behaviours = behaviours
        self.runs = runs
        self.sent: list[SendAttempt] = []
        self.sent_after_deadline: list[SendAttempt] = []

    def post(self, message: SendAttempt) -> None:
        """Receive an attempt in place of the dispatch task."""
        self.sent.append(message)
        behaviour = (
            self.behaviours.pop(0)
            if self.behaviours
            else AttemptBehaviour.ANSWERED
        )
        attempt = message.attempt.attempt
        loop = asyncio.get_running_loop()
        if message.expires_at <= loop.time():
            self.sent_after_deadline.append(message)
        match behaviour:
            case AttemptBehaviour.ANSWERED:
                self.runs.append(attempt)
                result = SubmitResult(attempt, 200, f"by {attempt}")
                loop.call_later(0.02, message.reply, result)
            case AttemptBehaviour.RESPONSE_LOST:
                self.runs.append(attempt)
                loop.call_later(
                    0.02, message.reply, _attempt_failed(attempt, False)
                )
            case AttemptBehaviour.REFUSED:
                loop.call_later(
                    0.02, message.reply, _attempt_failed(attempt, True)
                )
            case AttemptBehaviour.REQUEST_LOST:
                pass
            case AttemptBehaviour.NEVER_REPORTED:
                self.runs.append(attempt)
            case AttemptBehaviour.LATE_RESPONSE:
                self.runs.append(attempt)
                result = SubmitResult(attempt, 200, f"by {attempt}")
                loop.call_later(3.0, message.reply, result)


def _attempt_failed(attempt: str, not_run: bool) -> AttemptFailed:
    kind = ErrorKind.NOT_OWNER if not_run else ErrorKind.OUTCOME_UNKNOWN
    return AttemptFailed(attempt, kind, "fake", not_run)
