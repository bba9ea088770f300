"""Guards against lost attempts, misdirected outcomes and wrong "not run"."""

import asyncio

import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchuted.peers.dispatch import DispatchTask
from kumquatchuted.peers.messages import AttemptBatch
from kumquatchuted.peers.messages import CancelBatch
from kumquatchuted.peers.messages import Cancellation
from kumquatchuted.peers.messages import FromPeer
from kumquatchuted.peers.messages import LinkDown
from kumquatchuted.peers.messages import LinkUp
from kumquatchuted.peers.messages import OutcomeBatch
from kumquatchuted.peers.messages import Ping
from kumquatchuted.peers.messages import SendAttempt
from kumquatchuted.peers.messages import SendFailed
from kumquatchuted.peers.messages import ToPeer
from kumquatchuted.peers.messages import WithdrawAttempts
from kumquatchuted.targets.messages import AttemptDone
from kumquatchuted.targets.messages import CancelAttempts
from kumquatchuted.targets.messages import SearchAttempt
from kumquatchuted.targets.messages import SearchResult


def search_attempt(attempt: str, budget_ms: float = 100.0) -> SearchAttempt:
    return SearchAttempt(
        attempt, "console", "s", "0", 1, 1, ("Nguyen",), 10, budget_ms
    )


def result(attempt: str) -> SearchResult:
    return SearchResult(attempt, "s", 1, 1, 10, ())


class Harness:
    """A dispatch task with lists in place of other tasks' mailboxes."""

    def __init__(self):
        self.targets = []
        self.peers = []
        self.replies = []
        self.task = DispatchTask(
            "n1", self.targets.append, self.peers.append, lambda: 100.0
        )

    def handle(self, *messages):
        """Run the task until it has handled the messages as one batch."""

        async def run():
            for message in messages:
                self.task.mailbox.post(message)
            running = asyncio.create_task(self.task.run())
            await asyncio.sleep(0)
            await asyncio.sleep(0.01)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)

        asyncio.run(run())

    def make_send_attempt(self, attempt: str) -> SendAttempt:
        return SendAttempt(
            "n2", search_attempt(attempt), 101.0, self.replies.append
        )


def test_attempts_for_one_owner_share_a_message():
    """Guards against a cost for each attempt that a query sends to one owner.

    One message for each shard would cost both nodes more time for encoding,
    sending and receiving.
    """
    harness = Harness()
    harness.handle(
        LinkUp("n2", "i"),
        harness.make_send_attempt("a1"),
        harness.make_send_attempt("a2"),
    )
    assert len(harness.peers) == 1
    assert len(harness.peers[0].message.searches) == 2


@pytest.mark.report("one message ends a process")
def test_unexpected_error_does_not_end_the_task():
    """Guards against one message that ends the process of the node.

    The messages that follow it, in the same batch too, are handled, and their
    attempts are sent.
    """

    def fail(message):
        raise ValueError("unexpected")

    harness = Harness()
    harness.task = DispatchTask(
        "n1", fail, harness.peers.append, lambda: 100.0
    )
    local = SendAttempt("n1", search_attempt("a1"), 101.0, lambda _: None)
    harness.handle(
        LinkUp("n2", "i"), local, harness.make_send_attempt("a2"), local
    )
    assert [
        attempt.attempt for attempt in harness.peers[0].message.searches
    ] == ["a2"]
    harness.handle(harness.make_send_attempt("a3"))
    assert len(harness.peers) == 2


@pytest.mark.proves("search: send", "node killed")
def test_attempt_without_a_link_is_not_run():
    """Guards against waiting until the deadline for an attempt never sent.

    The failure must say that it did not run, so that another may be sent.
    """
    harness = Harness()
    harness.handle(harness.make_send_attempt("a1"))
    assert harness.peers == []
    assert harness.replies[0].not_run


def test_attempt_that_the_link_did_not_accept_is_not_run():
    """Guards against an unknown outcome for an attempt that never left.

    The queue of the link is full. A submission with an unknown outcome is not
    sent again, although this one cannot have run.
    """
    harness = Harness()
    batch = AttemptBatch(0.0, (search_attempt("a1"),))
    harness.handle(
        LinkUp("n2", "i"),
        harness.make_send_attempt("a1"),
        SendFailed("n2", batch),
    )
    assert harness.replies[0].not_run


@pytest.mark.proves("search: wait", "node killed")
@pytest.mark.proves("search: wait", "connection silent for good")
def test_attempt_on_a_failed_link_is_not_reported_as_not_run():
    """Guards against a submission that runs twice.

    The owner may have run the attempt before the link failed. Reported as not
    run, it would be sent again.
    """
    harness = Harness()
    harness.handle(LinkUp("n2", "i"), harness.make_send_attempt("a1"))
    harness.handle(LinkDown("n2"))
    assert harness.replies[0].kind is ErrorKind.OUTCOME_UNKNOWN
    assert not harness.replies[0].not_run


def test_outcome_is_delivered_once_and_only_to_its_requester():
    """Guards against a query that gets results twice, or those of another."""
    harness = Harness()
    other = []
    harness.handle(
        LinkUp("n2", "i"),
        harness.make_send_attempt("a1"),
        SendAttempt("n2", search_attempt("a2"), 101.0, other.append),
    )
    batch = OutcomeBatch((result("a1"), result("a1"), result("unknown")))
    harness.handle(FromPeer("n2", batch, 100.0))
    assert harness.replies == [result("a1")]
    assert other == []


def test_outcome_from_a_node_that_was_not_asked_is_dropped():
    """Guards against results of a node that did not get the attempt.

    Only the owner to which it was sent can know its outcome; a query would
    merge hits that this owner did not give.
    """
    harness = Harness()
    harness.handle(LinkUp("n2", "i"), harness.make_send_attempt("a1"))
    harness.handle(FromPeer("n3", OutcomeBatch((result("a1"),)), 100.0))
    assert harness.replies == []


@pytest.mark.proves("search: merge", "straggler")
def test_outcome_of_a_withdrawn_attempt_is_dropped():
    """Guards against results that reach a query which has done without them.

    A straggler responds after another attempt for its shard has succeeded.
    """
    harness = Harness()
    harness.handle(LinkUp("n2", "i"), harness.make_send_attempt("a1"))
    harness.handle(WithdrawAttempts(("a1",)))
    harness.handle(FromPeer("n2", OutcomeBatch((result("a1"),)), 100.0))
    assert harness.replies == []


@pytest.mark.proves("search: send", "node paused and resumed")
def test_withdrawn_attempt_is_cancelled_at_its_searcher():
    """Guards against searchers that stay busy with unneeded attempts.

    The owner may have queued the attempt, or was paused and runs it late.
    """
    harness = Harness()
    harness.handle(LinkUp("n2", "i"), harness.make_send_attempt("a1"))
    harness.handle(WithdrawAttempts(("a1",)))
    cancel = CancelBatch((Cancellation("a1", "s"),))
    assert harness.peers[-1] == ToPeer("n2", cancel)
    harness.handle(FromPeer("n2", cancel, 100.0))
    assert harness.targets == [CancelAttempts("n2", "s", ("a1",))]


def test_attempt_delayed_longer_than_its_budget_is_not_run():
    """Guards against load on a searcher for a caller that has given up.

    The owner was paused, and the batch waited in its socket for 60 s.
    """
    harness = Harness()
    batch = AttemptBatch(50.0, (search_attempt("a1", budget_ms=500.0),))
    harness.handle(
        FromPeer("n2", Ping(1, 49.0), 99.0), FromPeer("n2", batch, 160.0)
    )
    assert harness.targets == []
    match harness.peers[-1]:
        case ToPeer(message=OutcomeBatch(refusals=(refusal,))):
            assert refusal.not_run


def test_attempt_from_a_restarted_peer_is_not_taken_for_delayed():
    """Guards against an owner that refuses all attempts of a restarted node.

    The clock of the new process starts elsewhere. By the reference of the old
    one, each message would seem to be delayed by many seconds.
    """
    harness = Harness()
    batch = AttemptBatch(5.0, (search_attempt("a1"),))
    harness.handle(
        FromPeer("n2", Ping(1, 1000.0), 99.0, "old"),
        FromPeer("n2", batch, 100.0, "new"),
    )
    assert [run.attempt.attempt for run in harness.targets] == ["a1"]


def test_outcome_returns_to_the_node_that_sent_the_attempt():
    """Guards against an outcome that the sender waits for until its deadline.

    The owner runs attempts of many nodes and knows the sender by its name.
    """
    harness = Harness()
    harness.handle(AttemptDone("n3", result("a9")))
    assert harness.peers == [ToPeer("n3", OutcomeBatch((result("a9"),)))]
