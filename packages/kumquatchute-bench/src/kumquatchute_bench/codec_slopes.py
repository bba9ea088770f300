"""Processor time and size of the messages between nodes."""

from collections.abc import Callable
from functools import partial

from kumquatchute_bench.cpu import cpu_point
from kumquatchute_bench.fit import fit
from kumquatchute_bench.fit import Point
from kumquatchute_bench.fit import Slope
from kumquatchute_bench import samples
from kumquatchuted.peers.codec import decode
from kumquatchuted.peers.codec import encode


def codec_slopes() -> list[Slope]:
    """Measure messages with attempts and messages with their results."""
    return [
        *_message_slopes("attempts", samples.attempt_batch),
        *_message_slopes("results", samples.outcome_batch),
    ]


def _message_slopes(
    name: str, build_batch: Callable[[int], object]
) -> tuple[Slope, ...]:
    messages = {size: build_batch(size) for size in samples.BATCHES}
    encoded = {size: encode(message) for size, message in messages.items()}
    return (
        fit(
            f"codec: encode {name}",
            "items/message",
            "us/message",
            [
                cpu_point(size, partial(encode, message))
                for size, message in messages.items()
            ],
        ),
        fit(
            f"codec: decode {name}",
            "items/message",
            "us/message",
            [
                cpu_point(size, partial(decode, data))
                for size, data in encoded.items()
            ],
        ),
        fit(
            f"codec: size of {name}",
            "items/message",
            "bytes/message",
            [Point(size, len(data)) for size, data in encoded.items()],
            f"{samples.HITS_PER_SHARD} hits in each result",
        ),
    )
