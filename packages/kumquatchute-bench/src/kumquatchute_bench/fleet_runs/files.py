"""Reads the descriptions of a deployment and of a day, in YAML."""

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

# More than a node writes while a disturbance lasts.
EVERY_WRITE = 1_000
MS_PER_S = 1000


class DescriptionError(ValueError):
    """A file does not describe a deployment or a day."""


@dataclass(frozen=True, slots=True)
class Deployment:
    """What is emulated.

    :param per_s: queries per second in all
    """

    shape: Shape
    per_s: float


@dataclass(frozen=True, slots=True)
class Day:
    """What happens.

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

    :raises DescriptionError: it cannot be read or is none
    """
    read = _read(path, _Deployment)
    if read.shards < 1 or not read.nodes or read.per_s <= 0:
        raise DescriptionError(f"{path}: nodes, shards and per_s are needed")
    shape = Shape(
        read.nodes,
        read.shards,
        read.replicas,
        read.singles,
        read.proxied,
        read.descriptors,
    )
    return Deployment(shape, read.per_s)


def read_day(path: Path) -> Day:
    """Read the description of a day.

    :raises DescriptionError: it cannot be read or is none
    """
    read = _read(path, _Day)
    steps = []
    for step in sorted(read.steps, key=lambda step: step.at):
        what = _disturbance(step)
        if what is None:
            raise DescriptionError(f"{path}: unknown kind {step.kind}")
        steps.append(ds.Step(step.at, step.for_s, what))
    return Day(read.length_s, tuple(steps))


def check_numbers(day: Day, nodes: int, searchers: int, links: int) -> None:
    """Check that a day disturbs only what a deployment has.

    :raises DescriptionError: a number is too large
    """
    for step in day.steps:
        match step.disturbance:
            case ds.SetLinkFaults(link=number) | ds.ResetLink(link=number):
                most = links
            case (
                ds.SetSearcherFaults(searcher=number)
                | ds.CrashSearcher(searcher=number)
                | ds.DrainSearcher(searcher=number)
            ):
                most = searchers
            case (
                ds.PauseNode(node=number)
                | ds.KillNode(node=number)
                | ds.StopNode(node=number)
                | ds.ReloadNode(node=number)
            ):
                most = nodes
            case _:
                continue
        if not 0 <= number < most:
            raise DescriptionError(
                f"the step at {step.at:g} s names number {number} of {most}"
            )


def _read(path: Path, kind: type) -> Any:
    try:
        content = yaml.safe_load(path.read_text(encoding="utf-8"))
        return msgspec.convert(content, kind)
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as exc:
        raise DescriptionError(f"{path}: {exc}") from exc


def _disturbance(step: _Step) -> ds.Disturbance | None:
    match step.kind.partition("_"):
        case ("store", _, what):
            return _store(what, step)
        case ("link", _, what):
            return _link(what, step)
        case ("searcher", _, what):
            return _searcher(what, step)
        case ("node", _, what):
            return _node(what, step)
    match step.kind:
        case "change_manifest":
            return ds.ChangeManifest()
        case "evacuate":
            return ds.Evacuate(step.data_centre)
    return None


def _store(what: str, step: _Step) -> ds.Disturbance | None:
    match what:
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


def _link(what: str, step: _Step) -> ds.Disturbance | None:
    match what:
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


def _searcher(what: str, step: _Step) -> ds.Disturbance | None:
    match what:
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


def _node(what: str, step: _Step) -> ds.Disturbance | None:
    match what:
        case "pauses":
            return ds.PauseNode(step.node)
        case "killed":
            return ds.KillNode(step.node)
        case "stops":
            return ds.StopNode(step.node)
        case "reloads":
            return ds.ReloadNode(step.node)
    return None
