"""Commands against a fake node that fails, refuses or loses answers."""

import json
import re
import socket
import subprocess
import sys
import time

import pytest

from kumquatchute.core import main
from kumquatchute.tests.fake_node import FakeNode
from kumquatchute.tests.fake_node import serve_node
from kumquatchute.tests.fake_node import TOKEN
from kumquatchute import tickets
from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import ExitStatus
from kumquatchute_model.errors import Failure
from kumquatchute_model.ticket import DcState
from kumquatchute_model.ticket import NameState

UNREACHABLE_NODE = "http://127.0.0.1:1"


@pytest.fixture(autouse=True)
def short_lookup_interval(monkeypatch):
    monkeypatch.setattr(tickets, "LOOKUP_INTERVAL_S", 0.01)


@pytest.fixture
def node():
    return FakeNode()


@pytest.fixture
def run(node, capsys):
    """Return a function that runs a command and returns status and output.

    In its parameter ``nodes``, ``{0}`` stands for the URL of the fake node.
    """
    with serve_node(node) as url:

        def run_main(*args, nodes=None, token=TOKEN):
            urls = nodes.format(url) if nodes else url
            env = {"KUMQUATCHUTE_TOKEN": token, "KUMQUATCHUTE_NODES": urls}
            status = main(args, env)
            captured = capsys.readouterr()
            return status, captured.out + captured.err

        yield run_main


def test_dc_out_submits_the_next_number(run, node):
    """Guards against an evacuation that fails because its number is taken.

    The command reads the newest number first and submits the next one, with
    the data centre and state that the operator named.
    """
    node.record("omar", [NameState("A", ())])
    status, output = run("dc", "out", "atl-east")
    assert status is ExitStatus.SUCCESS
    assert "ticket 2 is accepted" in output
    assert "data centre atl-east: out of service" in output
    assert node.tickets[1].entries == (DcState("atl-east", False),)


def test_other_ticket_on_another_key_leads_to_a_retry(run, node):
    """Guards against a command that fails because others submit as well.

    Two tickets of another operator take the number after it was read. They
    change other keys, so a retry with the next free number overwrites nothing.
    """
    node.entries_before_next = [[NameState("A", ())], [NameState("B", ())]]
    status, output = run("dc", "out", "atl-east")
    assert status is ExitStatus.SUCCESS
    assert node.tickets[2].entries == (DcState("atl-east", False),)


def test_other_ticket_on_the_same_key_is_a_conflict(run, node):
    """Guards against overwriting a decision that the operator has not seen.

    The ticket that took the number sets the same data centre. A retry with
    the next number would reverse it.
    """
    node.entries_before_next = [
        [DcState("atl-east", True)],
        [NameState("B", ())],
    ]
    status, output = run("dc", "out", "atl-east")
    assert status is ExitStatus.CONFLICT
    assert "ticket 1 of omar set dc/atl-east" in output
    assert "nothing was changed" in output
    assert len(node.tickets) == 2


def test_number_chosen_by_the_operator_never_changes(run, node, tmp_path):
    """Guards against a file that is recorded twice, under two numbers.

    After a lost answer the operator submits the file again. Its number is
    taken by then and must not be replaced by the next free one.
    """
    node.entries_before_next = [[NameState("A", ())]]
    file = tmp_path / "ticket.yaml"
    file.write_text(
        "number: 1\nentries:\n- {type: name, name: B, aliases: [b2]}\n"
    )
    status, output = run("ticket", "submit", str(file))
    assert status is ExitStatus.CONFLICT
    assert len(node.tickets) == 1


def test_lost_answer_is_looked_up(run, node):
    """Guards against a recorded ticket that is reported as failed or repeated.

    The node closes the connection after it has recorded the ticket.
    """
    node.lose_answers = 1
    status, output = run("host", "out", "h7")
    assert status is ExitStatus.SUCCESS
    assert "the answer was lost, but the log shows: ticket 1" in output
    assert len(node.tickets) == node.submit_count == 1


def test_lost_answer_of_a_ticket_that_is_not_accepted_stays_unknown(run, node):
    """Guards against a success that is reported before the ticket is in force.

    The answer is lost, and the log shows the ticket as recorded only.
    """
    node.lose_answers, node.accepted = 1, False
    status, output = run("host", "out", "h7")
    assert status is ExitStatus.UNKNOWN
    assert "is recorded with this content" in output


def test_lost_request_is_reported_as_unknown_and_not_repeated(run, node):
    """Guards against a ticket that two nodes record.

    The connection closes without an answer. The node may still record the
    ticket, so it must not be sent to the next node, and the operator must not
    read that it failed.
    """
    node.drop_requests = 1
    status, output = run("host", "out", "h7", nodes="{0} " + UNREACHABLE_NODE)
    assert status is ExitStatus.UNKNOWN
    assert "not recorded so far" in output
    assert node.submit_count == 1


def test_lost_answer_while_another_ticket_took_the_number(run, node, tmp_path):
    """Guards against a ticket of another operator that is taken for one's own.

    The node does not know the outcome, and the lookup finds other content
    under the number: the submitted ticket certainly has no effect.
    """
    file = tmp_path / "ticket.json"
    file.write_text(
        '{"number": 1, "entries": '
        '[{"type": "host", "host": "h7", "in_service": false}]}'
    )
    node.refusal = Failure(ErrorKind.OUTCOME_UNKNOWN, "the store is slow")
    node.record("omar", [NameState("A", ())])
    status, output = run("ticket", "submit", str(file))
    assert status is ExitStatus.CONFLICT
    assert "did not take effect" in output


def test_next_node_is_tried_when_one_is_unreachable(run, node):
    """Guards against commands that fail while one of several nodes is down."""
    status, _ = run("dc", "in", "atl-east", nodes=UNREACHABLE_NODE + ",{0}")
    assert status is ExitStatus.SUCCESS
    assert node.submit_count == 1


def test_paused_node_delays_a_command_by_a_few_seconds_only(run, node):
    """Guards against an evacuation that is delayed by a paused node.

    The node accepts the connection and never answers. If the ticket were sent
    to it first, the command would wait 20 s for the answer, and the data
    centre would stay in service for this time.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:
        silent_url = f"http://127.0.0.1:{listener.getsockname()[1]}"
        started = time.monotonic()
        status, _ = run("dc", "out", "atl-east", nodes=silent_url + ",{0}")
        elapsed_s = time.monotonic() - started
    assert status is ExitStatus.SUCCESS
    assert node.submit_count == 1
    assert elapsed_s < 5.0


def test_refusal_names_reason_and_effect(run, node):
    """Guards against a refusal that does not tell the operator what to do.

    Kind and reason show that too few nodes can be reached, and the exit
    status tells a script that the command can be repeated later.
    """
    node.refusal = Failure(
        ErrorKind.TOO_FEW_NODES, "1 of 4 nodes can be reached", not_run=True
    )
    status, output = run("dc", "out", "atl-east")
    assert status is ExitStatus.UNAVAILABLE
    assert "too_few_nodes: 1 of 4 nodes can be reached" in output


def test_log_is_read_to_the_end_and_printed_as_json(run, node):
    """Guards against a log that ends after the first page of a node."""
    for i in range(5):
        node.record("omar", [NameState(f"N{i}", ())])
    status, output = run("ticket", "log", "--after", "1", "--output", "json")
    numbers = [ticket["number"] for ticket in json.loads(output)["tickets"]]
    assert numbers == [2, 3, 4, 5]


def test_partial_answer_is_marked_and_control_characters_are_replaced(run):
    """Guards against a partial answer that is taken for a complete one.

    Also against documents that control the terminal: the name of the hit
    contains an escape sequence.
    """
    status, output = run("search", "console", "a")
    assert status is ExitStatus.SUCCESS
    assert "partial: 3 of 4 documents (75.0%), missing shards s2" in output
    assert "\x1b" not in output


@pytest.mark.parametrize(
    "args",
    [
        ("ticket", "show", "1"),
        ("ticket", "show", "9"),
        ("ticket", "log"),
        ("dc", "out", "a"),
        ("host", "in", "a"),
        ("status",),
        ("search", "console", "a"),
        ("config", "check", "no-such-file"),
        ("ticket", "submit", "no-such-file"),
    ],
)
def test_every_command_prints_one_json_document(run, node, args):
    """Guards against scripts that cannot parse the output.

    Failures and unreadable files are reported as JSON as well.
    """
    node.record("omar", [NameState("A", ())])
    status, output = run(*args, "--output", "json")
    assert isinstance(json.loads(output), dict)


def test_token_comes_from_a_file_and_is_never_printed(run, tmp_path):
    """Guards against tokens in terminals and logs after a refusal.

    A token in a file is not visible in the environment, and a missing token
    is reported with the name of the variable that is read.
    """
    file = tmp_path / "token"
    file.write_text(TOKEN + "\n")
    args = ("status", "--token-file", str(file))
    assert run(*args, token="")[0] is ExitStatus.SUCCESS
    status, output = run("status", token="another-s3cret")
    assert status is ExitStatus.REFUSED
    assert "s3cret" not in output
    status, output = run("status", token="")
    assert status is ExitStatus.USAGE
    assert "KUMQUATCHUTE_TOKEN" in output


def test_file_with_a_misspelled_field_changes_nothing(run, node, tmp_path):
    """Guards against a misspelled field that is ignored.

    The file is refused before anything is sent, and the field is named.
    """
    file = tmp_path / "ticket.yaml"
    file.write_text("entries:\n- {type: dc, dc: a, in_servce: false}\n")
    status, output = run("ticket", "submit", str(file))
    assert status is ExitStatus.USAGE
    assert "in_servce" in output
    assert node.submit_count == 0


def test_invalid_arguments_exit_with_the_usage_status(run):
    """Guards against scripts that repeat a command that can never succeed."""
    assert run("ticket", "show", "x")[0] is ExitStatus.USAGE
    assert run("status", nodes="ftp://a")[0] is ExitStatus.USAGE


def test_process_exits_with_the_status_of_the_command():
    """Guards against a command that works in tests but not as a process.

    The other tests call ``main``. This one starts the module, and reads a help
    text that typer takes from the docstring of a command.
    """
    completed = subprocess.run(
        [sys.executable, "-m", "kumquatchute", "ticket", "--help"],
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == ExitStatus.SUCCESS
    assert re.search(r"submit\s+Submit the ticket in FILE", completed.stdout)
