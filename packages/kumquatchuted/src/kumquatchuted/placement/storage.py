"""Runs the store requests of placement and returns events."""

import asyncio
from collections.abc import Callable

import logbook

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.placement.codec import decode_lease
from kumquatchuted.placement.codec import decode_membership
from kumquatchuted.placement.codec import DecodeError
from kumquatchuted.placement.codec import encode
from kumquatchuted.placement.messages import DeleteLease
from kumquatchuted.placement.messages import LeaseDeleted
from kumquatchuted.placement.messages import LeasesRead
from kumquatchuted.placement.messages import LeaseWritten
from kumquatchuted.placement.messages import MembershipRead
from kumquatchuted.placement.messages import MembershipWritten
from kumquatchuted.placement.messages import ReadFailed
from kumquatchuted.placement.messages import ReadLeases
from kumquatchuted.placement.messages import ReadMembership
from kumquatchuted.placement.messages import StoredLease
from kumquatchuted.placement.messages import WriteLease
from kumquatchuted.placement.messages import WriteMembership
from kumquatchuted.placement.messages import WriteOutcome
from kumquatchuted.platform.store import Conflict
from kumquatchuted.platform.store import ObjectKind
from kumquatchuted.platform.store import Store
from kumquatchuted.platform.store import StoredObject

log = logbook.Logger("placement")

MEMBERSHIP_NAME = "membership"
# Shorter than the renewal interval, so a lost request costs only one renewal.
REQUEST_TIMEOUT_S = 1.5

Request = (
    ReadMembership | ReadLeases | WriteLease | DeleteLease | WriteMembership
)
Event = (
    MembershipRead
    | LeasesRead
    | LeaseWritten
    | LeaseDeleted
    | MembershipWritten
    | ReadFailed
)


async def run_request(
    store: Store, request: Request, clock: Callable[[], float]
) -> Event:
    """Run a request and return the event with its outcome.

    The event also says when the store failed or did not answer in time.

    :param clock: returns monotonic time in seconds
    """
    match request:
        case ReadMembership():
            return await _read_membership(store, request)
        case ReadLeases():
            return await _read_leases(store, request)
        case WriteLease(lease, version):
            sent_at = clock()
            outcome, new_version = await _write(
                store, ObjectKind.LEASES, lease.node, encode(lease), version
            )
            return LeaseWritten(lease, sent_at, outcome, new_version)
        case DeleteLease(node, version):
            await _with_timeout(store.delete(ObjectKind.LEASES, node, version))
            return LeaseDeleted()
        case WriteMembership(membership, version):
            outcome, new_version = await _write(
                store,
                ObjectKind.MEMBERSHIPS,
                MEMBERSHIP_NAME,
                encode(membership),
                version,
            )
            return MembershipWritten(membership, outcome, new_version)


async def _read_membership(
    store: Store, request: ReadMembership
) -> MembershipRead | ReadFailed:
    found = await _with_timeout(
        store.get(ObjectKind.MEMBERSHIPS, MEMBERSHIP_NAME)
    )
    match found:
        case StoredObject(_, version, body):
            try:
                return MembershipRead(decode_membership(body), version)
            except DecodeError as exc:
                log.error("membership malformed cause={}", exc)
                return ReadFailed(request)
        case Failure(ErrorKind.NOT_FOUND):
            return MembershipRead(None, "")
        case _:
            return ReadFailed(request)


async def _read_leases(
    store: Store, request: ReadLeases
) -> LeasesRead | ReadFailed:
    found = await _with_timeout(store.list(ObjectKind.LEASES))
    if isinstance(found, Failure):
        return ReadFailed(request)
    leases = []
    for stored in found.objects:
        try:
            lease = decode_lease(stored.body)
        except DecodeError as exc:
            log.error("lease malformed name={} cause={}", stored.name, exc)
            continue
        leases.append(StoredLease(lease, stored.version))
    return LeasesRead(tuple(leases))


async def _write(
    store: Store,
    kind: ObjectKind,
    name: str,
    body: bytes,
    version: str | None,
) -> tuple[WriteOutcome, str]:
    """Create an object, or update it if it has this version.

    :returns: the outcome, and the new version if the write succeeded
    """
    if version is None:
        call = store.create(kind, name, body)
    else:
        call = store.update(kind, name, body, version)
    match await _with_timeout(call):
        case StoredObject(_, new_version, _):
            return WriteOutcome.DONE, new_version
        case Conflict():
            return WriteOutcome.CONFLICT, ""
        case Failure(ErrorKind.NOT_FOUND):
            return WriteOutcome.GONE, ""
        case _:
            return WriteOutcome.UNKNOWN, ""


async def _with_timeout(call):
    """Return the result of a store call, or a failure after the timeout.

    A write that timed out may still take effect, so its outcome is unknown.
    """
    try:
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            return await call
    except TimeoutError:
        return Failure(ErrorKind.OUTCOME_UNKNOWN, "no answer from the store")
