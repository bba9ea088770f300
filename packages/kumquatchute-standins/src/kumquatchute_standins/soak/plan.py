"""Draws what is disturbed, when and for how long, from a seed."""

from random import Random

from kumquatchute_standins.platform.controls import LoseAnswers
from kumquatchute_standins.platform.controls import SetDelay
from kumquatchute_standins.platform.controls import SetDown
from kumquatchute_standins.platform.controls import SetRate
from kumquatchute_standins.platform.controls import SilenceWatches
from kumquatchute_standins.platform.fleet.disturbances import ChangeManifest
from kumquatchute_standins.platform.fleet.disturbances import CrashSearcher
from kumquatchute_standins.platform.fleet.disturbances import Disturbance
from kumquatchute_standins.platform.fleet.disturbances import DisturbLink
from kumquatchute_standins.platform.fleet.disturbances import DisturbSearcher
from kumquatchute_standins.platform.fleet.disturbances import DisturbStore
from kumquatchute_standins.platform.fleet.disturbances import DrainSearcher
from kumquatchute_standins.platform.fleet.disturbances import DropHistory
from kumquatchute_standins.platform.fleet.disturbances import Evacuate
from kumquatchute_standins.platform.fleet.disturbances import KillNode
from kumquatchute_standins.platform.fleet.disturbances import PauseNode
from kumquatchute_standins.platform.fleet.disturbances import ReloadNode
from kumquatchute_standins.platform.fleet.disturbances import ResetLink
from kumquatchute_standins.platform.fleet.disturbances import Step
from kumquatchute_standins.platform.fleet.disturbances import StopNode
from kumquatchute_standins.platform.fleet.proxy import LinkFaults
from kumquatchute_standins.platform.fleet.searcher import SearcherFaults

LENGTH_S = 12.0
# Time at the end without new disturbances, in which service must recover.
CALM_S = 6.0
MOST_S = 3.0
# More than a node writes while a disturbance lasts.
EVERY_WRITE = 1_000


def draw_plan(
    seed: int, nodes: int, searchers: int, links: int, data_centres: str
) -> tuple[Step, ...]:
    """Return the steps of a seed, in the order of their times.

    :param links: number of links: to the store, to searchers and to nodes
    """
    rng = Random(seed)
    steps = []
    for _ in range(rng.randint(3, 8)):
        at = rng.uniform(0.5, LENGTH_S - CALM_S - MOST_S)
        for_s = rng.uniform(0.3, MOST_S)
        what = _draw(rng, nodes, searchers, links, data_centres)
        steps.append(Step(at, for_s, what))
        if rng.random() < 0.25:
            # The same trouble strikes again soon after.
            again = min(at + 0.6, LENGTH_S - CALM_S - MOST_S)
            steps.append(Step(again, for_s, what))
    return tuple(sorted(steps, key=lambda step: step.at))


def _draw(
    rng: Random, nodes: int, searchers: int, links: int, data_centres: str
) -> Disturbance:
    searcher, node = rng.randrange(searchers), rng.randrange(nodes)
    link = rng.randrange(links)
    kinds = (
        DisturbStore(rng.choice((SetDown(), SetRate(0.0, 0.0)))),
        DisturbStore(SetDelay(1000 * rng.uniform(0.05, 0.4))),
        DisturbStore(LoseAnswers(EVERY_WRITE)),
        DisturbStore(SilenceWatches()),
        DropHistory(),
        DisturbLink(link, LinkFaults(delay_s=rng.uniform(0.01, 0.2))),
        DisturbLink(link, LinkFaults(drop_requests=True)),
        DisturbLink(link, LinkFaults(drop_answers=True)),
        DisturbLink(link, LinkFaults(True, True, True)),
        DisturbLink(link, LinkFaults(refuse=True)),
        ResetLink(link),
        DisturbSearcher(searcher, SearcherFaults(delay_s=0.1)),
        DisturbSearcher(searcher, SearcherFaults(second_answer=True)),
        DisturbSearcher(searcher, SearcherFaults(cut_answer=True)),
        DisturbSearcher(searcher, SearcherFaults(silent=True)),
        DisturbSearcher(searcher, SearcherFaults(shed=True)),
        DisturbSearcher(searcher, SearcherFaults(fail=True)),
        CrashSearcher(searcher),
        DrainSearcher(searcher),
        PauseNode(node),
        KillNode(node),
        StopNode(node),
        ReloadNode(node),
        ChangeManifest(),
        Evacuate(rng.choice(data_centres)),
    )
    return rng.choice(kinds)
