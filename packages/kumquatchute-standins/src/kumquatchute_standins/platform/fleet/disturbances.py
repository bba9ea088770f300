"""What can be disturbed on a site of real nodes."""

from dataclasses import dataclass

from kumquatchute_standins.platform.controls import Fault
from kumquatchute_standins.platform.fleet.proxy import LinkFaults
from kumquatchute_standins.platform.fleet.searcher import SearcherFaults


@dataclass(frozen=True, slots=True)
class SetStoreFault:
    """The store misbehaves."""

    fault: Fault


@dataclass(frozen=True, slots=True)
class DropHistory:
    """The store forgets its history."""


@dataclass(frozen=True, slots=True)
class SetLinkFaults:
    """A link misbehaves, chosen by its number."""

    link: int
    faults: LinkFaults


@dataclass(frozen=True, slots=True)
class ResetLink:
    """All connections of a link are reset."""

    link: int


@dataclass(frozen=True, slots=True)
class SetSearcherFaults:
    """A searcher misbehaves, chosen by its number."""

    searcher: int
    faults: SearcherFaults


@dataclass(frozen=True, slots=True)
class CrashSearcher:
    """A searcher crashes and comes back cold."""

    searcher: int


@dataclass(frozen=True, slots=True)
class DrainSearcher:
    """A searcher announces that it leaves, and stays."""

    searcher: int


@dataclass(frozen=True, slots=True)
class PauseNode:
    """A node stands still."""

    node: int


@dataclass(frozen=True, slots=True)
class KillNode:
    """A node is killed and started again."""

    node: int


@dataclass(frozen=True, slots=True)
class StopNode:
    """A node is stopped as planned and started again."""

    node: int


@dataclass(frozen=True, slots=True)
class ReloadNode:
    """A node is told that its settings file has changed."""

    node: int


@dataclass(frozen=True, slots=True)
class ChangeManifest:
    """A manifest with another set of shards takes effect."""


@dataclass(frozen=True, slots=True)
class Evacuate:
    """A data centre is taken out and comes back."""

    data_centre: str


Disturbance = (
    SetStoreFault
    | DropHistory
    | SetLinkFaults
    | ResetLink
    | SetSearcherFaults
    | CrashSearcher
    | DrainSearcher
    | PauseNode
    | KillNode
    | StopNode
    | ReloadNode
    | ChangeManifest
    | Evacuate
)


@dataclass(frozen=True, slots=True)
class Step:
    """A disturbance and its time, in seconds from the start."""

    at: float
    for_s: float
    disturbance: Disturbance
