"""Loads and saves the objects of the stand-in, so that they survive a restart.

The file is YAML or JSON: ``{"revision": n, "objects": [{kind, name, spec}]}``.
Revisions continue after ``revision``, by default 1, so that no revision of the
previous run stands for another state in the next one.
"""

from pathlib import Path

import msgspec
import yaml

from kumquatchute_standins.platform.table import Table


def load_table(path: Path) -> Table:
    """Read a table, without its history."""
    text = path.read_text(encoding="utf-8")
    if path.suffix == ".json":
        content = msgspec.json.decode(text)
    else:
        content = yaml.safe_load(text)
    table = Table()
    table.revision = content.get("revision", 1)
    for item in content["objects"]:
        table.put(item["kind"], item["name"], item["spec"], now=0.0)
    table.drop_history()
    return table


def save_table(table: Table, path: Path) -> None:
    """Write all objects of a table, without its history."""
    objects = [
        {"kind": kind, "name": item.name, "spec": item.document["spec"]}
        for kind, kind_table in table.kinds.items()
        for item in kind_table.objects.values()
    ]
    content = {"revision": table.revision, "objects": objects}
    if path.suffix == ".json":
        path.write_bytes(msgspec.json.encode(content))
    else:
        text = yaml.safe_dump(content, sort_keys=False)
        path.write_text(text, encoding="utf-8")
