"""Faults of single answers of a searcher, drawn by a seed."""

from dataclasses import dataclass
from enum import Enum
from random import Random

# A second copy comes up to this much later than the answer.
MAX_COPY_DELAY_S = 0.2
# Short enough that the next request on the connection is often pending.
JOINED_COPY_DELAY_S = 0.02
# Statuses that HTTP, a proxy in front of a searcher or the searcher itself
# might give a request that has run. Those without a body are left out, and
# 421, which states that the request has not run.
FAILURE_STATUSES = (
    *(300, 302, 307, 308, 400, 401, 403, 404, 405, 408, 409, 410, 411, 413),
    *(414, 418, 425, 429, 431, 499, 500, 501, 502, 503, 504, 505, 599),
)


class CopyPart(Enum):
    """How much of a second copy is sent, or how.

    After a cut in the reason phrase or in the value of the first header, the
    status line of the next answer can be read as the rest of that line.
    """

    WHOLE = "whole"
    TWO_PIECES = "two pieces"
    IN_STATUS_LINE = "cut inside the status line"
    IN_REASON = "cut inside the reason phrase"
    IN_FIRST_HEADER = "cut inside the value of the first header"
    IN_HEAD = "cut inside the head"
    IN_BODY = "cut inside the body"


class Ending(Enum):
    """What follows the body of an answer without a length."""

    CLOSED = "closed"
    RESET = "reset"
    COPY = "second copy, then closed"


@dataclass(frozen=True, slots=True)
class Success:
    """The request runs and succeeds."""


@dataclass(frozen=True, slots=True)
class Failure:
    """The request runs and fails; the answer has a digest."""

    status: int = 500


@dataclass(frozen=True, slots=True)
class Refusal:
    """The request does not run, and the answer says so."""


@dataclass(frozen=True, slots=True)
class WholeHead:
    """The head has the request id and the digest, if the answer has one."""


@dataclass(frozen=True, slots=True)
class WithoutId:
    """The head does not echo the request id."""


@dataclass(frozen=True, slots=True)
class OtherId:
    """The head names another request."""


@dataclass(frozen=True, slots=True)
class WithoutDigest:
    """The head has no digest."""


@dataclass(frozen=True, slots=True)
class TwoDigests:
    """The head has a second digest, of another request."""


@dataclass(frozen=True, slots=True)
class WholeDelivery:
    """The answer is sent once, whole and with its length."""


@dataclass(frozen=True, slots=True)
class AfterInterim:
    """An interim response (100) comes before the answer."""


@dataclass(frozen=True, slots=True)
class SecondCopy:
    """A second copy follows, maybe after further answers.

    The connection stays open.

    :param max_delay_s: the delay of the copy is drawn between
        ``min_delay_s`` and this, in seconds
    """

    part: CopyPart = CopyPart.WHOLE
    min_delay_s: float = 0.0
    max_delay_s: float = MAX_COPY_DELAY_S


@dataclass(frozen=True, slots=True)
class UntilClosed:
    """The answer states no length and ends with its connection."""

    ending: Ending


@dataclass(frozen=True, slots=True)
class BrokenOff:
    """The answer ends in the middle of its body.

    :param is_copied: the connection stays open and a whole copy of the answer
        follows; otherwise the connection is closed
    """

    is_copied: bool = False


Kind = Success | Failure | Refusal
Head = WholeHead | WithoutId | OtherId | WithoutDigest | TwoDigests
Delivery = WholeDelivery | AfterInterim | SecondCopy | UntilClosed | BrokenOff


@dataclass(frozen=True, slots=True)
class AnswerPlan:
    """What a searcher answers, and how."""

    kind: Kind = Success()
    head: Head = WholeHead()
    delivery: Delivery = WholeDelivery()


def _copies(kind: Kind, head: Head = WholeHead()) -> tuple[AnswerPlan, ...]:
    return tuple(AnswerPlan(kind, head, SecondCopy(part)) for part in CopyPart)


ANSWER_FAULTS = {
    "no-id": (AnswerPlan(head=WithoutId()),),
    "no-id-copy": _copies(Success(), WithoutId()),
    "no-id-failure-copy": _copies(Failure(), WithoutId()),
    "no-id-refusal-copy": _copies(Refusal(), WithoutId()),
    "no-digest": (AnswerPlan(head=WithoutDigest()),),
    "two-digests": (AnswerPlan(head=TwoDigests()),),
    "copy": (AnswerPlan(delivery=SecondCopy()),),
    "copy-pieces": (AnswerPlan(delivery=SecondCopy(CopyPart.TWO_PIECES)),),
    "copy-part": tuple(
        AnswerPlan(delivery=SecondCopy(part))
        for part in (
            CopyPart.IN_STATUS_LINE,
            CopyPart.IN_HEAD,
            CopyPart.IN_BODY,
        )
    ),
    "copy-joined": tuple(
        AnswerPlan(
            kind, delivery=SecondCopy(part, max_delay_s=JOINED_COPY_DELAY_S)
        )
        for kind in (Success(), Failure(), Refusal())
        for part in (CopyPart.IN_REASON, CopyPart.IN_FIRST_HEADER)
    ),
    "failure-copy": _copies(Failure()),
    "refusal-copy": _copies(Refusal()),
    "until-close": (AnswerPlan(delivery=UntilClosed(Ending.CLOSED)),),
    "until-reset": (AnswerPlan(delivery=UntilClosed(Ending.RESET)),),
    "until-close-copy": (AnswerPlan(delivery=UntilClosed(Ending.COPY)),),
    "broken-off": (AnswerPlan(delivery=BrokenOff()),),
    "broken-off-copy": (AnswerPlan(delivery=BrokenOff(is_copied=True)),),
    "failure": tuple(
        AnswerPlan(Failure(status)) for status in (404, 410, 429, 500)
    ),
    "interim": (AnswerPlan(delivery=AfterInterim()),),
    "failure-any": tuple(
        AnswerPlan(Failure(status)) for status in FAILURE_STATUSES
    ),
    "failure-no-digest": tuple(
        AnswerPlan(Failure(status), WithoutDigest())
        for status in FAILURE_STATUSES
    ),
    "other-id": (AnswerPlan(head=OtherId()),),
}


@dataclass(frozen=True, slots=True)
class AnswerDraw:
    """Which answers of a searcher are faulty.

    :param names: keys of ``ANSWER_FAULTS``, each equally likely
    :param share: fraction of the answers that are faulty
    :param seed: seed of the draws; each searcher draws its own series
    """

    names: tuple[str, ...]
    share: float = 1.0
    seed: int = 0


def draw_plan(draw: AnswerDraw, rng: Random) -> AnswerPlan:
    """Draw how a request is answered."""
    if rng.random() >= draw.share:
        return AnswerPlan()
    return rng.choice(ANSWER_FAULTS[rng.choice(draw.names)])
