"""The shards that a searcher holds, and the search in them."""

from collections.abc import Mapping
from collections import defaultdict
from dataclasses import dataclass

from kumquatchute_model.query import Hit
from kumquatchute_standins.searcher.config import Document
from kumquatchute_standins.searcher.config import ShardData

FULL_NAME_SCORE = 1.0
WORD_SCORE = 0.5


@dataclass(frozen=True)
class ShardIndex:
    """A shard that can be searched.

    :param stated_count: number of documents that the shard map states
    :param by_name: documents by full name, case-folded
    :param by_word: documents by each word of their name, case-folded
    """

    stated_count: int
    by_name: Mapping[str, tuple[Document, ...]]
    by_word: Mapping[str, tuple[Document, ...]]


@dataclass(frozen=True)
class Index:
    """One version of the index, as one searcher holds it.

    :param all_shards: all shards of the index
    :param shards: shards that this searcher can search, by name
    """

    index_version: int
    map_version: int
    all_shards: tuple[ShardData, ...]
    shards: Mapping[str, ShardIndex]

    @property
    def version(self) -> tuple[int, int]:
        """Return the index version and the map version."""
        return (self.index_version, self.map_version)


def build_index(
    searcher: str,
    index_version: int,
    map_version: int,
    shards: tuple[ShardData, ...],
) -> Index:
    """Build the index of the shards of which a searcher is a replica."""
    replicated = tuple(shard for shard in shards if searcher in shard.replicas)
    return Index(
        index_version,
        map_version,
        shards,
        {shard.shard: _build_shard_index(shard) for shard in replicated},
    )


def find_hits(
    shard: ShardIndex, names: tuple[str, ...], limit: int
) -> tuple[Hit, ...]:
    """Return the documents whose full name or a word of it is in ``names``.

    :returns: at most ``limit`` hits, the highest scores first
    """
    scores: dict[Document, float] = {}
    for name in names:
        folded = name.casefold()
        for document in shard.by_word.get(folded, ()):
            scores.setdefault(document, WORD_SCORE)
        for document in shard.by_name.get(folded, ()):
            scores[document] = FULL_NAME_SCORE
    best = sorted(scores.items(), key=lambda item: (-item[1], item[0].doc))
    return tuple(
        Hit(document.doc, document.name, score, document.text)
        for document, score in best[:limit]
    )


def _build_shard_index(shard: ShardData) -> ShardIndex:
    by_name: defaultdict[str, list[Document]] = defaultdict(list)
    by_word: defaultdict[str, list[Document]] = defaultdict(list)
    for document in shard.documents:
        folded = document.name.casefold()
        by_name[folded].append(document)
        for word in set(folded.split()):
            by_word[word].append(document)
    return ShardIndex(
        shard.stated_count,
        {name: tuple(found) for name, found in by_name.items()},
        {word: tuple(found) for word, found in by_word.items()},
    )
