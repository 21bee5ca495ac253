"""Metrics of the connections between processes."""

from collections.abc import Callable
from functools import partial
from typing import Protocol

from gypsumspoke.wire.links import PeerLinks


class GaugeRegistry(Protocol):
    """Registers gauges whose values are read when the metrics are rendered."""

    def gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Add a gauge; see ``Metrics.gauge``."""


LINK_COUNTS = {
    "messages_sent": "Messages handed to a connection since the start.",
    "messages_received": "Messages received since the start.",
    "messages_dropped": "Messages lost before they left, for want of a connection.",
    "dropped_too_large": "Messages that exceed the frame bound.",
    "bytes_sent": "Bytes of the messages sent, with their frames.",
    "dials_failed": "Connections that could not be made.",
    "closed_silent": "Connections closed because nothing came any more.",
    "refused_hellos": "Peers refused: other protocol, partitions or incarnation.",
    "refused_frames": "Frames that held no valid message.",
    "closed_unidentified": "Connections closed for want of a hello, by their number.",
    "refused_too_many_connections": "Connections over the bound.",
}


def add_link_gauges(metrics: GaugeRegistry, links: PeerLinks) -> None:
    """Add a gauge for each counter of the links.

    Args:
      metrics: receives the gauges.
      links: connections to peers.
    """
    for name, description in LINK_COUNTS.items():
        metrics.gauge(
            f"link_{name}", description, partial(links.counts.__getitem__, name)
        )
    metrics.gauge(
        "link_open_connections",
        "Open connections to peers.",
        lambda: links.open_connections,
    )
