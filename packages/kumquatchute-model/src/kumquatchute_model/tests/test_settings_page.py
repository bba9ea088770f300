"""Guards against a settings page that differs from the settings."""

import dataclasses
from enum import Enum
from pathlib import Path
import re
from typing import get_args
from typing import get_origin
from typing import get_type_hints

from kumquatchute_model.settings import Settings
from kumquatchute_model.settings_check import check_settings_file

SETTINGS_PAGE = Path(__file__).parents[5] / "docs" / "settings.md"
TABLE_ROW = re.compile(r"\| `([\w.\[\]]+)` \| [^|]+ \| (?:`([^`]+)`|(\w+)) \|")


def format_default(default):
    match default:
        case dataclasses.MISSING:
            return "required"
        case None:
            return "none"
        case bool():
            return str(default).lower()
        case Enum():
            return default.value
    return str(default)


def list_defaults(data_class, prefix=""):
    """Return the keys of a data class with their defaults."""
    defaults = {}
    hints = get_type_hints(data_class)
    for field in dataclasses.fields(data_class):
        hint, key = hints[field.name], prefix + field.name
        if get_origin(hint) is tuple:
            item = get_args(hint)[0]
            if dataclasses.is_dataclass(item):
                defaults |= list_defaults(item, f"{key}[].")
                continue
        if dataclasses.is_dataclass(hint):
            defaults |= list_defaults(hint, f"{key}.")
        else:
            defaults[key] = format_default(field.default)
    return defaults


def test_page_lists_every_key_with_its_default():
    """Guards against an operator who relies on a key or default of the page.

    A new, renamed or changed setting makes the page wrong.
    """
    rows = TABLE_ROW.findall(SETTINGS_PAGE.read_text())
    assert {key: a or b for key, a, b in rows} == list_defaults(Settings)


def test_example_on_the_page_is_accepted(tmp_path):
    """Guards against a copied example with which no node starts."""
    example = (
        SETTINGS_PAGE.read_text().partition("```yaml\n")[2].partition("```")[0]
    )
    file = tmp_path / "node.yaml"
    file.write_text(example)
    assert check_settings_file(file) == ()
