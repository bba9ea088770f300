"""Decides whether a response is the one to the pending request.

A faulty searcher can send a response twice, the second time late, and can
break off either copy. A connection that was used before may therefore carry
bytes that belong to an earlier request.
"""

from kumquatchuted.responses.joined import holds_status_line
from kumquatchuted.responses.joined import JOINED_RESPONSES
from kumquatchuted.responses.messages import Exchange
from kumquatchuted.responses.messages import Foreign
from kumquatchuted.responses.messages import MatchedAsFirst
from kumquatchuted.responses.messages import MatchedById
from kumquatchuted.responses.messages import ResponseHead
from kumquatchuted.responses.messages import Unproven
from kumquatchuted.responses.messages import Verdict

NO_ID = "the response names no request"
OTHER_ID = "the first response of the connection names another request"
SEVERAL_IDS = "the response names several requests"


def match_response(
    exchange: Exchange, head: ResponseHead, id_header: bytes
) -> Verdict:
    """Decide by its head whose response it is.

    :param id_header: header that names the request, in lower case
    """
    if holds_status_line(head.reason) or any(
        holds_status_line(value) for _, value in head.headers
    ):
        return Unproven(JOINED_RESPONSES)
    # The parser leaves the whitespace that may follow a value.
    named_ids = {
        value.strip() for name, value in head.headers if name == id_header
    }
    named_ids.discard(b"")
    if len(named_ids) > 1:
        return Unproven(SEVERAL_IDS)
    if named_ids and exchange.request_id:
        (named_id,) = named_ids
        if named_id == exchange.request_id.strip():
            return MatchedById()
        # What names another request on a new connection is no late response.
        return Unproven(OTHER_ID) if exchange.is_first else Foreign(named_id)
    return MatchedAsFirst() if exchange.is_first else Unproven(NO_ID)
