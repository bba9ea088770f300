"""Encodes and decodes the target protocol and control messages as JSON."""

from typing import Any
from typing import TypeVar

import msgspec

from kumquatchute_model.decode_errors import DECODE_ERRORS
from kumquatchute_standins.searcher.controls import ClearRecords
from kumquatchute_standins.searcher.controls import Control
from kumquatchute_standins.searcher.controls import FleetControl
from kumquatchute_standins.searcher.controls import HangConnections
from kumquatchute_standins.searcher.controls import LoseAnswers
from kumquatchute_standins.searcher.controls import RepeatAnswers
from kumquatchute_standins.searcher.controls import Restart
from kumquatchute_standins.searcher.controls import SetDraining
from kumquatchute_standins.searcher.controls import SetIndex
from kumquatchute_standins.searcher.controls import SetPartial
from kumquatchute_standins.searcher.controls import SetReport
from kumquatchute_standins.searcher.controls import SetSlow
from kumquatchute_standins.searcher.controls import SetUp
from kumquatchute_standins.searcher.messages import Refused

CONTROLS = {
    "restart": Restart,
    "set_up": SetUp,
    "set_index": SetIndex,
    "hang_connections": HangConnections,
    "set_draining": SetDraining,
    "set_slow": SetSlow,
    "set_partial": SetPartial,
    "lose_answers": LoseAnswers,
    "repeat_answers": RepeatAnswers,
    "set_report": SetReport,
    "clear_records": ClearRecords,
}

CallType = TypeVar("CallType")


def decode_call(body: bytes, call_type: type[CallType]) -> CallType | Refused:
    """Decode the body of a call; a malformed one gives ``Refused``."""
    try:
        return msgspec.json.decode(body, type=call_type)
    except DECODE_ERRORS as exc:
        return Refused(400, "malformed", str(exc))


def decode_control(body: bytes) -> FleetControl | Refused:
    """Decode a control message; its field ``do`` names the control.

    Example: ``{"do": "set_slow", "factor": 5, "searchers": ["s-1"]}``;
    ``searchers`` has an effect only on the control listener of a fleet.
    """
    try:
        fields = msgspec.json.decode(body, type=dict[str, Any])
        control_type = CONTROLS[fields.pop("do", "")]
        searchers = tuple(fields.pop("searchers", ()))
        control: Control = msgspec.convert(fields, control_type)
        return FleetControl(control, searchers)
    except KeyError:
        known = ", ".join(CONTROLS)
        return Refused(400, "malformed", f"do must be one of {known}")
    except DECODE_ERRORS as exc:
        return Refused(400, "malformed", str(exc))


def encode_result(result: Any) -> bytes:
    """Encode a result; the protocol uses the names of its fields."""
    return msgspec.json.encode(result)
