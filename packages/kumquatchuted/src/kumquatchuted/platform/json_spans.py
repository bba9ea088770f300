"""Splits JSON arrays and objects into the bytes of their elements.

A JSON decoder rejects a whole document for one value that it cannot
represent: a deep nesting, a number out of range or a broken escape. Splitting
needs neither recursion nor the values, so that all other elements can still be
decoded.
"""

import re

import msgspec

_STRING = rb'"[^"\\]*(?:\\.[^"\\]*)*"'
_TOKEN = re.compile(_STRING + rb"|[\[\]{},]", re.DOTALL)
_KEY = re.compile(rb"\s*(" + _STRING + rb")\s*:", re.DOTALL)
_OPENING, _CLOSING = b"[{", b"]}"


def split_array(raw: bytes) -> list[bytes]:
    """Return the bytes of each element of an array.

    The elements themselves are not checked.

    :raises msgspec.DecodeError: the bytes are not an array
    """
    return _split(raw, b"[]")


def split_object(raw: bytes) -> dict[str, bytes]:
    """Return the bytes of each value of an object by its key.

    The values themselves are not checked.

    :raises msgspec.DecodeError: the bytes are not an object
    """
    values = {}
    for member in _split(raw, b"{}"):
        key = _KEY.match(member)
        if key is None:
            raise msgspec.DecodeError("JSON is malformed: member without key")
        values[msgspec.json.decode(key[1], type=str)] = member[key.end() :]
    return values


def _split(raw: bytes, brackets: bytes) -> list[bytes]:
    """Return what stands between the commas at the outermost level.

    :param brackets: opening and closing bracket of the value
    """
    raw = raw.strip()
    if raw[:1] + raw[-1:] != brackets:
        raise msgspec.DecodeError("JSON is malformed: no such value")
    elements = []
    depth, start = 0, 1
    for token in _TOKEN.finditer(raw):
        char = token[0]
        if char in _OPENING:
            depth += 1
        elif char in _CLOSING:
            depth -= 1
            if depth == 0:
                if token.end() != len(raw):
                    raise msgspec.DecodeError("JSON is malformed: more data")
                last = raw[start : token.start()]
                return [*elements, last] if elements or last.strip() else []
        elif char == b"," and depth == 1:
            elements.append(raw[start : token.start()])
            start = token.end()
    raise msgspec.DecodeError("JSON is malformed: data ends early")
