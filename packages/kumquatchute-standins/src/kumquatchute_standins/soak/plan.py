"""Draws a random plan of disturbances from a seed."""

from random import Random

from kumquatchute_standins.platform.controls import LoseAnswers
from kumquatchute_standins.platform.controls import SetDelay
from kumquatchute_standins.platform.controls import SetDown
from kumquatchute_standins.platform.controls import SetRate
from kumquatchute_standins.platform.controls import SilenceWatches
from kumquatchute_standins.platform.fleet.answer_faults import ANSWER_FAULTS
from kumquatchute_standins.platform.fleet.answer_faults import AnswerDraw
from kumquatchute_standins.platform.fleet.disturbances import AbandonBodies
from kumquatchute_standins.platform.fleet.disturbances import ChangeManifest
from kumquatchute_standins.platform.fleet.disturbances import CrashSearcher
from kumquatchute_standins.platform.fleet.disturbances import Disturbance
from kumquatchute_standins.platform.fleet.disturbances import DisturbAnswers
from kumquatchute_standins.platform.fleet.disturbances import DrainSearcher
from kumquatchute_standins.platform.fleet.disturbances import DropHistory
from kumquatchute_standins.platform.fleet.disturbances import Evacuate
from kumquatchute_standins.platform.fleet.disturbances import KillNode
from kumquatchute_standins.platform.fleet.disturbances import LimitSearcher
from kumquatchute_standins.platform.fleet.disturbances import PauseNode
from kumquatchute_standins.platform.fleet.disturbances import ReloadNode
from kumquatchute_standins.platform.fleet.disturbances import ResetLink
from kumquatchute_standins.platform.fleet.disturbances import SetLinkFaults
from kumquatchute_standins.platform.fleet.disturbances import SetSearcherFaults
from kumquatchute_standins.platform.fleet.disturbances import SetStoreFault
from kumquatchute_standins.platform.fleet.disturbances import Step
from kumquatchute_standins.platform.fleet.disturbances import StopNode
from kumquatchute_standins.platform.fleet.proxy import LinkFaults
from kumquatchute_standins.platform.fleet.searcher import SearcherFaults
from kumquatchuted.platform.decoding import EVACUATION_DECODER
from kumquatchuted.platform.decoding import SEARCHER_DECODER

RUN_LENGTH_S = 12.0
# Time at the end without disturbances, in which the service must recover.
RECOVERY_S = 6.0
MAX_DISTURBANCE_S = 3.0
# Plans from this seed on also have silent watches of single kinds and a
# searcher that states a limit. Those of smaller seeds stay as they are, so
# that they still reproduce what was found with them.
FIRST_SEED_WITH_LIMITS = 1_000_000
# Plans from this seed on also have searchers that refuse requests and ask for
# a pause.
FIRST_SEED_WITH_PAUSES = 2_000_000
# Plans from this seed on also disturb single answers of searchers.
FIRST_SEED_WITH_ANSWERS = 3_000_000
# Plans from this seed on also have clients that leave inside a body.
FIRST_SEED_WITH_LEAVING_CLIENTS = 4_000_000
# Number of the names in ANSWER_FAULTS when the plans were set down. Names that
# are added later need a first seed of their own.
ANSWER_FAULT_COUNT = 22
MAX_ANSWER_FAULTS = 5
MIN_ANSWER_FAULT_S = 0.5
MAX_ABANDONED_BODIES = 5
PAUSE_SHARE = 0.15
MAX_PAUSE_S = 2.0
# Time until which the searcher begins to state its limit.
LIMIT_STARTS_BEFORE_S = 2.0
MAX_LIMIT_PER_S = 6.0
# Share of silent watches of a single kind among the disturbances.
KIND_SILENCE_SHARE = 0.15
# More writes than a node sends while a disturbance lasts.
ALL_WRITES = 1_000


def draw_plan(
    seed: int, nodes: int, searchers: int, links: int, data_centres: str
) -> tuple[Step, ...]:
    """Return the steps of a seed, in the order of their times.

    :param nodes: number of nodes
    :param searchers: number of searchers
    :param links: number of links to the store, to searchers and to nodes
    :param data_centres: data centres that may be evacuated, a letter each
    """
    rng = Random(seed)
    steps = []
    has_limits = seed >= FIRST_SEED_WITH_LIMITS
    if has_limits:
        limit = LimitSearcher(
            rng.randrange(searchers), rng.uniform(0.0, MAX_LIMIT_PER_S)
        )
        steps.append(Step(rng.uniform(0.5, LIMIT_STARTS_BEFORE_S), 0.0, limit))
    for _ in range(rng.randint(3, 8)):
        start_s = rng.uniform(
            0.5, RUN_LENGTH_S - RECOVERY_S - MAX_DISTURBANCE_S
        )
        duration_s = rng.uniform(0.3, MAX_DISTURBANCE_S)
        if has_limits and rng.random() < KIND_SILENCE_SHARE:
            decoder = rng.choice((SEARCHER_DECODER, EVACUATION_DECODER))
            disturbance = SetStoreFault(SilenceWatches(decoder.kind))
        elif seed >= FIRST_SEED_WITH_PAUSES and rng.random() < PAUSE_SHARE:
            retry_after = f"{rng.uniform(0.2, MAX_PAUSE_S):.2f}"
            disturbance = SetSearcherFaults(
                rng.randrange(searchers),
                SearcherFaults(shed=True, retry_after=retry_after),
            )
        else:
            disturbance = _draw_disturbance(
                rng, nodes, searchers, links, data_centres
            )
        steps.append(Step(start_s, duration_s, disturbance))
        if rng.random() < 0.25:
            # The same disturbance occurs again shortly after.
            repeat_at = min(
                start_s + 0.6, RUN_LENGTH_S - RECOVERY_S - MAX_DISTURBANCE_S
            )
            steps.append(Step(repeat_at, duration_s, disturbance))
    if seed >= FIRST_SEED_WITH_ANSWERS:
        steps += _draw_answer_faults(rng, seed, searchers)
    if seed >= FIRST_SEED_WITH_LEAVING_CLIENTS:
        steps += _draw_abandoned_bodies(rng, nodes)
    return tuple(sorted(steps, key=lambda step: step.at))


def _draw_answer_faults(rng: Random, seed: int, searchers: int) -> list[Step]:
    """Draw disturbances of answers; most of them overlap with others."""
    names = tuple(ANSWER_FAULTS)[:ANSWER_FAULT_COUNT]
    steps = []
    for _ in range(rng.randint(2, 4)):
        # The doses of the users' sites, and sometimes larger ones.
        is_heavy = rng.random() < 0.2
        share = rng.uniform(0.4, 1.0) if is_heavy else rng.uniform(0.02, 0.4)
        draw = AnswerDraw(
            tuple(rng.sample(names, rng.randint(1, MAX_ANSWER_FAULTS))),
            share,
            seed,
        )
        disturbance = DisturbAnswers(
            rng.randrange(searchers), rng.random() < 0.5, draw
        )
        start_s = rng.uniform(
            0.5, RUN_LENGTH_S - RECOVERY_S - MAX_DISTURBANCE_S
        )
        duration_s = rng.uniform(MIN_ANSWER_FAULT_S, MAX_DISTURBANCE_S)
        steps.append(Step(start_s, duration_s, disturbance))
    return steps


def _draw_abandoned_bodies(rng: Random, nodes: int) -> list[Step]:
    disturbance = AbandonBodies(
        rng.randrange(nodes),
        rng.randint(1, MAX_ABANDONED_BODIES),
        rng.random() < 0.5,
    )
    start_s = rng.uniform(0.5, RUN_LENGTH_S - RECOVERY_S - MAX_DISTURBANCE_S)
    return [Step(start_s, rng.uniform(0.3, MAX_DISTURBANCE_S), disturbance)]


def _draw_disturbance(
    rng: Random, nodes: int, searchers: int, links: int, data_centres: str
) -> Disturbance:
    searcher, node = rng.randrange(searchers), rng.randrange(nodes)
    link = rng.randrange(links)
    choices = (
        SetStoreFault(rng.choice((SetDown(), SetRate(0.0, 0.0)))),
        SetStoreFault(SetDelay(1000 * rng.uniform(0.05, 0.4))),
        SetStoreFault(LoseAnswers(ALL_WRITES)),
        SetStoreFault(SilenceWatches()),
        DropHistory(),
        SetLinkFaults(link, LinkFaults(delay_s=rng.uniform(0.01, 0.2))),
        SetLinkFaults(link, LinkFaults(drop_requests=True)),
        SetLinkFaults(link, LinkFaults(drop_answers=True)),
        SetLinkFaults(link, LinkFaults(True, True, True)),
        SetLinkFaults(link, LinkFaults(refuse=True)),
        ResetLink(link),
        SetSearcherFaults(searcher, SearcherFaults(delay_s=0.1)),
        SetSearcherFaults(searcher, SearcherFaults(second_answer=True)),
        SetSearcherFaults(searcher, SearcherFaults(cut_answer=True)),
        SetSearcherFaults(searcher, SearcherFaults(silent=True)),
        SetSearcherFaults(searcher, SearcherFaults(shed=True)),
        SetSearcherFaults(searcher, SearcherFaults(fail=True)),
        CrashSearcher(searcher),
        DrainSearcher(searcher),
        PauseNode(node),
        KillNode(node),
        StopNode(node),
        ReloadNode(node),
        ChangeManifest(),
        Evacuate(rng.choice(data_centres)),
    )
    return rng.choice(choices)
