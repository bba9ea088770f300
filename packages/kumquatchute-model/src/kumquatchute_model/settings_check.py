"""Loads a settings file, checks it and reports all faults at once."""

import dataclasses
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
import re
from typing import Annotated
from typing import Any
from typing import get_args
from typing import get_origin
from typing import get_type_hints

import msgspec

from kumquatchute_model.settings import Settings
from kumquatchute_model.settings_consistency import check_consistency
from kumquatchute_model.settings_consistency import Invalid
from kumquatchute_model.settings_constraints import accepts
from kumquatchute_model.settings_constraints import describe
from kumquatchute_model.settings_constraints import NumberRange
from kumquatchute_model.settings_file import Document
from kumquatchute_model.settings_file import read_document
from kumquatchute_model.settings_file import SettingsFault

# Unknown keys that do not look like the name of a setting are not printed,
# because a token can have been pasted in the place of a key.
PRINTABLE_KEY = re.compile(r"[a-z_]{1,30}")


@dataclass(frozen=True)
class SettingsFaults:
    """Why a settings file was rejected.

    :param faults: all faults found, at least one
    """

    path: str
    faults: tuple[SettingsFault, ...]

    def lines(self) -> tuple[str, ...]:
        """Return one line for each fault: file, key and expected value."""
        return tuple(
            f"{self.path}: {fault.key}: expected {fault.expected}"
            for fault in self.faults
        )


def load_settings(path: str | Path) -> Settings | SettingsFaults:
    """Load and check the settings of a node.

    :param path: path of the YAML file
    :returns: the settings, or all faults of the file
    """
    document = read_document(path)
    match document:
        case SettingsFault():
            return SettingsFaults(str(path), (document,))
        case Document(content=content, faults=repeated_keys):
            builder = _SettingsBuilder()
            cfg = builder.build_section(Settings, content, "")
            faults = (*repeated_keys, *builder.faults, *check_consistency(cfg))
            return SettingsFaults(str(path), faults) if faults else cfg


def check_settings_file(path: str | Path) -> tuple[str, ...]:
    """Return one line for each fault of a settings file, none if it is valid.

    :param path: path of the YAML file
    """
    match load_settings(path):
        case SettingsFaults() as faults:
            return faults.lines()
        case _:
            return ()


class _SettingsBuilder:
    """Builds settings from parsed YAML and collects the faults."""

    def __init__(self) -> None:
        self.faults: list[SettingsFault] = []

    def build_section(self, data_class: type, raw: Any, key: str) -> Any:
        """Build a data class, with ``Invalid.VALUE`` for each invalid value.

        :param raw: parsed YAML of the section; ``Invalid.VALUE`` if it is
            missing or invalid and this has been recorded as a fault
        :param key: path of the section, empty for the whole file
        """
        if raw is not Invalid.VALUE and not isinstance(raw, dict):
            self._add_fault(
                key or "file", f"a mapping with {_list_keys(data_class)}"
            )
            raw = Invalid.VALUE
        hints = get_type_hints(data_class, include_extras=True)
        given = raw if isinstance(raw, dict) else {}
        self._check_unknown_keys(data_class, given, hints, key)
        values = {}
        for field in dataclasses.fields(data_class):
            path = f"{key}.{field.name}" if key else field.name
            hint = hints[field.name]
            if field.name in given:
                values[field.name] = self.build_value(
                    hint, given[field.name], path
                )
            elif raw is Invalid.VALUE or _is_required(field):
                if raw is not Invalid.VALUE:
                    self._add_fault(
                        path, f"{_describe_accepted(hint)}; the key is missing"
                    )
                values[field.name] = self.build_value(
                    hint, Invalid.VALUE, path
                )
        return data_class(**values)

    def build_value(self, hint: Any, raw: Any, key: str) -> Any:
        """Build the value of a key as its type hint says.

        :param raw: parsed YAML, or ``Invalid.VALUE`` as in ``build_section``
        :param key: path of the key
        """
        if dataclasses.is_dataclass(hint):
            return self.build_section(hint, raw, key)
        if get_origin(hint) is tuple:
            return self._build_items(get_args(hint)[0], raw, key)
        return self._build_leaf(hint, raw, key)

    def _build_items(self, hint: Any, raw: Any, key: str) -> tuple:
        if isinstance(raw, list):
            return tuple(
                self.build_value(hint, item, f"{key}[{i}]")
                for i, item in enumerate(raw)
            )
        if raw is not Invalid.VALUE:
            self._add_fault(key, _describe_accepted(tuple[hint, ...]))
        return (self.build_value(hint, Invalid.VALUE, key),)

    def _build_leaf(self, hint: Any, raw: Any, key: str) -> Any:
        if raw is Invalid.VALUE:
            return raw
        try:
            value = msgspec.convert(raw, hint)
        except msgspec.ValidationError:
            value = Invalid.VALUE
        constraints = (
            get_args(hint)[1:] if get_origin(hint) is Annotated else ()
        )
        if value is not Invalid.VALUE and value is not None:
            if not all(
                accepts(constraint, value) for constraint in constraints
            ):
                value = Invalid.VALUE
        if value is Invalid.VALUE:
            self._add_fault(key, _describe_accepted(hint))
        return value

    def _check_unknown_keys(
        self, data_class: type, raw: dict, hints: dict, key: str
    ) -> None:
        for name in raw:
            if name in hints:
                continue
            displayed = str(name)
            if not PRINTABLE_KEY.fullmatch(displayed):
                displayed = "(not shown)"
            path = f"{key}.{displayed}" if key else displayed
            self._add_fault(
                path, f"one of {_list_keys(data_class)}; this key is unknown"
            )

    def _add_fault(self, key: str, expected: str) -> None:
        self.faults.append(SettingsFault(key, expected))


def _is_required(field: dataclasses.Field) -> bool:
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )


def _list_keys(data_class: type) -> str:
    return ", ".join(field.name for field in dataclasses.fields(data_class))


def _describe_accepted(hint: Any) -> str:
    if dataclasses.is_dataclass(hint):
        return f"a mapping with {_list_keys(hint)}"
    if get_origin(hint) is tuple:
        return f"a list, each item {_describe_accepted(get_args(hint)[0])}"
    if get_origin(hint) is Annotated:
        base, constraint = get_args(hint)[:2]
        if base is int and isinstance(constraint, NumberRange):
            return f"{describe(constraint)}, without a fraction"
        return describe(constraint)
    if isinstance(hint, type) and issubclass(hint, Enum):
        return "one of " + ", ".join(str(member.value) for member in hint)
    return "true or false"
