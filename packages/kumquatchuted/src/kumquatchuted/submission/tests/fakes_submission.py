"""A store and a searcher that fail on command."""

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

LOST = Failure(ErrorKind.OUTCOME_UNKNOWN, "no response")
DOWN = Failure(ErrorKind.UNAVAILABLE, "down", not_run=True)


class Fault(Enum):
    """What happens to one call of the store."""

    NONE = "none"
    DOWN = "refused without effect"
    REQUEST_LOST = "no effect and no response"
    RESPONSE_LOST = "effect but no response"
    LATE_EFFECT = "no response, takes effect 3 s later"
    LATE_RESPONSE = "effect, response 20 s later"
    PAUSED = "effect, then all processes stop for 20 s"
    OLDER_STATE = "a read misses the last write"
    SILENT = "no effect, the connection is given up after 5 s"


@dataclass
class Objects:
    """What the platform holds."""

    bodies: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    versions: int = 0
    deleted: list[tuple[float, str]] = field(default_factory=list)
    older: dict[str, tuple[int, bytes] | None] = field(default_factory=dict)
    called: list[float] = field(default_factory=list)

    def write(self, name: str, body: bytes, version: str | None) -> Any:
        """Create, or replace a version."""
        held = self.bodies.get(name)
        if version is None and held is not None:
            return Conflict(name)
        if version is not None and (held is None or str(held[0]) != version):
            return Conflict(name)
        self.versions += 1
        self.older[name] = held
        self.bodies[name] = (self.versions, body)
        return StoredObject(name, str(self.versions), body)


class FakeStore:
    """One node's way to the platform, with a fault for each call."""

    def __init__(
        self,
        objects: Objects,
        faults: list[Fault] | None = None,
        on_step: Callable[[], None] = lambda: None,
    ) -> None:
        """Create a store; ``on_step`` is called around every effect."""
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
            held = bodies.get(name)
            if held is None:
                return Failure(ErrorKind.NOT_FOUND, "none")
            return StoredObject(name, str(held[0]), held[1])

        return await self._call(
            lambda: read(self.objects.bodies),
            lambda: read(self.objects.older),
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
        self, effect: Callable[[], Any], older: Callable[[], Any] | None = None
    ) -> Any:
        fault = self.faults.pop(0) if self.faults else Fault.NONE
        self.objects.called.append(asyncio.get_running_loop().time())
        self.on_step()
        await asyncio.sleep(0.005)
        match fault:
            case Fault.NONE:
                result = effect()
                self.on_step()
                return result
            case Fault.DOWN:
                return DOWN
            case Fault.REQUEST_LOST:
                return LOST
            case Fault.RESPONSE_LOST:
                effect()
                return LOST
            case Fault.LATE_EFFECT:
                asyncio.get_running_loop().call_later(3.0, effect)
                return LOST
            case Fault.PAUSED:
                result = effect()
                asyncio.get_running_loop().pause(20.0)
                return result
            case Fault.LATE_RESPONSE:
                result = effect()
                await asyncio.sleep(20.0)
                return result
            case Fault.OLDER_STATE:
                return (older or effect)()
            case Fault.SILENT:
                await asyncio.sleep(5.0)
                return LOST


class Ending(Enum):
    """What happens to an attempt after it is sent."""

    ANSWERED = "runs and answers"
    ANSWER_LOST = "runs, the answer is lost"
    REFUSED = "is refused and does not run"
    LOST = "gets lost and nobody says so"
    SILENT = "runs, and no outcome ever arrives"
    LATE = "runs, answers after the caller's deadline"


class FakeSearchers:
    """Runs the attempts of one node and records them."""

    def __init__(self, endings: list[Ending], runs: list[str]) -> None:
        """Create the searchers; ``runs`` is shared between nodes."""
        self.endings = endings
        self.runs = runs
        self.sent: list[SendAttempt] = []
        self.late: list[SendAttempt] = []

    def post(self, message: SendAttempt) -> None:
        """Receive an attempt, like the dispatch task."""
        self.sent.append(message)
        ending = self.endings.pop(0) if self.endings else Ending.ANSWERED
        attempt = message.attempt.attempt
        loop = asyncio.get_running_loop()
        if message.expires <= loop.time():
            self.late.append(message)
        match ending:
            case Ending.ANSWERED:
                self.runs.append(attempt)
                answer = SubmitResult(attempt, 200, f"by {attempt}")
                loop.call_later(0.02, message.reply, answer)
            case Ending.ANSWER_LOST:
                self.runs.append(attempt)
                loop.call_later(0.02, message.reply, _refused(attempt, False))
            case Ending.REFUSED:
                loop.call_later(0.02, message.reply, _refused(attempt, True))
            case Ending.LOST:
                pass
            case Ending.SILENT:
                self.runs.append(attempt)
            case Ending.LATE:
                self.runs.append(attempt)
                answer = SubmitResult(attempt, 200, f"by {attempt}")
                loop.call_later(3.0, message.reply, answer)


def _refused(attempt: str, not_run: bool) -> AttemptFailed:
    kind = ErrorKind.NOT_OWNER if not_run else ErrorKind.OUTCOME_UNKNOWN
    return AttemptFailed(attempt, kind, "fake", not_run)
