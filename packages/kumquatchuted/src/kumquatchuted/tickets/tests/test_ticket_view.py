"""Guards against views that differ between nodes or lose spellings."""

import dataclasses

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.ticket import DcState
from kumquatchute_model.ticket import HostState
from kumquatchute_model.ticket import NameState
from kumquatchute_model.ticket import SettingState
from kumquatchute_model.ticket import Ticket
from kumquatchuted.tickets.codec import encode_chunk
from kumquatchuted.tickets.codec import join_chunks
from kumquatchuted.tickets.codec import split_view
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.view import apply_tickets
from kumquatchuted.tickets.view import find_spellings
from kumquatchuted.tickets.view import fold_spelling

DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=150)


def build_chain(*batches):
    tickets, prev = [], ""
    for number, entries in enumerate(batches, 1):
        tickets.append(Ticket(number, prev, "amna", tuple(entries)))
        prev = tickets[-1].digest()
    return tuple(tickets)


def test_every_spelling_finds_all_spellings():
    """Guards against hits that depend on which spelling the caller typed.

    Case and white space differ from the recorded name.
    """
    tickets = build_chain(
        [NameState("Muḥammad Ali", ("Mohamed  Ali", "M. Ali"))]
    )
    view = apply_tickets(View(), tickets)
    spellings = ("Muḥammad Ali", "Mohamed  Ali", "M. Ali")
    for typed in ("muḥammad ALI", " mohamed ali ", "m.  ali"):
        assert find_spellings(view, typed) == spellings
    assert find_spellings(view, "Someone  Else") == ("Someone Else",)


def test_shared_spelling_finds_both_names_until_one_drops_it():
    """Guards against spellings that are lost when two names share one.

    One of the names drops the shared alias; the other must keep it.
    """
    both = build_chain(
        [NameState("Nguyen", ("Win",)), NameState("Wynn", ("Win",))],
        [NameState("Wynn", ())],
    )
    view = apply_tickets(View(), both[:1])
    assert set(find_spellings(view, "win")) == {"Nguyen", "Win", "Wynn"}
    assert set(find_spellings(view, "wynn")) == {"Wynn", "Win"}
    view = apply_tickets(view, both)
    assert set(find_spellings(view, "win")) == {"Nguyen", "Win"}
    assert find_spellings(view, "wynn") == ("Wynn",)


@pytest.mark.proves("ticket: apply", "store answers older state")
def test_older_tickets_are_skipped_and_gaps_and_conflicts_refused():
    """Guards against a view that goes back or differs from other nodes' views.

    Tickets are delivered late, with one missing, or with the digest of
    another previous ticket.
    """
    first, second = build_chain([DcState("a", False)], [DcState("a", True)])
    view = apply_tickets(View(), (first, second))
    assert apply_tickets(view, (first,)) is view
    assert apply_tickets(View(), (second,)).kind is ErrorKind.TICKET_GAP
    forged = dataclasses.replace(second, prev="other")
    failure = apply_tickets(apply_tickets(View(), (first,)), (forged,))
    assert failure.kind is ErrorKind.TICKET_CONFLICT


spellings = st.sampled_from(["Ann", "ANN", "Bo", "bo ", "Cy", "Dee", "É", "é"])
entries = st.one_of(
    st.builds(
        NameState, spellings, st.lists(spellings, max_size=3).map(tuple)
    ),
    st.builds(DcState, st.sampled_from("ab"), st.booleans()),
    st.builds(HostState, st.sampled_from("ab"), st.booleans()),
    st.builds(SettingState, st.just("s"), st.sampled_from("ab"), spellings),
)


@DETERMINISTIC
@given(st.lists(st.lists(entries, min_size=1, max_size=3), max_size=8))
def test_view_does_not_depend_on_how_it_was_built(batches):
    """Guards against nodes that answer one query with different spellings.

    Nodes build the same view from all tickets at once, ticket by ticket, or
    from a compacted view.
    """
    tickets = build_chain(*batches)
    at_once = apply_tickets(View(), tickets)
    step_by_step = View()
    for ticket in tickets:
        step_by_step = apply_tickets(step_by_step, (ticket,))
    assert step_by_step == at_once
    assert step_by_step.spellings == at_once.spellings
    chunks = split_view(at_once)
    bodies = tuple(chunk.body for chunk in chunks)
    assert join_chunks(bodies, chunks[0].checksum) == at_once
    last_spellings = {}
    for entry in (e for batch in batches for e in batch):
        if isinstance(entry, NameState):
            last_spellings[entry.name] = {entry.name, *entry.aliases}
    for typed in {"Ann", "bo", "Cy", "Dee", "É", "zed"}:
        matching = [
            spellings_of_name
            for spellings_of_name in last_spellings.values()
            if fold_spelling(typed)
            in set(map(fold_spelling, spellings_of_name))
        ]
        expected = set().union(*matching) if matching else {typed}
        assert set(find_spellings(at_once, typed)) == expected


def test_large_view_is_split_into_objects_below_500_kb():
    """Guards against a compacted view that the store refuses as too large."""
    aliases = tuple(f"{i:06d}" for i in range(100_000))
    view = apply_tickets(View(), build_chain([NameState("Nguyen", aliases)]))
    chunks = split_view(view)
    assert len(chunks) > 1
    assert all(len(encode_chunk(chunk)) < 500_000 for chunk in chunks)
    bodies = tuple(chunk.body for chunk in chunks)
    assert join_chunks(bodies, chunks[0].checksum) == view
    assert join_chunks(bodies[1:], chunks[0].checksum).kind is (
        ErrorKind.INTERNAL
    )
