"""What the task of searchers derives from the known searchers and nodes."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from kumquatchuted.membership.messages import Node
from kumquatchuted.membership.messages import RegisteredSearcher
from kumquatchuted.membership.messages import SearcherState


def group_usable(
    searchers: Iterable[RegisteredSearcher], evacuated: Collection[str]
) -> dict[str, list[RegisteredSearcher]]:
    """Return the searchers that may receive requests, by service.

    :param evacuated: data centres that receive no new work
    """
    usable: dict[str, list[RegisteredSearcher]] = {}
    for searcher in searchers:
        is_ready = searcher.state is SearcherState.READY
        if is_ready and searcher.data_centre not in evacuated:
            usable.setdefault(searcher.service, []).append(searcher)
    return usable


def locate_nodes(
    nodes: Mapping[str, Node], own_name: str, own_dc: str
) -> dict[str, str]:
    """Return the data centre of each node, this one included, by name."""
    node_dcs = {name: node.data_centre for name, node in nodes.items()}
    return {**node_dcs, own_name: own_dc}


def find_ended(
    former: Mapping[str, RegisteredSearcher],
    searchers: Mapping[str, RegisteredSearcher],
) -> set[str]:
    """Return the names of searchers whose former processes have ended.

    They were removed, or another process has taken over their name.
    """
    return {
        name
        for name, searcher in former.items()
        if name not in searchers or _is_restarted(searcher, searchers[name])
    }


def _is_restarted(
    former: RegisteredSearcher, searcher: RegisteredSearcher
) -> bool:
    return former.started_ms != searcher.started_ms or (
        (former.host, former.port) != (searcher.host, searcher.port)
    )
