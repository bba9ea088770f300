"""Merging the records of several shards."""

from kumquatchuted.gather.merge import merge_records


def record(number: int) -> bytes:
    """Return a record that sorts by its number."""
    return number.to_bytes(16, "big")


def test_greatest_records_come_first_and_duplicates_are_kept() -> None:
    """Guards against records that are dropped as duplicates.

    Two shards may hold equal records, and callers expect both.
    """
    bodies = [record(3) + record(9), record(9) + record(1)]
    assert merge_records(bodies, 3) == record(9) + record(9) + record(3)


def test_incomplete_record_is_ignored() -> None:
    """Guards against records that are split at the wrong offset.

    A searcher sent a body that does not end with a complete record.
    """
    assert merge_records([record(5) + b"abc"], 10) == record(5)


def test_fewer_records_than_top_k_are_all_returned() -> None:
    """Guards against a query that fails on shards with few records.

    The shards together hold fewer than ``top_k`` records; one holds none.
    """
    assert merge_records([b"", record(1)], 20) == record(1)
