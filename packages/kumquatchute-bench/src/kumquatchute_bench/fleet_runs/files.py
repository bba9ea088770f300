"""Reads descriptions of deployments and days from YAML files."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import yaml

from kumquatchute_standins.platform.controls import LoseAnswers
from kumquatchute_standins.platform.controls import SetDelay
from kumquatchute_standins.platform.controls import SetDown
from kumquatchute_standins.platform.controls import SetRate
from kumquatchute_standins.platform.controls import SilenceWatches
from kumquatchute_standins.platform.fleet import disturbances as ds
from kumquatchute_standins.platform.fleet.proxy import LinkFaults
from kumquatchute_standins.platform.fleet.searcher import SearcherFaults
from kumquatchute_standins.platform.fleet.site import Shape

# More writes than a node makes while a disturbance lasts.
EVERY_WRITE = 1_000
MS_PER_S = 1000


class DescriptionError(ValueError):
    """A file is not a valid description of a deployment or a day."""


@dataclass(frozen=True, slots=True)
class Deployment:
    """The emulated deployment and its load.

    :param per_s: queries per second over all nodes
    """

    shape: Shape
    per_s: float


@dataclass(frozen=True, slots=True)
class Day:
    """The disturbances of a run.

    :param length_s: time for which queries are sent, in seconds
    """

    length_s: float
    steps: tuple[ds.Step, ...]


class _Deployment(msgspec.Struct, forbid_unknown_fields=True):
    nodes: tuple[str, ...]
    shards: int
    replicas: tuple[str, ...]
    per_s: float
    singles: tuple[str, ...] = ("a",)
    proxied: bool = True
    descriptors: int | None = None


class _Step(msgspec.Struct, forbid_unknown_fields=True):
    at: float
    kind: str
    for_s: float = 1.0
    node: int = 0
    searcher: int = 0
    link: int = 0
    data_centre: str = ""
    delay_ms: float = 100.0


class _Day(msgspec.Struct, forbid_unknown_fields=True):
    length_s: float
    steps: tuple[_Step, ...] = ()


def read_deployment(path: Path) -> Deployment:
    """Read the description of a deployment.

    :raises DescriptionError: the file cannot be read or is not valid
    """
    description = _read_yaml(path, _Deployment)
    if (
        description.shards < 1
        or not description.nodes
        or description.per_s <= 0
    ):
        raise DescriptionError(
            f"{path}: nodes must not be empty, and shards and per_s must be"
            " positive"
        )
    shape = Shape(
        description.nodes,
        description.shards,
        description.replicas,
        description.singles,
        description.proxied,
        description.descriptors,
    )
    return Deployment(shape, description.per_s)


def read_day(path: Path) -> Day:
    """Read the description of a day.

    :raises DescriptionError: the file cannot be read or is not valid
    """
    description = _read_yaml(path, _Day)
    steps = []
    for step in sorted(description.steps, key=lambda step: step.at):
        disturbance = _build_disturbance(step)
        if disturbance is None:
            raise DescriptionError(
                f"{path}: unknown kind of step: {step.kind}"
            )
        steps.append(ds.Step(step.at, step.for_s, disturbance))
    return Day(description.length_s, tuple(steps))


def check_indexes(day: Day, nodes: int, searchers: int, links: int) -> None:
    """Check that a day disturbs only what a deployment has.

    :param nodes: number of nodes
    :param searchers: number of searchers
    :param links: number of links

    :raises DescriptionError: an index is out of range
    """
    for step in day.steps:
        match step.disturbance:
            case ds.SetLinkFaults(link=index) | ds.ResetLink(link=index):
                count = links
            case (
                ds.SetSearcherFaults(searcher=index)
                | ds.CrashSearcher(searcher=index)
                | ds.DrainSearcher(searcher=index)
                | ds.LimitSearcher(searcher=index)
            ):
                count = searchers
            case (
                ds.PauseNode(node=index)
                | ds.KillNode(node=index)
                | ds.StopNode(node=index)
                | ds.ReloadNode(node=index)
            ):
                count = nodes
            case _:
                continue
        if not 0 <= index < count:
            raise DescriptionError(
                f"the step at {step.at:g} s refers to number {index} of"
                f" {count}; numbers start at 0"
            )


def _read_yaml(path: Path, kind: type) -> Any:
    try:
        content = yaml.safe_load(path.read_text(encoding="utf-8"))
        return msgspec.convert(content, kind)
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as exc:
        raise DescriptionError(f"{path}: {exc}") from exc


def _build_disturbance(step: _Step) -> ds.Disturbance | None:
    match step.kind.partition("_"):
        case ("store", _, variant):
            return _store_disturbance(variant, step)
        case ("link", _, variant):
            return _link_disturbance(variant, step)
        case ("searcher", _, variant):
            return _searcher_disturbance(variant, step)
        case ("node", _, variant):
            return _node_disturbance(variant, step)
    match step.kind:
        case "change_manifest":
            return ds.ChangeManifest()
        case "evacuate":
            return ds.Evacuate(step.data_centre)
    return None


def _store_disturbance(variant: str, step: _Step) -> ds.Disturbance | None:
    match variant:
        case "down":
            return ds.SetStoreFault(SetDown())
        case "refuses":
            return ds.SetStoreFault(SetRate(0.0, 0.0))
        case "slow":
            return ds.SetStoreFault(SetDelay(step.delay_ms))
        case "loses_answers":
            return ds.SetStoreFault(LoseAnswers(EVERY_WRITE))
        case "silences_watches":
            return ds.SetStoreFault(SilenceWatches())
        case "forgets_history":
            return ds.DropHistory()
    return None


def _link_disturbance(variant: str, step: _Step) -> ds.Disturbance | None:
    match variant:
        case "slow":
            faults = LinkFaults(delay_s=step.delay_ms / MS_PER_S)
        case "silent":
            faults = LinkFaults(drop_requests=True, drop_answers=True)
        case "one_way":
            faults = LinkFaults(drop_answers=True)
        case "refused":
            faults = LinkFaults(refuse=True)
        case "reset":
            return ds.ResetLink(step.link)
        case _:
            return None
    return ds.SetLinkFaults(step.link, faults)


def _searcher_disturbance(variant: str, step: _Step) -> ds.Disturbance | None:
    match variant:
        case "slow":
            faults = SearcherFaults(delay_s=step.delay_ms / MS_PER_S)
        case "silent":
            faults = SearcherFaults(silent=True)
        case "sheds":
            faults = SearcherFaults(shed=True)
        case "fails":
            faults = SearcherFaults(fail=True)
        case "cuts_answers":
            faults = SearcherFaults(cut_answer=True)
        case "answers_twice":
            faults = SearcherFaults(second_answer=True)
        case "crashes":
            return ds.CrashSearcher(step.searcher)
        case "drains":
            return ds.DrainSearcher(step.searcher)
        case _:
            return None
    return ds.SetSearcherFaults(step.searcher, faults)


def _node_disturbance(variant: str, step: _Step) -> ds.Disturbance | None:
    match variant:
        case "pauses":
            return ds.PauseNode(step.node)
        case "killed":
            return ds.KillNode(step.node)
        case "stops":
            return ds.StopNode(step.node)
        case "reloads":
            return ds.ReloadNode(step.node)
    return None
