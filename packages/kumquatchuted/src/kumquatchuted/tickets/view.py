"""Tickets applied to a view, and the lookup of names in it.

The functions are pure. Applying a ticket costs time in proportion to the keys
it touches, plus one shallow copy of each mapping it changes.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
from types import MappingProxyType
import unicodedata

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.ticket import DcState
from kumquatchute_model.ticket import HostState
from kumquatchute_model.ticket import NameState
from kumquatchute_model.ticket import SettingState
from kumquatchute_model.ticket import Ticket
from kumquatchute_model.ticket import TicketEntry
from kumquatchuted.tickets.messages import View


def fold(spelling: str) -> str:
    """Return the form in which spellings are compared.

    Case and runs of white space do not matter. NFC makes composed and
    decomposed letters equal, which callers' keyboards mix.
    """
    text = unicodedata.normalize("NFC", " ".join(spelling.split()))
    return unicodedata.normalize("NFC", text.casefold())


def find_spellings(view: View, spelling: str) -> tuple[str, ...]:
    """Return all spellings of the names to which a spelling belongs.

    :param view: view to which the query is pinned
    :param spelling: what the caller typed
    :returns: the spellings; only the typed one if no ticket names it
    """
    found = view.names.get(fold(spelling))
    return found if found else (" ".join(spelling.split()),)


def apply_tickets(view: View, tickets: Iterable[Ticket]) -> View | Failure:
    """Apply tickets in order.

    Tickets up to the number of the view are passed over, so that a view
    never goes back.

    :returns: the new view, or ``TICKET_GAP`` if a ticket is missing, or
        ``TICKET_CONFLICT`` if a ticket does not continue the chain; then no
        ticket is applied
    """
    number, digest = view.number, view.digest
    entries: list[TicketEntry] = []
    for ticket in tickets:
        if ticket.number <= number:
            continue
        if fault := check_chain(number, digest, ticket):
            return fault
        number, digest = ticket.number, ticket.digest()
        entries.extend(ticket.entries)
    if number == view.number:
        return view
    return replace(_change(view, entries), number=number, digest=digest)


def check_chain(number: int, digest: str, ticket: Ticket) -> Failure | None:
    """Check that a ticket follows the one with this number and digest."""
    if ticket.number != number + 1:
        return Failure(
            ErrorKind.TICKET_GAP,
            f"ticket {number + 1} is missing before ticket {ticket.number}",
            not_run=True,
        )
    if ticket.prev != digest:
        return Failure(
            ErrorKind.TICKET_CONFLICT,
            f"ticket {ticket.number} follows another ticket {number} "
            f"(digest {ticket.prev or 'none'}) than ours "
            f"(digest {digest or 'none'})",
            not_run=True,
        )
    return None


def state_of(view: View, entry: TicketEntry) -> TicketEntry | None:
    """Return what stands in the view for the key of an entry.

    :returns: the state, or None if no ticket has set a name or setting
    """
    match entry:
        case NameState(name=name):
            aliases = view.aliases.get(name)
            return None if aliases is None else NameState(name, aliases)
        case DcState(dc=dc):
            return DcState(dc, dc not in view.dcs_out)
        case HostState(host=host):
            return HostState(host, host not in view.hosts_out)
        case SettingState(service=service, key=key):
            value = view.settings.get((service, key))
            return None if value is None else SettingState(service, key, value)


def entries_of(view: View) -> tuple[TicketEntry, ...]:
    """Return entries that produce the view, in a fixed order."""
    return (
        *(NameState(*item) for item in sorted(view.aliases.items())),
        *(DcState(dc, False) for dc in sorted(view.dcs_out)),
        *(HostState(host, False) for host in sorted(view.hosts_out)),
        *(
            SettingState(service, key, value)
            for (service, key), value in sorted(view.settings.items())
        ),
    )


def build(number: int, digest: str, entries: Iterable[TicketEntry]) -> View:
    """Return the view after ticket ``number`` from its entries."""
    return replace(
        _change(View(), list(entries)), number=number, digest=digest
    )


@dataclass(frozen=True)
class _Names:
    """Working copies of the three name mappings.

    :param joined: spellings by owners; folded spellings with the same owners
        share one tuple, without which a name with many aliases would take
        memory in proportion to the square of their number
    """

    aliases: dict[str, tuple[str, ...]]
    owners: dict[str, tuple[str, ...]]
    names: dict[str, tuple[str, ...]]
    joined: dict[tuple[str, ...], tuple[str, ...]]


def _change(view: View, entries: list[TicketEntry]) -> View:
    """Return the view with the whole new state of each entry's key."""
    # Later entries for a key replace earlier ones, so that only the last
    # state of a name is indexed.
    named: dict[str, tuple[str, ...]] = {}
    dcs_out = set(view.dcs_out)
    hosts_out = set(view.hosts_out)
    settings = dict(view.settings)
    for entry in entries:
        match entry:
            case NameState(name=name, aliases=aliases):
                named[name] = aliases
            case DcState(dc=dc, in_service=in_service):
                _set_out(dcs_out, dc, in_service)
            case HostState(host=host, in_service=in_service):
                _set_out(hosts_out, host, in_service)
            case SettingState(service=service, key=key, value=value):
                settings[(service, key)] = value
    changed = replace(
        view,
        dcs_out=frozenset(dcs_out),
        hosts_out=frozenset(hosts_out),
        settings=MappingProxyType(settings),
    )
    return _rename(changed, named) if named else changed


def _set_out(out: set[str], name: str, in_service: bool) -> None:
    if in_service:
        out.discard(name)
    else:
        out.add(name)


def _rename(view: View, named: Mapping[str, tuple[str, ...]]) -> View:
    work = _Names(
        _copy(view.aliases), _copy(view.owners), _copy(view.names), {}
    )
    touched: set[str] = set()
    for name, aliases in named.items():
        touched |= _disown(work, name)
        work.aliases[name] = aliases
        touched |= _own(work, name)
    for key in touched:
        _index(work, key)
    return replace(
        view,
        aliases=MappingProxyType(work.aliases),
        owners=MappingProxyType(work.owners),
        names=MappingProxyType(work.names),
    )


def _copy(mapping: Mapping) -> dict:
    """Return a copy of a mapping of a view.

    The method copies the dict behind the proxy at once; ``dict(mapping)``
    looks up each key, which blocks the event loop 20 times as long.
    """
    return mapping.copy()


def _keys(work: _Names, name: str) -> set[str]:
    """Return the folded spellings of a name."""
    return {fold(text) for text in (name, *work.aliases.get(name, ()))}


def _disown(work: _Names, name: str) -> set[str]:
    if name not in work.aliases:
        return set()
    keys = _keys(work, name)
    for key in keys:
        work.owners[key] = tuple(
            owner for owner in work.owners[key] if owner != name
        )
    return keys


def _own(work: _Names, name: str) -> set[str]:
    keys = _keys(work, name)
    for key in keys:
        work.owners[key] = tuple(sorted({name, *work.owners.get(key, ())}))
    return keys


def _index(work: _Names, key: str) -> None:
    """Set the spellings that a folded spelling finds."""
    owners = work.owners[key]
    if not owners:
        del work.owners[key]
        work.names.pop(key, None)
        return
    if owners not in work.joined:
        spellings = dict.fromkeys(
            spelling
            for owner in owners
            for spelling in (owner, *work.aliases[owner])
        )
        work.joined[owners] = tuple(spellings)
    work.names[key] = work.joined[owners]
