"""Guards against settings with which a node starts but cannot work."""

import copy

import pytest
import yaml

from kumquatchute_model.settings import Settings
from kumquatchute_model.settings_check import check_settings_file
from kumquatchute_model.settings_check import load_settings

VALID_SETTINGS = {
    "node": {"name": "n1", "host": "h1", "dc": "atl-east", "region": "atl"},
    "listen": {
        "callers": "127.0.0.1:8000",
        "peers": "127.0.0.1:8001",
        "metrics": "127.0.0.1:8002",
    },
    "platform": {"url": "http://127.0.0.1:8443"},
    "dcs": ["atl-east", "atl-north"],
    "services": [{"name": "billing"}],
    "security": {
        "tokens": [
            {"identity": "amna", "role": "operator", "sha256": "a" * 64}
        ]
    },
}


def write_settings(folder, content):
    text = content if isinstance(content, str) else yaml.safe_dump(content)
    file = folder / "node.yaml"
    file.write_text(text)
    return file


def with_value(path, value):
    """Return valid settings with one value replaced."""
    content = copy.deepcopy(VALID_SETTINGS)
    section = content
    for name in path[:-1]:
        section = section[name]
    section[path[-1]] = value
    return content


def test_valid_file_loads_with_defaults(tmp_path):
    """Guards against valid files with which a node cannot be started.

    Also against defaults that are lost when a section is left out.
    """
    cfg = load_settings(write_settings(tmp_path, VALID_SETTINGS))
    assert isinstance(cfg, Settings)
    assert cfg.drain.limit_s == 20.0
    assert cfg.services[0].soft_deadline_ms == 80
    assert cfg.security.tokens[0].role.value == "operator"


@pytest.mark.parametrize(
    ("path", "value", "key"),
    [
        (("drain",), {"notice_ms": 3}, "drain.notice_ms"),
        (("drain",), {"notice_s": "3s"}, "drain.notice_s"),
        (("drain",), {"notice_s": True}, "drain.notice_s"),
        (("drain",), {"limit_s": float("nan")}, "drain.limit_s"),
        (("drain",), {"limit_s": 1}, "drain.limit_s"),
        (("drain",), None, "drain"),
        (("node", "dc"), "pkc-a", "node.dc"),
        (("node", "name"), "N 1", "node.name"),
        (("listen", "metrics"), "0.0.0.0:8000", "listen.metrics"),
        (("listen", "callers"), "localhost:8000", "listen.callers"),
        (("listen", "peers"), "10.0.0.1:8001", "listen.peers"),
        (("platform", "url"), "http://u:pw@h:1", "platform.url"),
        (("services", 0), {"name": "a", "prefer": "x"}, "services[0].prefer"),
        (("services",), [{"name": "a"}, {"name": "a"}], "services[1].name"),
        (
            ("services", 0),
            {"name": "a", "default_deadline_ms": 50},
            "services[0].soft_deadline_ms",
        ),
        (("dcs",), "atl-east", "dcs"),
        (
            ("security", "tokens"),
            VALID_SETTINGS["security"]["tokens"] * 2,
            "security.tokens[1].sha256",
        ),
    ],
)
def test_fault_names_file_and_key(tmp_path, path, value, key):
    """Guards against faults that show only when the node runs.

    Examples are a token that two identities share, a listener that cannot be
    bound, and messages that leave the host unencrypted. The line names the
    file and the key to correct, and no other key.
    """
    file = write_settings(tmp_path, with_value(path, value))
    lines = check_settings_file(file)
    assert len(lines) == 1
    assert lines[0].startswith(f"{file}: {key}: expected ")


def test_all_faults_are_listed_at_once(tmp_path):
    """Guards against an operator who finds one fault with each restart.

    A check that stops at the first invalid value hides those after it and
    the faults between valid values.
    """
    content = with_value(("node", "name"), 7)
    content["drain"] = {"notice_s": 5, "limit_s": 4, "limit": 1}
    content["dcs"] = ["pkc-a"]
    del content["platform"]
    keys = [
        line.split(": ")[1]
        for line in check_settings_file(write_settings(tmp_path, content))
    ]
    assert sorted(keys) == [
        "drain.limit",
        "drain.limit_s",
        "node.dc",
        "node.name",
        "platform",
    ]


def test_repeated_key_is_a_fault(tmp_path):
    """Guards against an earlier value of a key that is silently ignored.

    PyYAML keeps the last value of a repeated key.
    """
    text = yaml.safe_dump(VALID_SETTINGS) + "\ndcs: [atl-east]\n"
    lines = check_settings_file(write_settings(tmp_path, text))
    assert len(lines) == 1
    assert "each key only once" in lines[0]


@pytest.mark.parametrize(
    "content",
    [
        with_value(("security", "token"), "SECRET9"),
        with_value(("security", "SECRET9"), 1),
        with_value(("security", "tokens", 0, "sha256"), "SECRET9"),
        with_value(("security", "tokens", 0, "role"), "SECRET9"),
        with_value(("platform", "url"), "https://SECRET9@h"),
        "security: {tokens: [SECRET9",
        "a: !SECRET9 b",
        "a: *SECRET9",
        '"a\\SECRET9"',
        "a: 2020-99-99\nb: SECRET9",
    ],
)
def test_secret_in_the_wrong_place_is_not_printed(tmp_path, content):
    """Guards against tokens in terminals and logs.

    A token pasted as a key, as a value or into broken YAML reaches the fault
    through a quoted key or value, or through a message of PyYAML.
    """
    lines = check_settings_file(write_settings(tmp_path, content))
    assert lines
    assert "SECRET9" not in "".join(lines)


@pytest.mark.parametrize("text", ["", "[]", "3", "[" * 5000, "? {a: b}\n: 1"])
def test_file_without_a_mapping_is_a_fault(tmp_path, text):
    """Guards against a traceback in place of a fault.

    An empty file, deep nesting and keys that cannot be hashed make the parser
    return another type or raise an exception.
    """
    assert check_settings_file(write_settings(tmp_path, text))


def test_missing_and_huge_files_are_faults(tmp_path):
    """Guards against a traceback, and a huge file that fills the memory."""
    assert check_settings_file(tmp_path / "none.yaml")
    assert check_settings_file(write_settings(tmp_path, "#" * 1_000_001))
