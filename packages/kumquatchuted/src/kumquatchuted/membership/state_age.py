"""How long calls of other nodes may take while the state gets older."""

# A shorter watch would end at once and be followed by another call.
MIN_WATCH_S = 0.1
# Time within which a change must apply on any site. It bounds the age of the
# state, counted from when the store confirmed it and not from when a relay
# sent it. The following ages and times leave room for one other relay and the
# store.
MAX_STATE_AGE_S = 3.0
# A watch of a relay ends at this age. The relay has a newer confirmation then,
# since its own watch of the store ends every 2 s.
CHECK_AGE_S = 2.3
# A relay that has not responded at this age is left.
LEAVE_AGE_S = 2.65
# At this age the listing of another relay is given up, and the store is next.
GIVE_UP_AGE_S = 2.8
# Shortest times for a relay's response to a watch that is due and to a
# listing, also when the ages above are passed.
MIN_RESPONSE_S = 0.15
MIN_LISTING_S = 0.1


def plan_watch(
    due_s: float, interval_s: float, age_s: float
) -> tuple[float, float]:
    """Return how long a relay is watched and how long its response may take.

    A relay must confirm the state before it is too old.

    :param due_s: time until the watches of the topic end, in seconds
    :param interval_s: time between these ends, in seconds
    :param age_s: age of the state in seconds
    :returns: both times in seconds
    """
    wait_s = due_s if due_s >= MIN_WATCH_S else due_s + interval_s
    return (
        min(wait_s, max(MIN_WATCH_S, CHECK_AGE_S - age_s)),
        max(MIN_WATCH_S + MIN_RESPONSE_S, LEAVE_AGE_S - age_s),
    )


def plan_listing(age_s: float) -> float | None:
    """Return how long the listing of a relay may take, in seconds.

    :param age_s: age of the state in seconds
    :returns: None if the state is already too old, which limits the call no
        more
    """
    if age_s >= MAX_STATE_AGE_S:
        return None
    return max(MIN_LISTING_S, GIVE_UP_AGE_S - age_s)
