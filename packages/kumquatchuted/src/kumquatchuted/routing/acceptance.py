"""Decides whether a manifest that was read replaces the one in force."""

from kumquatchuted.routing.messages import Manifest


def newest(current: Manifest | None, read: Manifest) -> Manifest:
    """Return the manifest with the greater version.

    Reads of the store can be older than an earlier one, for example when a
    late answer of a former connection arrives; an accepted version is never
    reverted.
    """
    if current is not None and read.version <= current.version:
        return current
    return read
