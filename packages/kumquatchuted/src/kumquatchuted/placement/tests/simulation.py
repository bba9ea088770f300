"""Simulates nodes, store and network in virtual time for placement tests."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
import heapq
from random import Random

from kumquatchuted.placement.messages import CurrentUntil
from kumquatchuted.placement.messages import DeleteLease
from kumquatchuted.placement.messages import EpochReleased
from kumquatchuted.placement.messages import LeaseDeleted
from kumquatchuted.placement.messages import LeasesRead
from kumquatchuted.placement.messages import LeaseWritten
from kumquatchuted.placement.messages import LogLine
from kumquatchuted.placement.messages import Member
from kumquatchuted.placement.messages import MembershipRead
from kumquatchuted.placement.messages import MembershipWritten
from kumquatchuted.placement.messages import PeerMessage
from kumquatchuted.placement.messages import PlacementChanged
from kumquatchuted.placement.messages import Publish
from kumquatchuted.placement.messages import ReadFailed
from kumquatchuted.placement.messages import ReadLeases
from kumquatchuted.placement.messages import ReadMembership
from kumquatchuted.placement.messages import SendPeer
from kumquatchuted.placement.messages import SendReply
from kumquatchuted.placement.messages import StoredLease
from kumquatchuted.placement.messages import Tick
from kumquatchuted.placement.messages import WriteLease
from kumquatchuted.placement.messages import WriteMembership
from kumquatchuted.placement.messages import WriteOutcome
from kumquatchuted.placement.ownership import may_send_to
from kumquatchuted.placement.protocol import step
from kumquatchuted.placement.protocol import tick_due
from kumquatchuted.placement.state import initial_state
from kumquatchuted.placement.state import PlacementState
from kumquatchuted.tickets.messages import TicketsUpToDate

SEARCHERS = tuple(f"console-{i}" for i in range(12))
TICK_INTERVAL_S = 0.4
STORE_TIMEOUT_S = 1.5
INFINITE_PAST = float("-inf")


class StoreMode(Enum):
    """Fault of the store."""

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    STALE = "stale"
    LOSSY = "lossy"


@dataclass
class SimulatedStore:
    """Object store with conditional writes that keeps all past states."""

    mode: StoreMode = StoreMode.UP
    states: list = field(default_factory=lambda: [{}])
    last_version: int = 0

    def write(self, name, value, version):
        """Create or update an object; return (outcome, new version)."""
        state = self.states[-1]
        found = state.get(name)
        if version is None and found is not None:
            return WriteOutcome.CONFLICT, ""
        if version is not None and found is None:
            return WriteOutcome.GONE, ""
        if version is not None and found[1] != version:
            return WriteOutcome.CONFLICT, ""
        self.last_version += 1
        new = str(self.last_version)
        self.states.append({**state, name: (value, new)})
        return WriteOutcome.DONE, new

    def delete(self, name, version):
        """Delete an object if it has this version."""
        state = dict(self.states[-1])
        if state.get(name, (None, None))[1] == version:
            del state[name]
            self.states.append(state)

    def read(self, rng):
        """Return all objects, in mode STALE those of a random past state."""
        if self.mode is StoreMode.STALE:
            return self.states[-rng.randint(1, min(40, len(self.states)))]
        return self.states[-1]


@dataclass(eq=False)
class Process:
    """One process of a node and the messages that it published.

    ``sendable`` has the searchers that its newest placement lets it send to
    while it is current, ``deferred`` the events that arrived in a pause.
    """

    name: str
    state: PlacementState
    clock_offset_s: float
    clock_rate: float
    paused: bool = False
    alive: bool = True
    store_disconnected: bool = False
    deferred: list = field(default_factory=list)
    placement: object = None
    current_until: float = INFINITE_PAST
    epochs: list = field(default_factory=list)
    answers: list = field(default_factory=list)
    sendable: frozenset = frozenset()
    joined_incarnations: set = field(default_factory=set)
    removed_incarnations: set = field(default_factory=set)

    def clock(self, now):
        """Return the monotonic time of the process."""
        return self.clock_offset_s + self.clock_rate * now

    def is_current(self, now):
        """Return True if the process may send new work."""
        return self.alive and self.clock(now) < self.current_until


class Violation(AssertionError):
    """A safety property does not hold."""


class Cluster:
    """Runs processes; checks the safety properties after every event.

    ``delay_s`` is the longest delay of a message between nodes, ``release_s``
    the longest time until a process has released the searchers it lost.
    """

    def __init__(self, seed=0, release_s=0.5):
        self.rng = Random(seed)
        self.now = 0.0
        self.store = SimulatedStore()
        self.processes = []
        self.partitions = set()
        self.loss_rate = 0.0
        self.delay_s = 0.01
        self.release_s = release_s
        self.queue = []
        self.event_count = 0
        self.started_count = 0
        self.log = []

    # Control

    def start(self, name, dc="dc", address=None):
        """Start a process under a node name."""
        self.started_count += 1
        incarnation = f"{name}#{self.started_count}"
        address = address or f"{name}@{self.started_count}"
        member = Member(name, incarnation, dc, address)
        seeds = tuple(sorted({p.name for p in self.processes} - {name}))
        process = Process(
            name,
            initial_state(member, seeds),
            clock_offset_s=self.rng.uniform(0, 1000),
            clock_rate=self.rng.uniform(0.98, 1.02),
        )
        self.processes.append(process)
        self._schedule(
            self.rng.uniform(0, TICK_INTERVAL_S), self._tick, process
        )
        self._schedule(0.0, self._read_tickets, process)
        return process

    def kill(self, process):
        """End a process; it leaves its lease behind."""
        process.alive = False
        process.current_until = INFINITE_PAST

    def pause(self, process):
        """Stop a process; all events but ticks wait until it resumes."""
        process.paused = True

    def resume(self, process):
        """Continue a process and deliver its events in random order."""
        process.paused = False
        events, process.deferred = process.deferred, []
        self.rng.shuffle(events)
        for event in events:
            self._deliver(process, event)

    def post_event(self, process, event):
        """Deliver an event or a request of another task to a process."""
        self._deliver(process, event)

    def partition(self, a, b):
        """Lose all messages between two nodes."""
        self.partitions.add(frozenset((a, b)))

    def heal(self):
        """End all partitions, also those between nodes and the store."""
        self.partitions.clear()
        for process in self.processes:
            process.store_disconnected = False

    def alive(self):
        return [p for p in self.processes if p.alive]

    def run(self, seconds):
        """Handle everything that is due within this virtual time."""
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, call, args = heapq.heappop(self.queue)
            call(*args)
        self.now = end
        self.check()

    # Events

    def _schedule(self, delay, call, *args):
        self.event_count += 1
        heapq.heappush(
            self.queue, (self.now + delay, self.event_count, call, args)
        )

    def _tick(self, process):
        if not process.alive:
            return
        due = process.clock(self.now) >= tick_due(process.state)
        if due and not process.paused:
            self._deliver(process, Tick())
        self._schedule(TICK_INTERVAL_S, self._tick, process)

    def _read_tickets(self, process):
        if not process.alive:
            return
        if not process.paused and self._reachable(process):
            event = TicketsUpToDate(process.clock(self.now))
            self._schedule(self._store_delay(), self._deliver, process, event)
        self._schedule(1.0, self._read_tickets, process)

    def _deliver(self, process, event):
        if not process.alive:
            return
        if process.paused:
            if not isinstance(event, Tick):
                process.deferred.append(event)
            return
        local_time = process.clock(self.now)
        process.state, actions = step(
            process.state, event, local_time, self.rng
        )
        for action in actions:
            self._perform(process, action, event)
        self.check()

    def _perform(self, process, action, event):
        match action:
            case SendReply(message):
                self._send(process, event.node, message)
            case Publish(PlacementChanged(placement)):
                self._on_placement(process, placement)
            case Publish(CurrentUntil(current_until)):
                process.current_until = current_until
            case Publish():
                pass
            case SendPeer(node, message):
                self._send(process, node, message)
            case LogLine(text):
                self.log.append((round(self.now, 2), process.name, text))
            case ReadMembership() | ReadLeases():
                self._read(process, action)
            case WriteLease() | WriteMembership():
                self._write(process, action)
            case DeleteLease(node, version):
                self.store.delete(node, version)
                self._schedule(0.01, self._deliver, process, LeaseDeleted())
            case _:
                process.answers.append(action)

    def _on_placement(self, process, placement):
        epoch = placement.membership.epoch
        if process.epochs and epoch < process.epochs[-1]:
            raise Violation(f"epoch of {process.name} went back to {epoch}")
        self._record_membership(process, placement)
        process.placement = placement
        process.sendable = frozenset(
            s for s in SEARCHERS if may_send_to(placement, s)
        )
        if not process.epochs or epoch > process.epochs[-1]:
            process.epochs.append(epoch)
            delay = self.rng.uniform(0, self.release_s)
            self._schedule(delay, self._release_epoch, process, epoch)

    def _record_membership(self, process, placement):
        members = {m.incarnation for m in placement.membership.members}
        process.removed_incarnations |= process.joined_incarnations - members
        process.joined_incarnations |= members & {placement.incarnation}

    def _release_epoch(self, process, epoch):
        if epoch == process.epochs[-1]:
            self._deliver(process, EpochReleased(epoch))

    def _send(self, process, node, message):
        receivers = [p for p in self.alive() if p.name == node]
        if not receivers or self.rng.random() < self.loss_rate:
            return
        if frozenset((process.name, node)) in self.partitions:
            return
        delay = self.rng.uniform(0.001, self.delay_s)
        received = PeerMessage(process.name, message)
        self._schedule(
            delay, self._deliver, self.rng.choice(receivers), received
        )

    # Store

    def _reachable(self, process):
        return (
            self.store.mode is not StoreMode.DOWN
            and not process.store_disconnected
        )

    def _store_delay(self):
        slow = self.store.mode is StoreMode.SLOW
        return self.rng.uniform(0.001, 4.0 if slow else 0.01)

    def _read(self, process, action):
        failed = ReadFailed(action)
        delay = self._store_delay()
        if not self._reachable(process) or delay > STORE_TIMEOUT_S:
            self._schedule(
                min(delay, STORE_TIMEOUT_S), self._deliver, process, failed
            )
            return
        objects = self.store.read(self.rng)
        match action:
            case ReadMembership():
                value, version = objects.get("membership", (None, ""))
                event = MembershipRead(value, version)
            case ReadLeases():
                event = LeasesRead(
                    tuple(
                        StoredLease(value, version)
                        for name, (value, version) in objects.items()
                        if name != "membership"
                    )
                )
        self._schedule(delay, self._deliver, process, event)

    def _write(self, process, action):
        delay = self._store_delay() / 2
        local_time = process.clock(self.now)
        answered = [False]
        lost = self.store.mode is StoreMode.LOSSY and self.rng.random() < 0.5
        if self._reachable(process):
            request = (process, action, local_time, lost, answered, delay)
            self._schedule(delay, self._apply_write, *request)
        timed_out = (local_time, WriteOutcome.UNKNOWN, "", answered)
        self._schedule(
            STORE_TIMEOUT_S, self._answer_write, process, action, *timed_out
        )

    def _apply_write(self, process, action, local_time, lost, answered, delay):
        match action:
            case WriteLease(lease, version):
                name, value = lease.node, lease
            case WriteMembership(membership, version):
                name, value = "membership", membership
        outcome, new = self.store.write(name, value, version)
        if not lost:
            answer = (local_time, outcome, new, answered)
            self._schedule(delay, self._answer_write, process, action, *answer)

    def _answer_write(
        self, process, action, local_time, outcome, new, answered
    ):
        if answered[0]:
            return
        answered[0] = True
        match action:
            case WriteLease(lease):
                event = LeaseWritten(lease, local_time, outcome, new)
            case WriteMembership(membership):
                event = MembershipWritten(membership, outcome, new)
        self._deliver(process, event)

    # Properties

    def check(self):
        """Raise if two processes may send to the same searcher.

        An incarnation that was removed must not be current either.

        :raises Violation: one of the two is the case
        """
        active = {}
        for process in self.processes:
            if not process.is_current(self.now):
                continue
            incarnation = process.state.local.incarnation
            if incarnation in process.removed_incarnations:
                raise Violation(f"{incarnation} is current after removal")
            for searcher in process.sendable:
                other = active.setdefault(searcher, process)
                if other is not process:
                    raise Violation(
                        f"{searcher} has two owners at {self.now:.2f}: "
                        f"{self.describe(other)} and "
                        f"{self.describe(process)}"
                    )

    def describe(self, process):
        """Return the epoch and remaining time of a process, for failures."""
        return (
            f"{process.placement.incarnation} in epoch "
            f"{process.placement.membership.epoch} until "
            f"{process.current_until - process.clock(self.now):+.2f} s"
        )

    def serving(self):
        """Return the searchers that some process may send to now."""
        return frozenset().union(
            *(p.sendable for p in self.alive() if p.is_current(self.now))
        )


def started_cluster(count, seed=0, **options):
    """Return a cluster whose nodes have joined and serve all searchers."""
    cluster = Cluster(seed, **options)
    for i in range(count):
        cluster.start(f"n{i}", dc=f"dc{i % 3}")
    cluster.run(40.0)
    return cluster
