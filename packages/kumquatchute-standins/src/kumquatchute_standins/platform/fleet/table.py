"""Objects of the store stand-in, their revisions and history."""

from dataclasses import dataclass
from dataclasses import replace

# Changes that a watch can continue from.
HISTORY = 1_000


@dataclass(frozen=True, slots=True)
class Change:
    """A change of an object; ``item`` is its last state if removed."""

    revision: int
    kind: str
    name: str
    item: dict
    removed: bool


@dataclass(frozen=True, slots=True)
class Table:
    """All objects by kind and name.

    :param floor: oldest revision from which a watch can continue
    """

    revision: int = 1
    floor: int = 0
    items: tuple[tuple[tuple[str, str], dict], ...] = ()
    history: tuple[Change, ...] = ()


@dataclass(frozen=True, slots=True)
class Result:
    """Answer to a call: HTTP status and content."""

    status: int
    content: dict


def put(table: Table, kind: str, name: str, spec: object) -> Table:
    """Create or replace an object; no change if it says the same."""
    items = dict(table.items)
    present = items.get((kind, name))
    if present is not None and present["spec"] == spec:
        return table
    revision = table.revision + 1
    created = revision if present is None else present["meta"]["created"]
    meta = {
        "name": name,
        "revision": revision,
        "created": created,
        "finalizers": [],
        "deleting": False,
    }
    item = {"meta": meta, "spec": spec, "status": None}
    items[kind, name] = item
    return _with(table, items, Change(revision, kind, name, item, False))


def remove(table: Table, kind: str, name: str) -> Table:
    """Remove an object."""
    items = dict(table.items)
    item = items.pop((kind, name), None)
    if item is None:
        return table
    revision = table.revision + 1
    return _with(table, items, Change(revision, kind, name, item, True))


def drop_history(table: Table) -> Table:
    """Forget all changes, so that watches must begin anew."""
    return replace(table, floor=table.revision, history=())


def create(table: Table, kind: str, body: dict) -> tuple[Table, Result]:
    """Handle a creation."""
    name = body["meta"]["name"]
    present = dict(table.items).get((kind, name))
    if present is not None:
        return table, Result(409, present)
    table = put(table, kind, name, body.get("spec"))
    return table, Result(201, dict(table.items)[kind, name])


def update(
    table: Table, kind: str, name: str, body: dict
) -> tuple[Table, Result]:
    """Handle a replacement under the condition of its revision."""
    present = dict(table.items).get((kind, name))
    if present is None:
        return table, Result(404, {})
    expected = body.get("meta", {}).get("revision")
    if expected not in (None, present["meta"]["revision"]):
        return table, Result(409, present)
    table = put(table, kind, name, body.get("spec"))
    return table, Result(200, dict(table.items)[kind, name])


def list_kind(table: Table, kind: str, after: str, page: int) -> Result:
    """Handle a list: one page of the objects behind a name."""
    names = sorted(
        name for at, name in dict(table.items) if at == kind and name > after
    )
    items = dict(table.items)
    return Result(
        200,
        {
            "items": [items[kind, name] for name in names[:page]],
            "hasMore": len(names) > page,
            "asOf": table.revision,
        },
    )


def changes_after(table: Table, kind: str, revision: int) -> Result | None:
    """Handle a watch; None if it must wait."""
    if revision < table.floor:
        return Result(410, {})
    events = [
        {"removed": change.removed, "object": change.item}
        for change in table.history
        if change.kind == kind and change.revision > revision
    ]
    if not events:
        return None
    return Result(200, {"events": events, "asOf": table.revision})


def _with(table: Table, items: dict, change: Change) -> Table:
    history = (*table.history, change)
    floor = table.floor
    if len(history) > HISTORY:
        floor = history[0].revision
        history = history[1:]
    return Table(change.revision, floor, tuple(items.items()), history)
