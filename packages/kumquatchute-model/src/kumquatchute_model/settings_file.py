"""Reads a settings file: YAML in which no key is repeated."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml

MAX_FILE_BYTES = 1_000_000


@dataclass(frozen=True)
class SettingsFault:
    """A fault of a settings file.

    It never contains the value of a setting, because any value can be a
    secret that was put in the wrong place.

    :param key: path of the key, such as ``drain.limit_s``; "line 3" or
        "file" if the fault belongs to no single key
    :param expected: what is accepted in this place, as part of a sentence
    """

    key: str
    expected: str


@dataclass(frozen=True)
class Document:
    """Content of a settings file, with a fault for each repeated key."""

    content: Any
    faults: tuple[SettingsFault, ...] = ()


class _Loader(yaml.SafeLoader):
    """Safe loader that records the lines of repeated keys.

    PyYAML itself silently keeps the last value of a repeated key.
    """

    def __init__(self, stream: bytes) -> None:
        super().__init__(stream)
        self.repeated_lines: list[int] = []

    def construct_mapping(self, node: yaml.Node, deep: bool = False) -> dict:
        if isinstance(node, yaml.MappingNode):
            seen = set()
            for key, _ in node.value:
                if key.value in seen:
                    self.repeated_lines.append(key.start_mark.line + 1)
                if isinstance(key.value, str):
                    seen.add(key.value)
        return super().construct_mapping(node, deep)


def read_document(path: str | Path) -> Document | SettingsFault:
    """Read a settings file.

    :returns: its content, or a fault if it cannot be read or parsed
    """
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as exc:
        reason = getattr(exc, "strerror", None) or "invalid path"
        return SettingsFault("file", f"a readable file: {reason}")
    if len(data) > MAX_FILE_BYTES:
        return SettingsFault("file", f"at most {MAX_FILE_BYTES:,} bytes")
    return _parse(data)


def _parse(data: bytes) -> Document | SettingsFault:
    # Messages of PyYAML quote the file, which can contain a secret.
    try:
        loader = _Loader(data)
        content = loader.get_single_data()
    except yaml.MarkedYAMLError as exc:
        mark = exc.problem_mark or exc.context_mark
        line = f"line {mark.line + 1}" if mark else "file"
        return SettingsFault(line, "valid YAML without tags")
    except (yaml.YAMLError, ValueError, TypeError, RecursionError):
        return SettingsFault("file", "valid YAML in UTF-8")
    return Document(
        content,
        tuple(
            SettingsFault(f"line {line}", "each key only once")
            for line in loader.repeated_lines
        ),
    )
