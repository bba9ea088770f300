"""Renders results as text for people or as JSON for programs."""

from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec

from kumquatchute.explain import Explanation
from kumquatchute.results import LogUnreadable
from kumquatchute.results import NodeStatuses
from kumquatchute.results import NodeStatusResult
from kumquatchute.results import Result
from kumquatchute.results import SettingsChecked
from kumquatchute.results import TicketAccepted
from kumquatchute.results import TicketDetails
from kumquatchute.results import TicketList
from kumquatchute_model.errors import ERROR_STATUSES
from kumquatchute_model.errors import ExitStatus
from kumquatchute_model.errors import Failure
from kumquatchute_model.query import Hit
from kumquatchute_model.query import SearchAnswer
from kumquatchute_model.search_codec import encode_search_answer
from kumquatchute_model.status import NodeStatus
from kumquatchute_model.ticket import DcState
from kumquatchute_model.ticket import HostState
from kumquatchute_model.ticket import NameState
from kumquatchute_model.ticket import SettingState
from kumquatchute_model.ticket import Ticket
from kumquatchute_model.ticket import TicketEntry
from kumquatchute_model.ticket_codec import ticket_to_wire

MAX_ALIASES_SHOWN = 10


class OutputFormat(Enum):
    """Format of the output."""

    TEXT = "text"
    JSON = "json"


@dataclass(frozen=True)
class Rendered:
    """Texts for standard output and standard error."""

    out: str = ""
    err: str = ""


def render(result: Result, output_format: OutputFormat) -> Rendered:
    """Return the texts to print for a result."""
    match output_format:
        case OutputFormat.JSON:
            document = msgspec.json.encode(_to_builtins(result))
            return Rendered(out=document.decode())
        case OutputFormat.TEXT:
            text = "\n".join(
                map(_replace_control_characters, _format_result(result))
            )
            if isinstance(result, Failure):
                return Rendered(err=text)
            return Rendered(out=text)


def get_exit_status(result: Result) -> ExitStatus:
    """Return the exit status of a result.

    If several nodes failed, it is the highest exit status of their failures.
    """
    match result:
        case Failure(kind=kind):
            return ERROR_STATUSES[kind].exit_status
        case SettingsChecked(faults=faults) if faults:
            return ExitStatus.USAGE
        case LogUnreadable():
            return ExitStatus.USAGE
        case Explanation(lines=()):
            return ExitStatus.REFUSED
        case NodeStatuses(nodes=nodes):
            failures = (
                n.status for n in nodes if isinstance(n.status, Failure)
            )
            return max(
                map(get_exit_status, failures), default=ExitStatus.SUCCESS
            )
        case _:
            return ExitStatus.SUCCESS


def _to_builtins(result: Result | NodeStatusResult) -> Any:
    match result:
        case Failure():
            return {"error": result}
        case TicketAccepted(number=number, digest=digest, recovered=recovered):
            return {"number": number, "digest": digest, "recovered": recovered}
        case TicketDetails(ticket=ticket, held_by=held_by, accepted=accepted):
            wire = ticket_to_wire(ticket)
            return {"ticket": wire, "held_by": held_by, "accepted": accepted}
        case TicketList(tickets=tickets):
            return {"tickets": tuple(map(ticket_to_wire, tickets))}
        case NodeStatuses(nodes=nodes):
            return {"nodes": tuple(map(_to_builtins, nodes))}
        case NodeStatusResult(url=url, status=Failure() as failure):
            return {"url": url, "error": failure}
        case NodeStatusResult(url=url, status=status):
            return {"url": url, "status": status}
        case SearchAnswer():
            return msgspec.Raw(encode_search_answer(result))
        case SettingsChecked() | Explanation() | LogUnreadable():
            return result


def _format_result(result: Result) -> list[str]:
    match result:
        case Failure(reason=reason, not_run=not_run, kind=kind):
            effect = "nothing was changed" if not_run else "outcome not known"
            return [f"{kind.value}: {reason} ({effect})"]
        case TicketAccepted():
            return _format_accepted(result)
        case TicketDetails(ticket=ticket, held_by=held_by, accepted=accepted):
            state = "accepted" if accepted else "recorded, not yet accepted"
            held = ", ".join(held_by) or "no node yet"
            return [*_format_ticket(ticket), f"  {state}; held by {held}"]
        case TicketList(tickets=()):
            return ["no tickets"]
        case TicketList(tickets=tickets):
            return [line for t in tickets for line in _format_ticket(t)]
        case NodeStatuses(nodes=nodes):
            return [
                line for node in nodes for line in _format_node_result(node)
            ]
        case SearchAnswer():
            return _format_search_answer(result)
        case Explanation():
            return _format_explanation(result)
        case LogUnreadable(path=path, reason=reason):
            return [f"{path}: {reason}"]
        case SettingsChecked(path=path, faults=()):
            return [f"{path}: no faults"]
        case SettingsChecked(faults=faults):
            return list(faults)


def _format_explanation(result: Explanation) -> list[str]:
    lines = [
        " ".join(filter(None, (line.at, line.source, line.part, line.text)))
        for line in result.lines
    ]
    return [*lines, f"request {result.request_id}: {result.cause}"]


def _format_accepted(result: TicketAccepted) -> list[str]:
    prefix = "the answer was lost, but the log shows: " * result.recovered
    return [
        f"{prefix}ticket {result.number} is accepted, digest {result.digest}",
        *(f"  {_format_entry(entry)}" for entry in result.entries),
    ]


def _format_ticket(ticket: Ticket) -> list[str]:
    return [
        f"ticket {ticket.number} by {ticket.author}, digest {ticket.digest()}",
        *(f"  {_format_entry(entry)}" for entry in ticket.entries),
    ]


def _format_entry(entry: TicketEntry) -> str:
    match entry:
        case NameState(name=name, aliases=()):
            return f"name {name}: no aliases"
        case NameState(name=name, aliases=aliases):
            more = len(aliases) - MAX_ALIASES_SHOWN
            rest = f" and {more} more" if more > 0 else ""
            return (
                f"name {name}: {', '.join(aliases[:MAX_ALIASES_SHOWN])}{rest}"
            )
        case DcState(dc=dc, in_service=in_service):
            return f"data centre {dc}: {_format_in_service(in_service)}"
        case HostState(host=host, in_service=in_service):
            return f"host {host}: {_format_in_service(in_service)}"
        case SettingState(service=service, key=key, value=value):
            return f"setting {service} {key}: {value}"


def _format_in_service(in_service: bool) -> str:
    return "in service" if in_service else "out of service"


def _format_node_result(result: NodeStatusResult) -> list[str]:
    match result.status:
        case Failure(kind=kind, reason=reason):
            return [f"{result.url}: {kind.value}: {reason}"]
        case NodeStatus() as node:
            return _format_node_status(node)


def _format_node_status(node: NodeStatus) -> list[str]:
    ready = "ready" if node.ready else f"not ready: {node.reason}"
    current = "current" if node.current else "not current"
    members = ", ".join(member.node for member in node.members) or "none"
    lines = [
        f"node {node.node} on {node.host} in {node.dc}: {ready}, {current}",
        f"  ticket {node.ticket}, epoch {node.epoch}, members {members}",
    ]
    lists = (
        ("data centres out", node.dcs_out),
        ("hosts out", node.hosts_out),
        ("cold targets", node.cold_targets),
        ("leaving nodes", node.leaving_nodes),
        ("leaving targets", node.leaving_targets),
    )
    return lines + [
        f"  {label}: {', '.join(names)}" for label, names in lists if names
    ]


def _format_search_answer(answer: SearchAnswer) -> list[str]:
    coverage = answer.coverage
    snapshot = answer.snapshot
    if coverage.documents == coverage.total:
        coverage_text = f"complete: all {coverage.total} documents"
    else:
        coverage_text = (
            f"partial: {coverage.documents} of {coverage.total} documents"
            f" ({coverage.fraction:.1%}), missing shards "
            f"{', '.join(coverage.missing) or 'not named'}"
        )
    return [
        *(_format_hit(hit) for hit in answer.hits),
        f"{len(answer.hits)} hits for {', '.join(answer.names)}",
        coverage_text,
        f"index {snapshot.index_version}, map {snapshot.map_version}, "
        f"ticket {snapshot.ticket}",
    ]


def _format_hit(hit: Hit) -> str:
    return f"{hit.score:.3f}  {hit.name}  {hit.doc}  {hit.text}".rstrip()


def _replace_control_characters(line: str) -> str:
    """Replace control characters, which the terminal would interpret."""
    return "".join(c if c.isprintable() else "?" for c in line)
