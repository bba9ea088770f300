"""Finds the log lines of a request and explains its outcome."""

from collections.abc import Iterable
from dataclasses import dataclass
import re

# A log line of a node: time, level, part and text. Logs collected from
# several hosts can have a prefix before the time.
LOG_LINE = re.compile(
    r"(?P<at>\d{4}-\d\d-\d\dT[\d:.]+\+00:00) (?P<level>[A-Z]+) "
    r"(?P<part>[a-z-]+): (?P<text>.*)"
)
REQUEST_PART = "request"

# Meaning of the outcome in the final line of a request; the detail is the text
# that follows the duration in this line.
CAUSES_BY_OUTCOME = {
    "unavailable": "it was refused before it ran: {detail}",
    "overloaded": "it was refused before it ran: {detail}",
    "stopping": "the node was stopping",
    "target_failed": "searchers failed and no other could take it: {detail}",
    "deadline_exceeded": "its time was over before an answer: {detail}",
    "not_found": "no route of the manifest matched it",
    "too_large": "its body was larger than the manifest allows",
    "internal": "the node failed; see the error logged with it",
}


@dataclass(frozen=True)
class LogLine:
    """A log line that names the request.

    :param at: time of the line in UTC, ISO 8601
    :param source: prefix of the line, such as the name of the node
    :param part: part of the node that logged it
    """

    at: str
    source: str
    level: str
    part: str
    text: str


@dataclass(frozen=True)
class Explanation:
    """The log lines of a request and the cause of its outcome.

    :param lines: lines in the order of their times
    :param cause: one sentence for people
    """

    request_id: str
    lines: tuple[LogLine, ...]
    cause: str


def explain(request_id: str, logs: Iterable[str]) -> Explanation:
    """Find the log lines of a request and the cause of its outcome.

    :param logs: log lines of all nodes, in any order
    """
    id_pattern = re.compile(rf"\b(?:id|request)={re.escape(request_id)}(?!\S)")
    matching_lines = []
    for line in logs:
        match = LOG_LINE.search(line)
        if match is None or id_pattern.search(match["text"]) is None:
            continue
        source = line[: match.start()].strip()
        matching_lines.append(
            LogLine(
                match["at"],
                source,
                match["level"],
                match["part"],
                match["text"],
            )
        )
    matching_lines.sort(key=lambda line: line.at)
    return Explanation(
        request_id, tuple(matching_lines), _find_cause(matching_lines)
    )


def _find_cause(lines: list[LogLine]) -> str:
    final_texts = [line.text for line in lines if line.part == REQUEST_PART]
    if not lines:
        return (
            "no log line names this request; see the counts of dropped lines"
        )
    if not final_texts:
        return (
            "no node logged its outcome: the node died, the caller"
            " disconnected, or the line was dropped"
        )
    outcome = _find_field(final_texts[-1], "outcome")
    detail = final_texts[-1].partition(" ms=")[2].partition(" ")[2]
    if outcome in CAUSES_BY_OUTCOME:
        return CAUSES_BY_OUTCOME[outcome].format(detail=detail)
    if detail.startswith("missing=") and detail != "missing=0":
        count = detail.removeprefix("missing=")
        return f"it was answered without {count} shards that were late or lost"
    return f"it was answered with status {outcome} ({detail})"


def _find_field(text: str, name: str) -> str:
    match = re.search(rf"\b{name}=(\S+)", text)
    return match[1] if match else ""
