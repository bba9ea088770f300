"""Decides whether a response is the one to the pending request.

A faulty searcher can send a response twice, the second time late, and can
break off either copy. A connection that was used before may therefore carry
bytes that belong to an earlier request.
"""

from collections.abc import Container
from collections.abc import Sequence

from kumquatchuted.responses.messages import Exchange
from kumquatchuted.responses.messages import Foreign
from kumquatchuted.responses.messages import MatchedAsFirst
from kumquatchuted.responses.messages import MatchedById
from kumquatchuted.responses.messages import Unproven
from kumquatchuted.responses.messages import Verdict

NO_ID = "the response names no request"
OTHER_ID = "the response names a request of another connection"
SEVERAL_IDS = "the response names several requests"
# The verdict on nearly all responses.
MATCHED_BY_ID = MatchedById()


def match_response(
    exchange: Exchange, named: Sequence[bytes], carried_ids: Container[bytes]
) -> Verdict:
    """Decide by the ids that a response names whose it is.

    :param named: values of the id headers of the response
    :param carried_ids: ids of the last requests of its connection
    """
    if len(named) == 1 and named[0] == exchange.request_id != b"":
        return MATCHED_BY_ID
    # The parser leaves the whitespace that may follow a value.
    named_ids = {value.strip() for value in named} - {b""}
    if len(named_ids) > 1:
        return Unproven(SEVERAL_IDS)
    if named_ids and exchange.request_id:
        (named_id,) = named_ids
        if named_id == exchange.request_id.strip():
            return MATCHED_BY_ID
        # Only a late copy leaves the own response to follow. What names a
        # request that the connection has not carried is none.
        if named_id in carried_ids:
            return Foreign(named_id)
        return Unproven(OTHER_ID)
    return MatchedAsFirst() if exchange.is_first else Unproven(NO_ID)
