"""Decodes the entries of searchers for the catalog.

The product's own searchers add fields to the entry that the platform defines.
"""

import msgspec

from kumquatchute_model.address import parse_address
from kumquatchute_model.decode_errors import DECODE_ERRORS
from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.shards import Searcher
from kumquatchuted.catalog.events import SearcherEntry
from kumquatchuted.membership.messages import SearcherState
from kumquatchuted.platform.decoding import decode_state
from kumquatchuted.platform.decoding import SearcherSpec

# Concurrent requests to a cold searcher, unless its entry states a limit.
DEFAULT_COLD_SLOTS = 1
# Connections to a searcher that the requirements allow, unless its entry
# states a limit.
DEFAULT_SEARCHER_CONNECTIONS = 25
# Larger numbers of slots or connections are errors of the writer.
MAX_LIMIT = 999_999


class _ExtendedSearcherSpec(SearcherSpec, rename="camel"):
    # Fields that only the product's own searchers write: the host, and limits
    # that for other searchers are in the manifest.
    host: str = ""
    cold_slots: int = DEFAULT_COLD_SLOTS
    max_conns: int = DEFAULT_SEARCHER_CONNECTIONS


def decode_entry(name: str, body: bytes) -> SearcherEntry | Failure:
    """Decode the entry of a searcher with its host and limits.

    :param body: JSON document that the searcher wrote
    :returns: a failure of kind ``MALFORMED`` if the entry is invalid
    """
    try:
        spec = msgspec.json.decode(body, type=_ExtendedSearcherSpec)
    except DECODE_ERRORS as exc:
        return Failure(ErrorKind.MALFORMED, str(exc))
    address = parse_address(spec.address)
    if address is None or not address.port or not spec.service:
        reason = "an entry needs a service, an IP address and a port"
        return Failure(ErrorKind.MALFORMED, reason)
    limits = (spec.capacity, spec.cold_slots, spec.max_conns)
    if min(limits) < 1 or max(limits) > MAX_LIMIT:
        reason = f"slots and connections must be from 1 to {MAX_LIMIT}"
        return Failure(ErrorKind.MALFORMED, reason)
    state = decode_state(spec.state)
    if state is None:
        return Failure(ErrorKind.MALFORMED, "the state is unknown")
    searcher = Searcher(
        name,
        spec.service,
        spec.address,
        spec.host,
        spec.zone,
        *limits,
        leaving=state is SearcherState.DRAINING,
    )
    return SearcherEntry(searcher, spec.born)
