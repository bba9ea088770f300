"""Answers that callers get from real nodes while searchers' are faulty."""

from pathlib import Path

from kumquatchute_standins.platform.fleet.answer_checks import Wrong
from kumquatchute_standins.platform.fleet.relay.run import Case
from kumquatchute_standins.platform.fleet.relay.run import CaseResult
from kumquatchute_standins.platform.fleet.relay.run import run_case

SEED = 31
LENGTH_S = 1.5
NODES = ("a", "b")
REPEATED = (Wrong.REFUSED_RAN, Wrong.RAN_TWICE)


def play(
    folder: Path, *faults: str, share: float = 0.5, replicas: bool = True
) -> CaseResult:
    """Play a case whose searchers have some faults.

    :param share: fraction of the answers that are faulty
    :param replicas: whether services have three searchers, not one
    """
    case = Case(
        SEED, LENGTH_S, faults, share, has_replicas=replicas, nodes=NODES
    )
    result = run_case(case, folder)
    # A case in which nothing is served shows nothing.
    assert result.right > 100, result.format_line()
    return result


def assert_none_wrong(result: CaseResult) -> None:
    """Assert that no response is wrong, or show the first that are."""
    assert not result.violations, (
        result.format_line(),
        result.violations[:3],
    )


def test_copy_without_an_id_is_not_the_answer_to_the_next_request(
    tmp_path: Path,
) -> None:
    """Guards against a late copy that a caller gets as its own answer."""
    assert_none_wrong(play(tmp_path, "no-id-copy", "no-id-failure-copy"))


def test_refusal_without_an_id_does_not_refuse_the_next_request(
    tmp_path: Path,
) -> None:
    """Guards against "not run" for work that runs, and against a second run.

    A late copy of a refusal arrives while another request is pending.
    """
    result = play(tmp_path, "no-id-refusal-copy", replicas=False)
    assert_none_wrong(result)


def test_searcher_that_never_echoes_ids_is_served(tmp_path: Path) -> None:
    """Guards against a check of ids that refuses sound searchers."""
    result = play(tmp_path, "no-id", share=1.0)
    assert_none_wrong(result)
    assert result.right > 0.99 * result.requests, result.format_line()


def test_success_without_a_digest_is_not_relayed(tmp_path: Path) -> None:
    """Guards against a success that nothing shows to be a searcher's own."""
    assert_none_wrong(play(tmp_path, "no-digest"))


def test_success_with_two_digests_is_not_relayed(tmp_path: Path) -> None:
    """Guards against an answer whose head is that of two answers."""
    assert_none_wrong(play(tmp_path, "two-digests"))


def test_cut_copy_is_not_joined_with_the_next_answer(tmp_path: Path) -> None:
    """Guards against the status of a copy with the digest of an answer.

    The copy ends inside its status line or head, so that the status line of
    the next answer is read as the rest of it.
    """
    assert_none_wrong(play(tmp_path, "copy-joined"))


def test_copy_is_not_read_as_the_end_of_a_body(tmp_path: Path) -> None:
    """Guards against a body without a length that holds a second copy."""
    assert_none_wrong(play(tmp_path, "until-close-copy"))


def test_copy_does_not_complete_a_broken_answer(tmp_path: Path) -> None:
    """Guards against a broken body that is filled with the head of a copy."""
    assert_none_wrong(play(tmp_path, "broken-off-copy"))


def test_incomplete_answers_are_not_relayed(tmp_path: Path) -> None:
    """Guards against a success whose body was broken off or reset."""
    assert_none_wrong(play(tmp_path, "broken-off", "until-reset"))


def test_failures_with_a_digest_keep_their_status(tmp_path: Path) -> None:
    """Guards against a failure that is merged as a part or relayed as run."""
    assert_none_wrong(play(tmp_path, "failure"))


def test_failures_of_any_status_promise_nothing(tmp_path: Path) -> None:
    """Guards against "not run" for work that a searcher ran and failed."""
    result = play(tmp_path, "failure-any", "failure-no-digest")
    assert_none_wrong(result)


def test_answer_that_names_another_request_is_not_relayed(
    tmp_path: Path,
) -> None:
    """Guards against a check of ids that a connection's first answer skips."""
    assert_none_wrong(play(tmp_path, "other-id", share=0.1))


def test_whole_copies_with_their_id_are_skipped(tmp_path: Path) -> None:
    """Guards against a late copy that is taken in spite of its id."""
    result = play(tmp_path, "copy", "copy-pieces", "interim", "until-close")
    assert_none_wrong(result)


def test_copies_of_refusals_repeat_no_submission(tmp_path: Path) -> None:
    """Guards against a retry that a copy of a refusal calls "not run"."""
    result = play(tmp_path, "refusal-copy", replicas=False)
    repeated = [item for item in result.violations if item.wrong in REPEATED]
    assert not repeated, repeated[:3]
