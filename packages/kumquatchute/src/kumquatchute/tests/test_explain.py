"""Causes of failed and partial requests, found in the logs of the nodes."""

from kumquatchute.core import main
from kumquatchute.explain import explain
from kumquatchute_model.errors import ExitStatus

LOGS = """\
2026-05-30T14:07:44.423+00:00 INFO request: id=r1 route=notes manifest=7 \
attempts=21 outcome=target_failed ms=38 3 of 20 shards have no answer
2026-05-30T14:07:44.400+00:00 INFO searchers: attempt lost searcher=i-7 \
sent=True cause=ConnectionResetError request=r1
2026-05-30T14:07:44.401+00:00 INFO searchers: attempt lost searcher=i-8 \
sent=True cause=ConnectionResetError request=r12
2026-05-30T14:07:45.000+00:00 INFO request: id=r2 route=notes manifest=7 \
attempts=21 outcome=200 ms=140 missing=1
not a line of a node
"""


def test_lines_are_sorted_and_the_cause_is_named():
    """Guards against a cause that is taken from the wrong line.

    Logs of several nodes come in any order, and the ID ``r1`` is also the
    beginning of ``r12``.
    """
    explanation = explain("r1", LOGS.splitlines())
    assert [line.part for line in explanation.lines] == [
        "searchers",
        "request",
    ]
    assert explanation.cause == (
        "searchers failed and no other could take it:"
        " 3 of 20 shards have no answer"
    )


def test_missing_shards_are_named_as_the_cause():
    """Guards against a partial answer that is explained as a complete one.

    The status is 200 in both cases.
    """
    cause = explain("r2", LOGS.splitlines()).cause
    assert cause == "it was answered without 1 shards that were late or lost"


def test_request_without_a_final_line_is_not_called_answered():
    """Guards against a lost request that is explained as answered.

    A node that dies leaves lines of its attempts but no final line.
    """
    lines = [line for line in LOGS.splitlines() if "id=r1" not in line]
    assert explain("r1", lines).cause.startswith("no node logged its outcome")


def test_exit_status_tells_whether_the_request_was_found(tmp_path, capsys):
    """Guards against scripts that take a missing explanation for one.

    No line may name the request, or a log file may be unreadable.
    """
    log = tmp_path / "n0.log"
    log.write_text(LOGS)
    assert main(["explain", "r2", str(log)], {}) is ExitStatus.SUCCESS
    output = capsys.readouterr().out
    assert "n0 request id=r2" in output
    assert main(["explain", "r9", str(log)], {}) is ExitStatus.REFUSED
    missing = str(tmp_path / "none.log")
    assert main(["explain", "r2", missing], {}) is ExitStatus.USAGE
