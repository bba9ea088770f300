"""Application of tickets to a view, and lookup of names in a view.

All functions are pure. Applying a ticket takes time proportional to the
number of keys that it changes, plus a shallow copy of each changed mapping.
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


def fold_spelling(spelling: str) -> str:
    """Return the form in which spellings are compared.

    Spellings that differ only in case or white space have the same form. NFC
    makes composed and decomposed letters equal, because callers' keyboards
    produce both.
    """
    text = unicodedata.normalize("NFC", " ".join(spelling.split()))
    return unicodedata.normalize("NFC", text.casefold())


def find_spellings(view: View, spelling: str) -> tuple[str, ...]:
    """Return all spellings of each name that has the given spelling.

    :param view: view that the query uses throughout
    :param spelling: spelling that the caller typed
    :returns: the spellings; only the typed one if no name has it
    """
    found = view.spellings.get(fold_spelling(spelling))
    return found if found else (" ".join(spelling.split()),)


def apply_tickets(view: View, tickets: Iterable[Ticket]) -> View | Failure:
    """Apply tickets in order.

    Tickets up to the number of the view are skipped, so that a view never
    goes back to older state.

    :returns: the new view, or ``TICKET_GAP`` if a ticket is missing, or
        ``TICKET_CONFLICT`` if a ticket does not continue the chain; then no
        ticket is applied
    """
    number, digest = view.number, view.digest
    entries: list[TicketEntry] = []
    for ticket in tickets:
        if ticket.number <= number:
            continue
        if failure := check_chain(number, digest, ticket):
            return failure
        number, digest = ticket.number, ticket.digest()
        entries.extend(ticket.entries)
    if number == view.number:
        return view
    return replace(_apply_entries(view, entries), number=number, digest=digest)


def check_chain(number: int, digest: str, ticket: Ticket) -> Failure | None:
    """Check that a ticket follows the one with this number and digest.

    :returns: None if it does, otherwise ``TICKET_GAP`` or ``TICKET_CONFLICT``
    """
    if ticket.number != number + 1:
        return Failure(
            ErrorKind.TICKET_GAP,
            f"ticket {number + 1} is missing before ticket {ticket.number}",
            not_run=True,
        )
    if ticket.prev != digest:
        return Failure(
            ErrorKind.TICKET_CONFLICT,
            f"ticket {ticket.number} does not follow ticket {number} of this "
            f"node: it names previous digest {ticket.prev or 'none'}, "
            f"expected {digest or 'none'}",
            not_run=True,
        )
    return None


def find_state(view: View, entry: TicketEntry) -> TicketEntry | None:
    """Return what the view holds for the key of an entry.

    :returns: the state, or None if no ticket set that name or setting
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


def list_entries(view: View) -> tuple[TicketEntry, ...]:
    """Return the entries that rebuild the view, in a fixed order."""
    return (
        *(NameState(*item) for item in sorted(view.aliases.items())),
        *(DcState(dc, False) for dc in sorted(view.dcs_out)),
        *(HostState(host, False) for host in sorted(view.hosts_out)),
        *(
            SettingState(service, key, value)
            for (service, key), value in sorted(view.settings.items())
        ),
    )


def build_view(
    number: int, digest: str, entries: Iterable[TicketEntry]
) -> View:
    """Return the view after ticket ``number`` from its entries."""
    return replace(
        _apply_entries(View(), list(entries)), number=number, digest=digest
    )


@dataclass(frozen=True)
class _NameMappings:
    """Mutable copies of the three name mappings of a view.

    :param shared: names to all their spellings. Folded spellings of the same
        names share one tuple; otherwise the memory of a name would grow with
        the square of its number of aliases
    """

    aliases: dict[str, tuple[str, ...]]
    names_by_spelling: dict[str, tuple[str, ...]]
    spellings: dict[str, tuple[str, ...]]
    shared: dict[tuple[str, ...], tuple[str, ...]]


def _apply_entries(view: View, entries: list[TicketEntry]) -> View:
    """Return the view in which each entry replaces the state of its key."""
    # Later entries replace earlier ones, so that only the last state of a
    # name is indexed.
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
    return _apply_names(changed, named) if named else changed


def _set_out(out: set[str], name: str, in_service: bool) -> None:
    if in_service:
        out.discard(name)
    else:
        out.add(name)


def _apply_names(view: View, named: Mapping[str, tuple[str, ...]]) -> View:
    mappings = _NameMappings(
        _copy(view.aliases),
        _copy(view.names_by_spelling),
        _copy(view.spellings),
        {},
    )
    changed_keys: set[str] = set()
    for name, aliases in named.items():
        changed_keys |= _remove_name(mappings, name)
        mappings.aliases[name] = aliases
        changed_keys |= _add_name(mappings, name)
    for key in changed_keys:
        _update_spellings(mappings, key)
    return replace(
        view,
        aliases=MappingProxyType(mappings.aliases),
        names_by_spelling=MappingProxyType(mappings.names_by_spelling),
        spellings=MappingProxyType(mappings.spellings),
    )


def _copy(mapping: Mapping) -> dict:
    """Return a copy of a mapping of a view.

    ``copy`` copies the dict behind the proxy as a whole; ``dict(mapping)``
    looks up each key, which blocks the event loop 20 times as long.
    """
    return mapping.copy()


def _folded_spellings(mappings: _NameMappings, name: str) -> set[str]:
    """Return the folded spellings of a name."""
    return {
        fold_spelling(text) for text in (name, *mappings.aliases.get(name, ()))
    }


def _remove_name(mappings: _NameMappings, name: str) -> set[str]:
    if name not in mappings.aliases:
        return set()
    keys = _folded_spellings(mappings, name)
    for key in keys:
        mappings.names_by_spelling[key] = tuple(
            other for other in mappings.names_by_spelling[key] if other != name
        )
    return keys


def _add_name(mappings: _NameMappings, name: str) -> set[str]:
    keys = _folded_spellings(mappings, name)
    for key in keys:
        mappings.names_by_spelling[key] = tuple(
            sorted({name, *mappings.names_by_spelling.get(key, ())})
        )
    return keys


def _update_spellings(mappings: _NameMappings, key: str) -> None:
    """Update the spellings that the lookup of a folded spelling returns."""
    names = mappings.names_by_spelling[key]
    if not names:
        del mappings.names_by_spelling[key]
        mappings.spellings.pop(key, None)
        return
    if names not in mappings.shared:
        spellings = dict.fromkeys(
            spelling
            for name in names
            for spelling in (name, *mappings.aliases[name])
        )
        mappings.shared[names] = tuple(spellings)
    mappings.spellings[key] = mappings.shared[names]
