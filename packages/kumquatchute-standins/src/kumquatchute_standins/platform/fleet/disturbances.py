"""Disturbances of a site of real nodes, and when they happen."""

from dataclasses import dataclass

from kumquatchute_standins.platform.controls import Fault
from kumquatchute_standins.platform.fleet.answer_faults import AnswerDraw
from kumquatchute_standins.platform.fleet.proxy import LinkFaults
from kumquatchute_standins.platform.fleet.searcher import SearcherFaults


@dataclass(frozen=True, slots=True)
class SetStoreFault:
    """Set a fault of the store, then clear it."""

    fault: Fault


@dataclass(frozen=True, slots=True)
class DropHistory:
    """Drop the history of the store, so that nodes must list objects again."""


@dataclass(frozen=True, slots=True)
class SetLinkFaults:
    """Set faults of a link, then clear them.

    :param link: index of the link
    """

    link: int
    faults: LinkFaults


@dataclass(frozen=True, slots=True)
class ResetLink:
    """Reset all connections of a link."""

    link: int


@dataclass(frozen=True, slots=True)
class SetSearcherFaults:
    """Set faults of a searcher, then clear them.

    :param searcher: index of the searcher
    """

    searcher: int
    faults: SearcherFaults


@dataclass(frozen=True, slots=True)
class DisturbAnswers:
    """Draw faults for the answers of a searcher or of its service.

    Other faults of the searchers hold beside them.

    :param searcher: index of the searcher
    :param in_service: whether all searchers of its service are disturbed
    """

    searcher: int
    in_service: bool
    draw: AnswerDraw


@dataclass(frozen=True, slots=True)
class AbandonBodies:
    """Clients send a part of a request and leave inside its body.

    :param node: index of the node
    :param count: number of requests, one after another
    :param resets: whether the clients reset the connection
    """

    node: int
    count: int
    resets: bool


@dataclass(frozen=True, slots=True)
class CrashSearcher:
    """Crash a searcher and start it again cold."""

    searcher: int


@dataclass(frozen=True, slots=True)
class DrainSearcher:
    """Let a searcher announce that it drains, for the rest of the run.

    Its process stays up.
    """

    searcher: int


@dataclass(frozen=True, slots=True)
class LimitSearcher:
    """Let a searcher state a limit, for the rest of the run."""

    searcher: int
    limit_per_s: float


@dataclass(frozen=True, slots=True)
class PauseNode:
    """Pause the process of a node, then resume it."""

    node: int


@dataclass(frozen=True, slots=True)
class KillNode:
    """Kill a node and start it again."""

    node: int


@dataclass(frozen=True, slots=True)
class StopNode:
    """Stop a node as planned and start it again."""

    node: int


@dataclass(frozen=True, slots=True)
class ReloadNode:
    """Tell a node to reload its settings file."""

    node: int


@dataclass(frozen=True, slots=True)
class ChangeManifest:
    """Publish the next version of the manifest."""


@dataclass(frozen=True, slots=True)
class Evacuate:
    """Take a data centre out of service and return it."""

    data_centre: str


Disturbance = (
    SetStoreFault
    | DropHistory
    | SetLinkFaults
    | ResetLink
    | SetSearcherFaults
    | DisturbAnswers
    | AbandonBodies
    | CrashSearcher
    | DrainSearcher
    | LimitSearcher
    | PauseNode
    | KillNode
    | StopNode
    | ReloadNode
    | ChangeManifest
    | Evacuate
)


@dataclass(frozen=True, slots=True)
class Step:
    """A disturbance with its time.

    :param at: seconds from the start of the run
    :param for_s: seconds until it is ended; ignored by disturbances that are
        not ended, such as ``ResetLink``
    """

    at: float
    for_s: float
    disturbance: Disturbance
