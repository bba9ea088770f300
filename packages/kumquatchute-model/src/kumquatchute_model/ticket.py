"""Tickets: numbered changes, their digests and their validation."""

from dataclasses import dataclass

import msgspec
import xxhash

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure

# The store accepts values up to 1 MB.
MAX_TICKET_BYTES = 900_000
MAX_NAME_CHARS = 200
# Digest before the first ticket, which has no previous one.
NO_DIGEST = ""


@dataclass(frozen=True)
class NameState:
    """All other spellings under which a name is found.

    They replace the spellings of earlier tickets.
    """

    name: str
    aliases: tuple[str, ...]


@dataclass(frozen=True)
class DcState:
    """Whether a data centre receives new work."""

    dc: str
    in_service: bool


@dataclass(frozen=True)
class HostState:
    """Whether a host receives new work."""

    host: str
    in_service: bool


@dataclass(frozen=True)
class SettingState:
    """Value of one setting of a service."""

    service: str
    key: str
    value: str


TicketEntry = NameState | DcState | HostState | SettingState


@dataclass(frozen=True)
class Ticket:
    """A recorded ticket.

    :param number: position in the log, from 1
    :param prev: digest of the previous ticket, empty for ticket 1
    :param author: identity of the operator who submitted it
    :param entries: complete new state of every key that it changes
    """

    number: int
    prev: str
    author: str
    entries: tuple[TicketEntry, ...]

    def digest(self) -> str:
        """Return a digest of all fields, in hexadecimal.

        It covers the ``repr`` of the entries, so the names of their classes
        and fields must not change: recorded tickets would be rejected.
        """
        parts = [str(self.number), self.prev, self.author]
        parts.extend(repr(entry) for entry in self.entries)
        return xxhash.xxh3_128_hexdigest("\x1f".join(parts).encode())


def entry_key(entry: TicketEntry) -> str:
    """Return the key whose state the entry replaces."""
    match entry:
        case NameState(name=name):
            return f"name/{name}"
        case DcState(dc=dc):
            return f"dc/{dc}"
        case HostState(host=host):
            return f"host/{host}"
        case SettingState(service=service, key=key):
            return f"setting/{service}/{key}"


def check_entries(entries: tuple[TicketEntry, ...]) -> Failure | None:
    """Validate the entries of a ticket before it is recorded.

    Whether the data centres, hosts and services exist is not checked.

    :returns: the first fault found, or None
    """
    if not entries:
        return _malformed("a ticket needs at least one entry")
    seen = set()
    for key in map(entry_key, entries):
        if key in seen:
            return _malformed(f"{key} is set twice in one ticket")
        seen.add(key)
    for entry in entries:
        if failure := _check_entry(entry):
            return failure
    if len(msgspec.json.encode(entries)) > MAX_TICKET_BYTES:
        return Failure(
            ErrorKind.TOO_LARGE,
            f"a ticket can have at most {MAX_TICKET_BYTES} bytes",
            not_run=True,
        )
    return None


def _check_entry(entry: TicketEntry) -> Failure | None:
    match entry:
        case NameState(name=name, aliases=aliases):
            for text in (name, *aliases):
                if not text.strip() or len(text) > MAX_NAME_CHARS:
                    return _malformed(
                        f"a name must have 1 to {MAX_NAME_CHARS} characters"
                    )
        case DcState(dc=text) | HostState(host=text):
            if not text:
                return _malformed("a data centre or host needs a name")
        case SettingState(service=service, key=key):
            if not service or not key:
                return _malformed("a setting needs a service and a key")
    return None


def _malformed(reason: str) -> Failure:
    return Failure(ErrorKind.MALFORMED, reason, not_run=True)
