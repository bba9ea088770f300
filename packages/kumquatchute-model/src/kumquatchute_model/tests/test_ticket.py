"""Digests of tickets, and validation before a ticket is recorded."""

import dataclasses

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.ticket import check_entries
from kumquatchute_model.ticket import DcState
from kumquatchute_model.ticket import NameState
from kumquatchute_model.ticket import Ticket

TICKET = Ticket(1, "", "amna", (NameState("Nguyen", ("Nuyen",)),))


def test_digest_depends_on_every_field():
    """Guards against nodes that apply different tickets under one number.

    Nodes compare digests to detect a changed ticket; a field outside the
    digest could differ between them unnoticed.
    """
    changed = (
        dataclasses.replace(TICKET, number=2),
        dataclasses.replace(TICKET, prev="x"),
        dataclasses.replace(TICKET, author="b"),
        dataclasses.replace(TICKET, entries=(DcState("atl-east", False),)),
    )
    digests = {ticket.digest() for ticket in (TICKET, *changed)}
    assert len(digests) == 5


def test_repeated_key_is_refused():
    """Guards against an outcome that depends on the order of the entries.

    With two states for one data centre, the last one would win, and the
    operator would not learn that the other had no effect.
    """
    entries = (DcState("atl-east", False), DcState("atl-east", True))
    assert check_entries(entries).kind is ErrorKind.MALFORMED


def test_ticket_above_the_size_limit_is_refused():
    """Guards against a ticket that the store cannot hold.

    Its record would fail after the submission was admitted. The refusal
    says that nothing was recorded, so the operator can split the ticket.
    """
    aliases = tuple(f"{i:0100d}" for i in range(10_000))
    failure = check_entries((NameState("Nguyen", aliases),))
    assert failure.kind is ErrorKind.TOO_LARGE
    assert failure.not_run
