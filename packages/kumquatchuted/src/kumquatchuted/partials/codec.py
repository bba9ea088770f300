"""MessagePack encoding of the messages of partial queries."""

import math

import msgspec

from kumquatchute_model.decode_errors import DECODE_ERRORS
from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.partials.messages import PartialQueryRequest
from kumquatchuted.partials.messages import PartialQueryResponse

# Header of the request and of each response to it. It shows that a response is
# the one to the request: a number that a node uses once.
NUMBER_HEADER = "X-Partial-Query"

_request_decoder = msgspec.msgpack.Decoder(PartialQueryRequest)
_response_decoder = msgspec.msgpack.Decoder(PartialQueryResponse)
_encoder = msgspec.msgpack.Encoder()


def encode_partial(
    message: PartialQueryRequest | PartialQueryResponse,
) -> bytes:
    """Return the message as MessagePack."""
    return _encoder.encode(message)


def decode_partial_request(data: bytes) -> PartialQueryRequest | Failure:
    """Decode a request of another node.

    :returns: ``Failure`` of kind ``MALFORMED`` if the bytes are no request, or
        one with a number that is not finite
    """
    req = _decode(_request_decoder, data)
    # A deadline that is not a number is never reached, and no time until it
    # can be waited for.
    if isinstance(req, PartialQueryRequest) and not _is_finite(req):
        return Failure(
            ErrorKind.MALFORMED, "invalid message of a node: not finite"
        )
    return req


def _is_finite(req: PartialQueryRequest) -> bool:
    numbers = (
        req.objective_ms,
        req.answer_ms,
        req.latest_ms,
        req.min_coverage,
    )
    return all(map(math.isfinite, numbers))


def decode_partial_response(data: bytes) -> PartialQueryResponse | Failure:
    """Decode the response of another node.

    :returns: ``Failure`` of kind ``MALFORMED`` if the bytes are no response
    """
    return _decode(_response_decoder, data)


def _decode(
    decoder: msgspec.msgpack.Decoder, data: bytes
) -> PartialQueryRequest | PartialQueryResponse | Failure:
    try:
        return decoder.decode(data)
    except DECODE_ERRORS as exc:
        return Failure(
            ErrorKind.MALFORMED, f"invalid message of a node: {exc}"
        )
