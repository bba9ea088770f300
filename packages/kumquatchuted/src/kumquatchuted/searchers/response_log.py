"""Logs and counts what searchers sent besides ordinary responses."""

from collections.abc import Callable

from logbook import Logger

from kumquatchuted.responses.messages import Foreign
from kumquatchuted.responses.messages import MatchedAsFirst
from kumquatchuted.responses.messages import MatchedById
from kumquatchuted.responses.messages import SearcherResponse
from kumquatchuted.responses.messages import Unproven
from kumquatchuted.responses.messages import Verdict
from kumquatchuted.responses.quality import assess
from kumquatchuted.responses.quality import Unusable
from kumquatchuted.searchers.connection import ResponseReceived
from kumquatchuted.searchers.connection import ResponseSkipped
from kumquatchuted.searchers.connection import UnexpectedBytes
from kumquatchuted.searchers.messages import SendAttempt

log = Logger("searchers")


class ResponseLog:
    """Writes from which connection a response was taken, or why it was not.

    The responses to the first attempts on the shards of a query leave no line
    of their own, unless they are unusual; the query names their connections.
    """

    def __init__(self, count_event: Callable[[str, str], None]) -> None:
        """Create the log.

        :param count_event: counts an event by its name and a label
        """
        self._count_event = count_event

    def on_taken(
        self,
        message: SendAttempt,
        event: ResponseReceived,
        response: SearcherResponse,
    ) -> None:
        """Log a response that an attempt gets."""
        is_matched_by_id = isinstance(event.verdict, MatchedById)
        if not is_matched_by_id:
            self._count_event("responses", _name_verdict(event.verdict))
        is_unusable = isinstance(assess(response), Unusable)
        if is_unusable:
            self._count_event("responses", "unusable")
        if (
            is_matched_by_id
            and not is_unusable
            and message.is_shard_query
            and not message.is_retry
        ):
            return
        log.info(
            "response taken searcher={} conn={} match={} status={} digest={}"
            " request={}",
            event.connection.searcher,
            event.connection.number,
            _name_verdict(event.verdict),
            response.status,
            response.stamp.decode("latin-1"),
            message.outgoing.request_id.decode("latin-1"),
        )

    def on_skipped(self, event: ResponseSkipped) -> None:
        """Log a response that the pending request does not get."""
        self._count_event("responses", _name_verdict(event.verdict))
        log.info(
            "response skipped searcher={} conn={} status={} {} request={}",
            event.connection.searcher,
            event.connection.number,
            event.status,
            _describe_cause(event.verdict),
            event.request_id.decode("latin-1"),
        )

    def on_unexpected(self, event: UnexpectedBytes) -> None:
        """Log bytes that arrived while no request was pending."""
        self._count_event("responses", "unexpected")
        log.info(
            "bytes unexpected searcher={} conn={} bytes={} request={}",
            event.connection.searcher,
            event.connection.number,
            event.count,
            event.last_request_id.decode("latin-1"),
        )


def _name_verdict(verdict: Verdict) -> str:
    match verdict:
        case MatchedById():
            return "id"
        case MatchedAsFirst():
            return "first"
        case Foreign():
            return "foreign"
        case Unproven():
            return "unproven"


def _describe_cause(verdict: Foreign | Unproven) -> str:
    match verdict:
        case Foreign(request_id=request_id):
            return f"names={request_id.decode('latin-1')}"
        case Unproven(reason=reason):
            return f"cause={reason}"
