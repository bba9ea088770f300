"""Guards determine whether owners in older epochs may still be sending.

The owner in an older epoch has stopped sending if it acknowledged a later
epoch or has ended. Otherwise, it can no longer send once both ways of being
current are closed to it: its lease cannot be renewed in the store, and every
majority of its epoch contains a member that has adopted a later epoch.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from kumquatchuted.placement.confirm import CONFIRM_DURATION_S
from kumquatchuted.placement.confirm import majority_size
from kumquatchuted.placement.messages import FormerEpoch
from kumquatchuted.placement.messages import Membership
from kumquatchuted.placement.messages import NodeLease
from kumquatchuted.placement.messages import OwnerGuard

# The added second covers clocks that run at different rates.
CONFIRM_EXPIRY_S = CONFIRM_DURATION_S + 1.0
EMPTY_MAPPING: Mapping = {}


@dataclass(frozen=True)
class Evidence:
    """Facts about incarnations that never revert, not even by stale reads.

    Times are monotonic, in seconds.

    :param acked: for each incarnation, the newest epoch it acknowledged
    :param held: for each incarnation, the newest epoch it reported, and when
    :param fenced: incarnations that can no longer renew a lease
    :param ended: incarnations that no longer send or confirm anything, and
        when this was learned
    """

    acked: Mapping[str, int] = field(default_factory=lambda: EMPTY_MAPPING)
    held: Mapping[str, tuple[int, float]] = field(
        default_factory=lambda: EMPTY_MAPPING
    )
    fenced: frozenset[str] = frozenset()
    ended: Mapping[str, float] = field(default_factory=lambda: EMPTY_MAPPING)


@dataclass(frozen=True)
class Guard:
    """An older epoch and when its members reported a later one.

    :param reported: for each incarnation, the monotonic time in seconds of
        its first report of a later epoch, or of learning that it ended
    """

    former: FormerEpoch
    reported: Mapping[str, float] = field(
        default_factory=lambda: EMPTY_MAPPING
    )


def record_epoch(
    evidence: Evidence, incarnation: str, epoch: int, now: float
) -> Evidence:
    """Record the epoch that an incarnation reported, unless it is older.

    :param now: monotonic time in seconds
    """
    if evidence.held.get(incarnation, (0, 0.0))[0] >= epoch:
        return evidence
    held = {**evidence.held, incarnation: (epoch, now)}
    return replace(evidence, held=held)


def record_acked(
    evidence: Evidence, incarnation: str, epoch: int, now: float
) -> Evidence:
    """Record that an incarnation released the searchers lost up to an epoch.

    :param now: monotonic time in seconds
    """
    evidence = record_epoch(evidence, incarnation, epoch, now)
    if evidence.acked.get(incarnation, 0) >= epoch:
        return evidence
    acked = {**evidence.acked, incarnation: epoch}
    return replace(evidence, acked=acked)


def record_ended(
    evidence: Evidence, incarnations: Iterable[str], now: float
) -> Evidence:
    """Record that incarnations no longer send or confirm anything."""
    new = {i: now for i in incarnations if i not in evidence.ended}
    if not new:
        return evidence
    return replace(evidence, ended={**evidence.ended, **new})


def record_lease(evidence: Evidence, lease: NodeLease, now: float) -> Evidence:
    """Record the facts that a stored lease states about incarnations."""
    fenced = set(lease.former)
    if lease.revoked or lease.released:
        fenced.add(lease.incarnation)
    ended = lease.ended
    if lease.released:
        ended += (lease.incarnation,)
    evidence = record_acked(
        evidence, lease.incarnation, lease.acked_epoch, now
    )
    evidence = replace(evidence, fenced=evidence.fenced | fenced)
    return record_ended(evidence, ended, now)


def retain_known(evidence: Evidence, known: frozenset[str]) -> Evidence:
    """Drop facts about unknown incarnations, so that they do not accumulate.

    :param known: incarnations of the newest epoch, of the older epochs that
        are still guarded, and of this process
    """
    return Evidence(
        {k: v for k, v in evidence.acked.items() if k in known},
        {k: v for k, v in evidence.held.items() if k in known},
        evidence.fenced & known,
        {k: v for k, v in evidence.ended.items() if k in known},
    )


def guards_for(
    guards: tuple[Guard, ...], membership: Membership
) -> tuple[Guard, ...]:
    """Return a guard for every older epoch of the membership.

    Existing guards are kept with their reports.
    """
    kept = {g.former.epoch: g for g in guards}
    return tuple(kept.get(f.epoch, Guard(f)) for f in membership.former)


def update_reports(
    guards: tuple[Guard, ...], evidence: Evidence
) -> tuple[Guard, ...]:
    """Add the members that have since reported a later epoch or ended.

    An incarnation that has ended counts, as it no longer confirms anything.
    """
    return tuple(_update_reports(g, evidence) for g in guards)


def _update_reports(guard: Guard, evidence: Evidence) -> Guard:
    new = {}
    for member in guard.former.members:
        name = member.incarnation
        epoch, at = evidence.held.get(name, (0, 0.0))
        if name in guard.reported:
            continue
        if epoch > guard.former.epoch:
            new[name] = at
        elif name in evidence.ended:
            new[name] = evidence.ended[name]
    if not new:
        return guard
    return replace(guard, reported={**guard.reported, **new})


def no_majority_since(guard: Guard) -> float | None:
    """Return since when no majority of the epoch can confirm its owners.

    Once n - majority + 1 members have reported a later epoch, every majority
    contains one of them. The time is that of the last of these reports.

    :returns: monotonic time in seconds, or None if a majority still can
    """
    members = guard.former.members
    needed = len(members) - majority_size(members) + 1
    times = sorted(guard.reported.values())
    return times[needed - 1] if len(times) >= needed else None


def blocking_incarnations(
    guard: Guard, evidence: Evidence, own: str, now: float
) -> frozenset[str]:
    """Return the incarnations that may still act as owners in the epoch.

    :param own: incarnation of this node, which does not wait for itself; an
        empty string to include this node
    :param now: monotonic time in seconds
    """
    since = no_majority_since(guard)
    unconfirmed = since is not None and now >= since + CONFIRM_EXPIRY_S
    return frozenset(
        m.incarnation
        for m in guard.former.members
        if m.incarnation != own
        and m.incarnation not in evidence.ended
        and evidence.acked.get(m.incarnation, 0) <= guard.former.epoch
        and not (unconfirmed and m.incarnation in evidence.fenced)
    )


def owner_guards(
    guards: tuple[Guard, ...], evidence: Evidence, own: str, now: float
) -> tuple[OwnerGuard, ...]:
    """Return the guards that still have blocking incarnations."""
    found = (
        OwnerGuard(
            g.former.epoch,
            g.former.members,
            blocking_incarnations(g, evidence, own, now),
        )
        for g in guards
    )
    return tuple(g for g in found if g.blocking)
