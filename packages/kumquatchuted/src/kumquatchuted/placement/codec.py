"""JSON encoding of the membership and lease objects in the store."""

from typing import Any

import msgspec

from kumquatchute_model.decode_errors import DECODE_ERRORS
from kumquatchuted.placement.messages import Membership
from kumquatchuted.placement.messages import NodeLease

_encoder = msgspec.json.Encoder()
_membership = msgspec.json.Decoder(Membership)
_lease = msgspec.json.Decoder(NodeLease)

DecodeError = msgspec.DecodeError


def encode(value: Membership | NodeLease) -> bytes:
    """Return the JSON body of an object."""
    return _encoder.encode(value)


def decode_membership(body: bytes) -> Membership:
    """Return the membership in a JSON body.

    :raises DecodeError: the body is not a valid membership
    """
    return _decode(_membership, body)


def decode_lease(body: bytes) -> NodeLease:
    """Return the lease in a JSON body.

    :raises DecodeError: the body is not a valid lease
    """
    return _decode(_lease, body)


def _decode(decoder: msgspec.json.Decoder, body: bytes) -> Any:
    try:
        return decoder.decode(body)
    except DECODE_ERRORS as exc:
        raise DecodeError(str(exc)) from exc
