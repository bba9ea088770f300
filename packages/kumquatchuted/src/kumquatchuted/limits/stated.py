"""This node's part of the rate limit that a searcher states.

A searcher in need states in its responses how many requests a second it takes
from all nodes together. Nodes do not coordinate: each derives its part from
the limit and the list of nodes, so that the sum of all parts stays within what
the users allow.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
import math

import xxhash

# The users count the requests in any 4 s and allow one and a half times the
# limit and 5 requests. The allocated share leaves a margin for requests that
# arrive closer together than they were sent, and for an old list of nodes.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_SLACK = 5.0
ALLOCATED_SHARE = 0.85
# Part of a limit for the nodes in the data centre of the searcher, which send
# most of its requests; the other nodes have the rest.
LOCAL_SHARE = 0.8
# Nodes without a part of the limit, or with a limit close to zero, send a
# request now and then, because only responses show that a limit has ended or
# changed. This is the rate of those of a group in total, and the highest rate
# of one of them.
PROBES_PER_S = 0.2
MAX_PROBE_RATE_PER_S = 0.1


@dataclass(frozen=True, slots=True)
class Allocation:
    """Token bucket of one node for one searcher.

    :param rate_per_s: tokens added per second
    :param burst: maximum number of tokens to which they are added
    :param initial_tokens: tokens when the limit becomes known
    """

    rate_per_s: float
    burst: float
    initial_tokens: float


@dataclass(frozen=True, slots=True)
class SendCount:
    """Sends to one searcher, counted in consecutive windows of ``WINDOW_S``.

    :param started_at: start of the current window, in monotonic seconds
    :param current: sends in the current window
    :param previous: sends in the window before it
    """

    started_at: float
    current: int = 0
    previous: int = 0


@dataclass(frozen=True, slots=True)
class StatedLimit:
    """A limit that a searcher states, and this node's tokens.

    :param updated_at: when the tokens were counted, in monotonic seconds
    """

    limit_per_s: float
    allocation: Allocation
    tokens: float
    updated_at: float


def allocate(
    node: str,
    node_dcs: Mapping[str, str],
    searcher: str,
    searcher_dc: str,
    limit_per_s: float,
) -> Allocation:
    """Return a node's part of a limit.

    The nodes of the searcher's data centre share ``LOCAL_SHARE``, and the
    others the rest; a group without nodes leaves its share to the other one.

    :param node: name of a node that ``node_dcs`` contains
    :param node_dcs: data centre of each node by name
    """
    is_local = node_dcs[node] == searcher_dc
    group = [
        name
        for name, dc in node_dcs.items()
        if (dc == searcher_dc) == is_local
    ]
    share = 1.0
    if len(group) < len(node_dcs):
        share = LOCAL_SHARE if is_local else 1 - LOCAL_SHARE
    allowed = ALLOWED_FACTOR * limit_per_s * WINDOW_S + ALLOWED_SLACK
    probes = PROBES_PER_S * WINDOW_S
    sends = share * (ALLOCATED_SHARE * allowed - probes)
    return _allocate_in_group(
        node, group, searcher, share * limit_per_s, max(0.0, sends)
    )


def _allocate_in_group(
    node: str,
    group: list[str],
    searcher: str,
    rate_per_s: float,
    sends: float,
) -> Allocation:
    """Return a node's part of what the nodes of a group may send.

    At most half of the sends are bursts of one request each, so that nodes
    beyond that number get no part. Rendezvous hashing selects those that do.

    :param rate_per_s: requests per second from the group on average
    :param sends: requests from the group within ``WINDOW_S``
    """
    ranked = sorted(group, key=lambda name: _rank(searcher, name))
    sender_count = min(len(group), math.floor(sends / 2))
    if node not in ranked[:sender_count]:
        others = ranked[sender_count:]
        probe_rate = min(MAX_PROBE_RATE_PER_S, PROBES_PER_S / len(others))
        # Different initial tokens keep the nodes from probing all at once.
        return Allocation(probe_rate, 1.0, others.index(node) / len(others))
    group_rate = min(rate_per_s, (sends - sender_count) / WINDOW_S)
    burst = (sends - group_rate * WINDOW_S) / sender_count
    rate = group_rate / sender_count
    probe_rate = min(MAX_PROBE_RATE_PER_S, PROBES_PER_S / len(group))
    if rate < probe_rate:
        # Probes are not saved up to a burst that all nodes send at once.
        return Allocation(probe_rate, 1.0, burst)
    return Allocation(rate, burst, burst)


def count_send(count: SendCount, now: float) -> SendCount:
    """Return the count with one more send.

    :param now: monotonic time in seconds
    """
    count = _advance(count, now)
    return replace(count, current=count.current + 1)


def recent_sends(count: SendCount, now: float) -> float:
    """Estimate the sends within the last ``WINDOW_S``.

    :param now: monotonic time in seconds
    """
    count = _advance(count, now)
    overlap = 1.0 - (now - count.started_at) / WINDOW_S
    return count.current + overlap * count.previous


def _advance(count: SendCount, now: float) -> SendCount:
    windows = math.floor((now - count.started_at) / WINDOW_S)
    if windows <= 0:
        return count
    previous = count.current if windows == 1 else 0
    return SendCount(count.started_at + windows * WINDOW_S, 0, previous)


def start_limit(
    limit_per_s: float, allocation: Allocation, recent: float, now: float
) -> StatedLimit:
    """Return the state when a limit becomes known.

    What this node has just sent counts towards its burst, since the searcher
    gets both within the same window.

    :param recent: sends of this node within the last ``WINDOW_S``
    :param now: monotonic time in seconds
    """
    tokens = max(0.0, allocation.initial_tokens - recent)
    return StatedLimit(limit_per_s, allocation, tokens, now)


def change_limit(
    limit: StatedLimit, limit_per_s: float, allocation: Allocation, now: float
) -> StatedLimit:
    """Return the state after a change of the limit or of the list of nodes.

    :param limit_per_s: limit that holds now
    :param allocation: this node's part of it
    :param now: monotonic time in seconds
    """
    return StatedLimit(
        limit_per_s,
        allocation,
        min(_tokens(limit, now), allocation.burst),
        now,
    )


def may_send(limit: StatedLimit, now: float) -> bool:
    """Return whether a token is left.

    :param now: monotonic time in seconds
    """
    return _tokens(limit, now) >= 1.0


def record_send(limit: StatedLimit, now: float) -> StatedLimit:
    """Return the state with one token less.

    :param now: monotonic time in seconds
    """
    return replace(limit, tokens=_tokens(limit, now) - 1.0, updated_at=now)


def _tokens(limit: StatedLimit, now: float) -> float:
    allocation = limit.allocation
    added = max(0.0, now - limit.updated_at) * allocation.rate_per_s
    # Initial tokens can exceed the burst, and are not lost.
    return max(limit.tokens, min(allocation.burst, limit.tokens + added))


def _rank(searcher: str, node: str) -> int:
    return xxhash.xxh64_intdigest(f"{searcher}/{node}".encode())
